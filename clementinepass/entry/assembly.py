"""An entry process, put together from its settings."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import typing

import aioprometheus
from loguru import logger

from clementinepass import clock as clocks
from clementinepass import lifecycle
from clementinepass.configuration import follower, snapshots
from clementinepass.entry import entry as entries
from clementinepass.entry import http, instruments, servers
from clementinepass.observability import exposition
from clementinepass.platform import instance_list, log_service, transport
from clementinepass.requests import claim_service
from clementinepass.wire import addresses, bridge, connections, messages

if typing.TYPE_CHECKING:
    from clementinepass.settings import settings as daemon_settings

#: Threads for the log and the instance list.
_THREADS = 12
#: Seconds for which a thread may keep the interpreter from the others. The
#: default of 5 ms would show between any two tokens.
_SWITCH_INTERVAL = 0.0005
#: Seconds beyond the time for which the log holds a read.
_LOG_MARGIN = 2.0
_POLL = 0.05
#: Seconds in which callers are told that their requests were cut off.
_CUT_OFF_SECONDS = 0.5


async def run(
    settings: daemon_settings.Settings,
    incarnation: int,
    path: pathlib.Path,
) -> None:
    """Run an entry until it is told to leave."""
    sys.setswitchinterval(_SWITCH_INTERVAL)
    process = _Process(settings, incarnation)
    await process.run(path)


class _Process:
    """The parts of an entry process."""

    def __init__(
        self,
        settings: daemon_settings.Settings,
        incarnation: int,
    ) -> None:
        if settings.callers is None or settings.configuration is None:
            raise ValueError('settings of another role')
        self._settings = settings
        self._callers = settings.callers
        self._clock = clocks.MonotonicClock()
        self._registry = aioprometheus.Registry()
        self._bridge = bridge.Bridge(asyncio.get_running_loop(), _THREADS)
        log = log_service.HttpLogService(
            str(settings.platform.log),
            self._transport_limits(),
        )
        self._follower = follower.Follower(log)
        self._metrics = instruments.Instruments(self._registry)
        identity = messages.Peer(
            settings.daemon.id,
            incarnation,
            settings.daemon.failure_domain,
        )
        self._entry = entries.Entry(
            identity,
            region=settings.daemon.region,
            limits=entries.Limits(
                settings.peers.heartbeat,
                settings.peers.silence,
                settings.callers.max_age,
            ),
            follower=self._follower,
            snapshotter=snapshots.Snapshotter(
                log,
                every=settings.configuration.snapshot_every,
                age=settings.configuration.snapshot_age,
            ),
            log=log,
            instance_list=instance_list.HttpInstanceList(
                str(settings.platform.instance_list),
                self._transport_limits(),
            ),
            bridge=self._bridge,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._claimer = claim_service.ClaimService(
            log,
            f'{identity.id}#{incarnation}',
            self._clock,
        )
        self._limits = http.Limits(
            self._callers.threads,
            self._callers.streams,
            self._callers.body_limit,
            self._callers.max_age,
        )
        self._app = http.App(
            self._entry,
            self._bridge,
            self._claimer,
            self._limits,
            self._clock,
            self._metrics,
        )

    async def run(self, path: pathlib.Path) -> None:
        """Serve until told to leave."""
        daemon = self._settings.daemon
        callers = self._callers_server()
        health = exposition.MetricsServer(
            daemon.metrics_listen.host,
            daemon.metrics_listen.port,
            self._registry,
            lambda: self._entry.ready,
            self._bridge,
        )
        listen = addresses.Address(daemon.listen.host, daemon.listen.port)
        self._claimer.start()
        life = lifecycle.Lifecycle(path)
        async with connections.listen(
            listen,
            lambda: servers.EntryServer(self._entry, life.stop),
        ) as bound:
            callers.start()
            logger.bind(
                step='listening',
                role='entry',
                id=daemon.id,
                peers=bound,
                callers=f'{self._callers.listen.host}:{callers.port}',
                metrics=f'{daemon.metrics_listen.host}:{health.port}',
            ).info('listening')
            await life.run(self._entry.run(), self._drain)
        # The threads of callers wait for the event loop, so it has to run
        # until they have ended.
        await asyncio.to_thread(callers.close)
        self._claimer.stop()
        await asyncio.to_thread(health.close)
        self._bridge.close()
        logger.bind(step='close').info('closed')

    async def _drain(self) -> None:
        """Announce the leaving, wait for callers to go, finish what runs.

        Callers may keep this entry's address for the list's max-age, so it
        goes on accepting for that long.
        """
        self._entry.leave()
        logger.bind(step='drain').info('leaving')
        leaving = self._entry.leaving
        while leaving.accepts_requests(self._clock.now()):
            await asyncio.sleep(_POLL)
        logger.bind(step='drain').info(
            'no longer accepting, {} in progress', self._app.in_progress
        )
        await self._until_idle(self._settings.daemon.drain_grace)
        logger.bind(step='drain').info(
            'drained, {} cut off', self._app.in_progress
        )
        if self._app.in_progress:
            self._app.cut_off()
            await self._until_idle(_CUT_OFF_SECONDS)

    async def _until_idle(self, seconds: float) -> None:
        """Wait until nothing is in progress, or for a time."""
        deadline = self._clock.now() + seconds
        while self._app.in_progress and self._clock.now() < deadline:
            await asyncio.sleep(_POLL)

    def _callers_server(self) -> http.CallersServer:
        listen = self._callers.listen
        return http.CallersServer(
            listen.host, listen.port, self._app, self._limits
        )

    def _transport_limits(self) -> transport.Limits:
        timeout = self._settings.platform.timeout
        return transport.Limits(
            connect_timeout=timeout,
            read_timeout=timeout + _LOG_MARGIN,
        )
