"""Drain an entry after SIGTERM without cutting off answers.

Callers keep a list of entries for a while and reuse open connections until an
answer closes them. A draining entry therefore first announces its drain to the
other entries and to the platform, continues to serve requests that it can
finish, and closes each connection with its next answer. Idle connections are
closed last.
"""

from __future__ import annotations

import asyncio
import signal
import typing

from loguru import logger

from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.decisions import departure as drain_decisions
    from clementinepass.direct import departure, gossip, path
    from clementinepass.http import front

_POLL_SECONDS = 0.05
#: Polls at the end in which final answers are written and connections in use
#: are closed. Polls are counted instead of timed, as a process that is delayed
#: for a moment would reach a time limit before its final answers are written.
_FINAL_POLLS = 4


class Drainer:
    """Wait for SIGTERM, then drain.

    :param caller_front: accepts callers' connections.
    :param request_handler: serves the requests in progress.
    :param peers: announces the phase of this entry.
    :param drain_state: decides which requests are still accepted.
    """

    __slots__ = (
        '_drain_state',
        '_front',
        '_request_handler',
        '_peers',
        '_signalled_at',
        '_stop_requested',
    )

    def __init__(
        self,
        caller_front: front.Front,
        request_handler: path.RequestHandler,
        peers: gossip.Peers,
        drain_state: departure.DrainState,
    ) -> None:
        self._front = caller_front
        self._request_handler = request_handler
        self._peers = peers
        self._drain_state = drain_state
        self._stop_requested = asyncio.Event()
        #: Monotonic time in seconds of the first signal to stop.
        self._signalled_at: float | None = None

    async def wait_until_drained(self) -> None:
        """Return once the process has drained and may end."""
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, self._stop_requested.set)
            # The loop is notified through its file descriptor, whichever
            # function handles the signal.
            signal.signal(stop_signal, self._record_signal)
        await self._stop_requested.wait()
        plan = self._drain_state.start(self._signalled_at or loop.time())
        self._peers.phase = members.Phase.DRAINING
        self._peers.send_heartbeat()
        self._front.is_draining = True
        self._request_handler.finish_by(plan.last_answer_at)
        logger.bind(
            connections=len(self._front.connections),
            open=self._front.busy_count(),
            lists_end=round(plan.lists_expire_at - plan.started_at, 3),
            last=round(plan.last_answer_at - plan.started_at, 3),
        ).info('leaving')
        while not plan.may_end(loop.time(), self._front.busy_count()):
            await asyncio.sleep(_POLL_SECONDS)
            if self._drain_state.follow_shorter_grace():
                plan = self._drain_state.plan or plan
                self._request_handler.finish_by(plan.last_answer_at)
        await self._close(plan)
        logger.bind(
            seconds=round(loop.time() - plan.started_at, 3),
            open=self._front.busy_count(),
            taken=self._drain_state.accepted_count,
            refused=self._drain_state.refused_count,
        ).info('stopped')

    def _record_signal(self, *signal_details: object) -> None:
        """Record the time of the first signal.

        The event loop handles a signal when it has run the callbacks that are
        due, which may take long. The grace period has begun by then.
        """
        if self._signalled_at is None:
            self._signalled_at = asyncio.get_running_loop().time()

    async def _close(self, plan: drain_decisions.DrainPlan) -> None:
        """Stop listening and close the connections once they are idle.

        A connection may have been accepted just before, and its request may
        arrive afterwards. It is served like any other until the end of the
        plan.
        """
        loop = asyncio.get_running_loop()
        self._front.stop_listening()
        final_polls = 0
        while final_polls < _FINAL_POLLS:
            await asyncio.sleep(_POLL_SECONDS)
            if not self._front.close_idle():
                break
            if plan.may_end(loop.time(), self._front.busy_count()):
                final_polls += 1
