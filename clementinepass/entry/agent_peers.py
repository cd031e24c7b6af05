"""Connections from an entry to agents: one task for each agent."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing

import msgspec
from loguru import logger

from clementinepass import errors
from clementinepass.entry import exchange as exchanges
from clementinepass.requests import identity as identities
from clementinepass.wire import (
    addresses,
    connections,
    frames,
    messages,
    schema,
)

if typing.TYPE_CHECKING:
    from clementinepass import clock as clocks
    from clementinepass.requests import streams

#: Seconds after which a silent agent counts as gone. The agent gives up runs
#: of an entry that has been away for as long.
_GONE_AFTER = 10.0
_FIRST_BACKOFF = 0.05
_LONGEST_BACKOFF = 2.0


class PeerEvents(typing.Protocol):
    """Callbacks for what a connection to an agent shows."""

    def attached(self, peer: AgentPeer) -> None:
        """Note a new connection."""

    def reported(self, agent: str, state: messages.AgentState) -> None:
        """Note a state that the agent has sent."""

    def disconnected(self, agent: str) -> None:
        """Note that the connection was lost; a new one is tried at once."""

    def silent(self, agent: str) -> None:
        """Note that no connection can be made."""

    def gone(self, agent: str) -> None:
        """Note that the agent's process is no longer there."""


class _Sink(schema.peers.FrameSink.Server):
    """Receive the frames that an agent sends."""

    def __init__(self, peer: AgentPeer) -> None:
        self._peer = peer

    async def push_context(self, context: typing.Any) -> None:
        """Hand each frame to the exchange that it belongs to."""
        for reader in context.params.frames:
            frame = messages.read(frames.read_frame, reader, self._peer.agent)
            self._peer.deliver(frame)


