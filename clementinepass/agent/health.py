"""Liveness of the endpoint: crashes told apart from failed calls."""

from __future__ import annotations

import asyncio
import threading
import time
import typing

from loguru import logger

#: Looks at an endpoint that neither answers nor is gone, and the seconds
#: between them; a process is gone a few milliseconds after it ended.
_LOOKS = 10
_LOOK_INTERVAL = 0.03

if typing.TYPE_CHECKING:
    from clementinepass import errors
    from clementinepass.agent import gate as gates
    from clementinepass.endpoints import protocols
    from clementinepass.wire import bridge as bridges


class EndpointHealth:
    """Name the endpoint's crashes, the same for all runs that one ended.

    :param endpoint: the engine or service.
    :param process: a name that no other process of an agent has.
    """

    def __init__(self, endpoint: protocols.Endpoint, process: str) -> None:
        self._endpoint = endpoint
        self._process = process
        self._lock = threading.Lock()
        self._alive = False
        self._crashes = 0

    def check(self) -> bool:
        """Ask the endpoint whether it answers; blocks."""
        healthy = self._endpoint.is_healthy()
        self._note(gone=not healthy and self._endpoint.is_gone())
        return healthy

    def crash_of(self, failure: errors.EndpointError) -> str:
        """Return the crash that ended a run; empty if the endpoint lives.

        Only an endpoint at which nobody listens has died. One that is slow to
        answer, as under heavy load, has not: its requests must not become
        suspects for that.

        Runs in the thread of each failed run. All runs of one crash get the
        same name, since only the first of them finds the endpoint still
        marked as alive.
        """
        for _ in range(_LOOKS):
            if self._endpoint.is_gone():
                self._note(gone=True)
                return self._name()
            if self._endpoint.is_healthy():
                return ''
            # A process that is ending still has its listening socket for a
            # moment: connections are taken and reset. Taken for a failed
            # call, the request that killed it would not become a suspect.
            time.sleep(_LOOK_INTERVAL)
        return ''

    def _name(self) -> str:
        with self._lock:
            return f'{self._process}/{self._crashes}'

    def _note(self, *, gone: bool) -> None:
        with self._lock:
            if self._alive and gone:
                self._crashes += 1
                logger.bind(step='health').error('the endpoint has died')
            self._alive = not gone


class ServiceMonitor:
    """Keep the gate of a plain service open while the service lives.

    :param interval: seconds between checks.
    """

    def __init__(
        self,
        health: EndpointHealth,
        gate: gates.Gate,
        bridge: bridges.Bridge,
        interval: float,
    ) -> None:
        self._health = health
        self._gate = gate
        self._bridge = bridge
        self._interval = interval

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            if await self._bridge.block(self._health.check):
                self._gate.open('')
            else:
                self._gate.close('the service does not answer')
            await asyncio.sleep(self._interval)
