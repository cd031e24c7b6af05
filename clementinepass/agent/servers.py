"""The Cap'n Proto servers of an agent: one bootstrap, one session an entry."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.requests import identity
from clementinepass.wire import messages, schema

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.agent import agent as agents
    from clementinepass.agent import links


class AgentServer(schema.peers.Agent.Server):
    """The bootstrap capability, one for each connection."""

    def __init__(
        self,
        agent: agents.Agent,
        stop: Callable[[], None],
    ) -> None:
        self._agent = agent
        self._stop = stop
        self._pump: asyncio.Task[None] | None = None
        self._link: links.EntryLink | None = None
        self._connection = 0

    async def attach_context(self, context: typing.Any) -> None:
        """Take an entry's connection; its earlier one is replaced."""
        peer = messages.read(
            messages.read_peer,
            context.params.peer,
            'an entry',
        )
        link = self._agent.link(peer)
        self._link = link
        self._connection = link.attach()
        self._pump = asyncio.create_task(
            self._send_frames(link, context.params.sink),
        )
        logger.bind(step='attach', peer=peer.id).info('entry attached')
        context.results.session = SessionServer(
            self._agent,
            link,
            self._connection,
        )

    async def drain(self, **_: typing.Any) -> None:
        """Leave, as on SIGTERM."""
        self._stop()

    async def weights(self, _context: typing.Any, **_: typing.Any) -> None:
        """Hand out the capability for the transfer of weights."""
        capability = self._agent.weights_capability()
        if capability is None:
            raise errors.EndpointError(
                'this agent serves no weights',
                step='weights',
                peer=self._agent.id,
                execution=errors.Execution.NOT_RUN,
            )
        _context.results.weights = capability

    async def _send_frames(
        self,
        link: links.EntryLink,
        sink: typing.Any,
    ) -> None:
        try:
            await link.pump(self._connection, sink)
        finally:
            # However the sending ended, the session ends with it: otherwise
            # heartbeats would go on over a connection that brings no answers.
            link.detach(self._connection, self._agent.now())

    def disconnected(self) -> None:
        """Note that the connection has ended."""
        if self._pump is not None:
            self._pump.cancel()
        if self._link is not None:
            self._link.detach(self._connection, self._agent.now())


class SessionServer(schema.peers.Session.Server):
    """Calls that one entry may make over one connection."""

    def __init__(
        self,
        agent: agents.Agent,
        link: links.EntryLink,
        connection: int,
    ) -> None:
        self._agent = agent
        self._link = link
        self._connection = connection

    async def dispatch_context(self, context: typing.Any) -> None:
        """Offer an attempt to the gate and start it if it is admitted."""
        dispatch = messages.read(
            messages.read_dispatch,
            context.params.dispatch,
            self._link.peer.id,
        )
        verdict = self._agent.dispatch(dispatch, self._link)
        messages.write_verdict(verdict, context.results.init('verdict'))

    async def watch_context(self, context: typing.Any) -> None:
        """Answer once the state has changed, or after a heartbeat.

        :raises PeerUnavailableError: answers no longer get through on this
            connection, so the entry should open a new one.
        """
        if not self._link.is_current(self._connection):
            raise errors.PeerUnavailableError(
                'the connection was given up',
                step='watch',
                peer=self._agent.id,
            )
        known = context.params.known
        state = await self._agent.next_state(known)
        context.results.running = state.running
        if state.sequence != known:
            messages.write_state(state, context.results.init('state'))

    async def cancel_context(self, context: typing.Any) -> None:
        """Stop an attempt that nobody waits for any more."""
        key = identity.AttemptKey(
            context.params.requestId,
            context.params.attempt,
        )
        run = self._link.runs_by_key.get(key)
        if run is not None:
            run.cancel()

    async def resume_context(self, context: typing.Any) -> None:
        """Send an attempt's frames again, or bar it if it is unknown."""
        key = identity.AttemptKey(
            context.params.requestId,
            context.params.attempt,
        )
        verdict = self._agent.resume(self._link, key, context.params.next)
        messages.write_verdict(verdict, context.results.init('verdict'))

    async def configure_context(self, context: typing.Any) -> None:
        """Take a configuration unless the one in force is newer."""
        context.results.revision = self._agent.configure(
            context.params.revision,
            bytes(context.params.state),
        )