class AgentPeer:
    """One agent, its connection and the attempts under way there.

    :param agent: the agent's name.
    :param identity: this entry's own process.
    :param heartbeat: seconds between states when nothing changes.
    :param silence: seconds without a state after which the connection is
        given up for a new one.
    """

    def __init__(
        self,
        agent: str,
        address: addresses.Address,
        identity: messages.Peer,
        events: PeerEvents,
        *,
        heartbeat: float,
        silence: float,
        clock: clocks.Clock,
        chance: random.Random,
    ) -> None:
        #: The agent's name.
        self.agent = agent
        #: Where the agent listens.
        self.address = address
        #: The last state that the agent sent.
        self.state: messages.AgentState | None = None
        self._identity = identity
        self._events = events
        self._patience = heartbeat + silence
        self._silence = silence
        self._clock = clock
        self._chance = chance
        self._session: typing.Any = None
        #: Whether a connection was lost and no new one has been tried yet.
        self._is_reconnecting = False
        self._exchanges_by_key: dict[
            identities.AttemptKey,
            exchanges.Exchange,
        ] = {}
        self._suspected = asyncio.Event()
        self._heard_at = clock.now()

    async def run(self) -> None:
        """Stay connected until cancelled."""
        backoff = _FIRST_BACKOFF
        while True:
            heard_at = self._heard_at
            try:
                await self._connect()
            except errors.ClementinepassError as error:
                self._note_failure(error)
            if self._heard_at > heard_at:
                backoff = _FIRST_BACKOFF
            # Jitter keeps entries that lost an agent at the same instant
            # from coming back at the same instant.
            await asyncio.sleep(backoff * self._chance.uniform(0.5, 1))
            backoff = min(2 * backoff, _LONGEST_BACKOFF)

    def close(self) -> None:
        """End the attempts under way; the agent is no longer listed."""
        self._end_all()

    async def dispatch(
        self,
        exchange: exchanges.Exchange,
        dispatch: messages.Dispatch,
    ) -> messages.Verdict | None:
        """Send an attempt to the agent.

        :return: the gate's verdict; ``None`` where the connection failed, and
            the attempt goes on until a new one has told its fate.
        """
        session = self._session
        if session is None:
            exchange.detail = 'no connection'
            return messages.Verdict(accepted=False, reason='disconnected')
        self._exchanges_by_key[exchange.key] = exchange
        request = session.dispatch_request()
        messages.write_dispatch(dispatch, request.dispatch)
        exchange.attempt.sent()
        try:
            answer = await connections.call(
                request.send(),
                step='dispatch',
                peer=self.agent,
                timeout=self._silence,
            )
        except errors.PeerUnavailableError:
            exchange.attempt.connection_lost()
            self._suspect(session)
            return None
        return messages.read(
            messages.read_verdict,
            answer.verdict,
            self.agent,
        )

    def finish(self, exchange: exchanges.Exchange) -> None:
        """Forget an attempt; frames of it that still come are dropped."""
        self._exchanges_by_key.pop(exchange.key, None)

    async def cancel(self, exchange: exchanges.Exchange) -> None:
        """Tell the agent that nobody waits for an attempt any more."""
        session = self._session
        if session is None:
            return
        with contextlib.suppress(errors.PeerUnavailableError):
            await connections.call(
                session.cancel(
                    requestId=exchange.key.request_id,
                    attempt=exchange.key.attempt,
                ),
                step='cancel',
                peer=self.agent,
                timeout=self._silence,
            )

    async def configure(self, revision: int, payload: bytes) -> None:
        """Send a configuration; the agent keeps its own if that is newer."""
        session = self._session
        if session is None:
            return
        try:
            await connections.call(
                session.configure(revision=revision, state=payload),
                step='configure',
                peer=self.agent,
                timeout=self._silence,
            )
        except errors.PeerUnavailableError:
            self._suspect(session)

    def deliver(self, frame: streams.Frame) -> None:
        """Hand a frame to the exchange that it belongs to."""
        key = identities.AttemptKey(frame.request_id, frame.attempt)
        exchange = self._exchanges_by_key.get(key)
        if exchange is not None:
            exchange.accept(frame)

    async def _connect(self) -> None:
        self._suspected.clear()
        connection = await connections.Connection.open(
            self.address,
            self._silence,
        )
        try:
            await self._attach(connection)
            await self._watch_until_suspected()
        finally:
            self._disconnect(connection)

    def _disconnect(self, connection: connections.Connection) -> None:
        self._is_reconnecting = self._session is not None
        self._session = None
        connection.close()
        if self._is_reconnecting:
            # Without a session a dispatch fails at once: no new work comes
            # here until the next connection has brought a state.
            self._events.disconnected(self.agent)

    async def _attach(self, connection: connections.Connection) -> None:
        request = connection.bootstrap(schema.peers.Agent).attach_request()
        messages.write_peer(self._identity, request.peer)
        request.sink = _Sink(self)
        attached = await connections.call(
            request.send(),
            step='attach',
            peer=self.agent,
            timeout=self._silence,
        )
        session = attached.session
        await self._watch(session, known=0)
        await self._resume_all(session)
        self._session = session
        self._events.attached(self)
        if self.state is not None:
            self._events.reported(self.agent, self.state)

    async def _watch_until_suspected(self) -> None:
        session = self._session
        watch = asyncio.create_task(self._watch_forever(session))
        suspicion = asyncio.create_task(self._suspected.wait())
        try:
            await asyncio.wait(
                {watch, suspicion},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if watch.done():
                watch.result()
        finally:
            watch.cancel()
            suspicion.cancel()

    async def _watch_forever(self, session: typing.Any) -> None:
        while True:
            known = self.state.sequence if self.state else 0
            await self._watch(session, known)

    async def _watch(self, session: typing.Any, known: int) -> None:
        # A connection may go silent with its socket open. The agent answers
        # at least once in a heartbeat, so silence shows as this timeout.
        answer = await connections.call(
            session.watch(known=known),
            step='watch',
            peer=self.agent,
            timeout=self._patience,
        )
        self._heard_at = self._clock.now()
        if answer._has('state'):
            state = messages.read(
                messages.read_state,
                answer.state,
                self.agent,
            )
            self._take_state(state)
        elif self.state is not None:
            self._take_load(self.state, answer.running)

    def _take_load(self, state: messages.AgentState, running: int) -> None:
        self.state = msgspec.structs.replace(state, running=running)
        self._events.reported(self.agent, self.state)

    def _take_state(self, state: messages.AgentState) -> None:
        previous = self.state
        self.state = state
        if previous is not None and previous.incarnation != state.incarnation:
            # A new process knows nothing of what the old one ran.
            self._end_all()
        if self._session is not None:
            # Reported before the session is there, an agent would be offered
            # work that it can't be sent.
            self._events.reported(self.agent, state)

    async def _resume_all(self, session: typing.Any) -> None:
        for exchange in tuple(self._exchanges_by_key.values()):
            await self._resume(session, exchange)

    async def _resume(
        self,
        session: typing.Any,
        exchange: exchanges.Exchange,
    ) -> None:
        answer = await connections.call(
            session.resume(
                requestId=exchange.key.request_id,
                attempt=exchange.key.attempt,
                next=exchange.reassembly.next,
            ),
            step='resume',
            peer=self.agent,
            timeout=self._silence,
        )
        verdict = messages.read(
            messages.read_verdict,
            answer.verdict,
            self.agent,
        )
        if verdict.accepted:
            exchange.attempt.resumed()
        elif verdict.reason == 'barred':
            exchange.attempt.fenced()
        else:
            exchange.detail = 'the agent has given the answer up'
            exchange.attempt.failed(errors.Execution.MAY_HAVE_RUN)
        exchange.settle()

    def _suspect(self, session: typing.Any) -> None:
        if session is self._session:
            self._suspected.set()

    def _note_failure(self, error: errors.ClementinepassError) -> None:
        logger.bind(step=error.step, peer=self.agent).debug(
            'connection to agent failed: {}',
            error.detail,
        )
        for exchange in self._exchanges_by_key.values():
            exchange.attempt.connection_lost()
        away = self._clock.now() - self._heard_at
        # A refused connection shows that the process is gone; a connection
        # that times out may be a network that heals.
        refused = isinstance(error, errors.PeerGoneError)
        if refused or away > _GONE_AFTER:
            self._end_all()
            self._events.gone(self.agent)
        elif not self._is_reconnecting:
            self._events.silent(self.agent)
        self._is_reconnecting = False

    def _end_all(self) -> None:
        for exchange in tuple(self._exchanges_by_key.values()):
            exchange.detail = 'the agent is gone'
            exchange.attempt.peer_gone()
            exchange.settle()
