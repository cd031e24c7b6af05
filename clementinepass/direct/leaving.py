"""Leave without a cut answer: from SIGTERM to the end of the process.

Callers keep a list of entries for a while and use open connections until
they are told otherwise.  So a leaving entry first says so to the others and
to the platform, serves on what it can finish, and tells each caller with its
next answer to use the connection no more; idle connections end last.
"""

from __future__ import annotations

import asyncio
import signal
import typing

from loguru import logger

from clementinepass.direct import members

if typing.TYPE_CHECKING:
    from clementinepass.direct import departure, gossip, path
    from clementinepass.http import front

_POLL_SECONDS = 0.05
#: Looks at the end in which final answers go out, and connections that a caller
#: still uses end. Counted and not timed, since a process that is held up for a
#: moment finds its time over, with its final answers still to be written.
_FINAL_POLLS = 4


class Drainer:
    """Wait for SIGTERM, then leave.

    :param callers: takes callers' connections.
    :param serving: the path of requests.
    """

    __slots__ = (
        '_drain_state',
        '_front',
        '_request_handler',
        '_peers',
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

    async def wait_until_drained(self) -> None:
        """Return when the process may end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        await self._stop_requested.wait()
        plan = self._drain_state.start(loop.time())
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
        self._front.stop_listening()
        for _ in range(_FINAL_POLLS):
            if not self._front.close_idle():
                break
            await asyncio.sleep(_POLL_SECONDS)
        logger.bind(
            seconds=round(loop.time() - plan.started_at, 3),
            open=self._front.busy_count(),
            taken=self._drain_state.accepted_count,
            refused=self._drain_state.refused_count,
        ).info('stopped')
