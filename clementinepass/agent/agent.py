"""The agent: the gate, the runs behind it and the entries before it."""

from __future__ import annotations

import asyncio
import time
import typing

from loguru import logger

from clementinepass.agent import execution, links
from clementinepass.agent import gate as gates
from clementinepass.configuration import catalogue, state
from clementinepass.wire import changes, messages

if typing.TYPE_CHECKING:
    from clementinepass import clock as clocks
    from clementinepass.agent import workloads
    from clementinepass.requests import identity as identities

#: Seconds for which runs of an entry without a connection go on. An entry
#: that lives is back within its silence limit and one new connection; longer
#: than that, nobody will ever read the answers.
_ORPHAN_GRACE = 10.0
_HOUSEKEEPING = 1.0
_POLL_DRAIN = 0.05
#: Seconds for which a draining agent stays although nothing runs. Entries hear
#: of the drain in one way across the network, a few milliseconds, and what they
#: sent before arrives in as many.
_LINGER = 1.0


class Limits(typing.NamedTuple):
    """Times of the peers' protocol, in seconds."""

    heartbeat: float
    silence: float
    coalesce: float


class Agent:
    """Serve entries: admit, run, stream, resume.

    :param identity: the agent's own process.
    :param workload: what stands behind the gate.
    """

    def __init__(
        self,
        identity: messages.Peer,
        gate: gates.Gate,
        workload: workloads.Workload,
        executor: execution.Executor,
        *,
        limits: Limits,
        clock: clocks.Clock,
    ) -> None:
        #: The agent's name.
        self.id = identity.id
        self._identity = identity
        self._gate = gate
        self._workload = workload
        self._executor = executor
        self._limits = limits
        self._clock = clock
        self._links_by_process: dict[tuple[str, int], links.EntryLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = changes.Sequence()
        self._configuration = state.State()
        gate.on_change = self.changed

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock.now()

    def changed(self) -> None:
        """Tell all watching entries that the state has changed."""
        self._sequence.advance()

    def link(self, peer: messages.Peer) -> links.EntryLink:
        """Return what is kept for one process of an entry."""
        process = (peer.id, peer.incarnation)
        link = self._links_by_process.get(process)
        if link is None:
            link = links.EntryLink(
                peer,
                coalesce=self._limits.coalesce,
                silence=self._limits.silence,
            )
            self._links_by_process[process] = link
        return link

    def dispatch(
        self,
        dispatch: messages.Dispatch,
        link: links.EntryLink,
    ) -> messages.Verdict:
        """Offer an attempt to the gate and start it if it is admitted."""
        verdict = self._gate.offer(dispatch, self.now(), time.time())
        if verdict.accepted:
            run = execution.Run(
                dispatch,
                on_frames=link.wake,
                on_finished=self._finished,
            )
            link.add(run)
            self._start(self._executor.execute(run))
        return verdict

    def resume(
        self,
        link: links.EntryLink,
        key: identities.AttemptKey,
        sequence: int,
    ) -> messages.Verdict:
        """Send an attempt's frames again, or bar it if it is unknown."""
        if not self._gate.resume(key, self.now()):
            return messages.Verdict(
                accepted=False,
                reason=gates.Refusal.BARRED.value,
            )
        # Known here, but maybe confirmed to the end or given up: then there
        # are no frames, and the entry learns it from the reason.
        if link.resume(key, sequence):
            return messages.Verdict(accepted=True)
        return messages.Verdict(accepted=False, reason='lost')

    async def next_state(self, known: int) -> messages.AgentState:
        """Return the state once it is newer, or after a heartbeat."""
        await self._sequence.wait_for_newer(known, self._limits.heartbeat)
        return self.state()

    def state(self) -> messages.AgentState:
        """Return what entries should know."""
        progress = self._workload.progress()
        return messages.AgentState(
            sequence=self._sequence.number,
            phase=self._gate.phase,
            kind=self._workload.kind,
            serves=self._gate.target,
            version=self._gate.version,
            running=len(self._gate.running),
            capacity=self._gate.capacity,
            revision=self._configuration.revision,
            incarnation=self._identity.incarnation,
            wanted=progress.wanted,
            chunks_held=progress.chunks_held,
            chunks_wanted=progress.chunks_wanted,
            trouble=progress.trouble,
            bytes_origin=progress.bytes_origin,
            bytes_peers=progress.bytes_peers,
            bytes_store=progress.bytes_store,
        )

    def configure(self, revision: int, payload: bytes) -> int:
        """Take a configuration unless the one in force is as new.

        :return: the revision in force.
        :raises MalformedMessageError: the payload holds no state.
        """
        if revision > self._configuration.revision:
            newer = state.State.decode(payload)
            # The payload's own revision counts: a peer that states another
            # could otherwise put an older state in force.
            if newer.revision > self._configuration.revision:
                self._configuration = newer
                self._workload.configure(
                    catalogue.Catalogue.from_state(newer),
                )
                self.changed()
        return self._configuration.revision

    def weights_capability(self) -> typing.Any:
        """Return the capability for weights; ``None`` for plain services."""
        return self._workload.weights_capability()

    async def run(self) -> None:
        """Cancel runs whose entry stays away; loop until cancelled."""
        while True:
            await asyncio.sleep(_HOUSEKEEPING)
            self._give_up_orphans()

    async def drain(self, grace: float) -> None:
        """Take no new work and wait for what runs.

        :param grace: seconds to wait at most.
        """
        self._gate.drain()
        logger.bind(step='drain').info(
            'draining, {} in progress',
            len(self._gate.running),
        )
        began = time.monotonic()
        # A dispatch may be on its way from an entry that has not heard of the
        # drain yet. Were the process gone when it arrives, the entry could
        # say no more than "may have run"; while it lives, the gate says "not
        # run", and the request goes elsewhere.
        heard = began + min(_LINGER, grace)
        deadline = began + grace
        while time.monotonic() < heard or (
            self._busy() and time.monotonic() < deadline
        ):
            await asyncio.sleep(_POLL_DRAIN)
        logger.bind(step='drain').info(
            'drained, {} cut off',
            len(self._gate.running),
        )

    def _busy(self) -> bool:
        unread = any(
            link.runs_by_key and link.lost_at is None
            for link in self._links_by_process.values()
        )
        return bool(self._gate.running) or unread

    def _finished(self, run: execution.Run) -> None:
        self._gate.finished(run.key)

    def _start(
        self,
        coroutine: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _give_up_orphans(self) -> None:
        oldest = self.now() - _ORPHAN_GRACE
        for process, link in tuple(self._links_by_process.items()):
            if link.lost_at is None or link.lost_at > oldest:
                continue
            for run in link.runs_by_key.values():
                if not run.buffer.closed:
                    self._log_orphan(run, link.peer.id)
                    run.cancel()
            del self._links_by_process[process]

    def _log_orphan(self, run: execution.Run, entry: str) -> None:
        logger.bind(
            step='orphan',
            request_id=run.key.request_id,
            attempt=run.key.attempt,
            team=run.dispatch.team,
            peer=entry,
        ).warning('given up: its entry is gone')
