"""The daemon on the users' machines: ``python -m clementinepass.machines``.

Assembles the direct path with the adapters of the users' platform.  An
environment variable holds the path of the settings file; the only argument is
the role, ``entry`` or ``agent``.
"""

from __future__ import annotations

# Imported first, as it keeps the time at which this process started.
from clementinepass.direct import uptime

import asyncio
import contextlib
import gc
import os
import pathlib
import random
import signal
import sys

import aioprometheus
from loguru import logger

from clementinepass import errors
from clementinepass.direct import background, exposition, intake, node
from clementinepass.observability import output
from clementinepass.platform import (
    node_settings,
    operator,
    registry,
    store,
)

_EXIT_BAD_SETTINGS = 2
#: Seconds between checks whether the settings file has changed.
_POLL_SECONDS = 2.0
#: Allocations between garbage collections. With the default, there are about
#: ten collections per second under load.
_GC_THRESHOLD = 20000


def main() -> None:
    """Run the process until it is stopped by a signal."""
    log_output = output.Output()
    log_output.install()
    try:
        local_node = node_settings.read(os.environ[node_settings.PATH_VARIABLE])
    except (KeyError, errors.SettingsError) as error:
        logger.bind(step='start').critical('no settings: {}', error)
        log_output.flush()
        sys.exit(_EXIT_BAD_SETTINGS)
    try:
        asyncio.run(_run(sys.argv[1], local_node))
    finally:
        log_output.flush()


async def _run(role: str, local_node: node.Node) -> None:
    path = pathlib.Path(os.environ[node_settings.PATH_VARIABLE])
    settings_watcher = asyncio.create_task(
        background.keep_running(lambda: _watch_settings(path, local_node)),
    )
    try:
        await (_entry(local_node) if role == 'entry' else _agent(local_node))
    finally:
        settings_watcher.cancel()
        # The event loop restores the default action, which would end the
        # process before its last log lines are written.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})


async def _watch_settings(path: pathlib.Path, local_node: node.Node) -> None:
    """Reload the settings on SIGHUP and when the file has changed.

    The platform changes the file with or without sending the signal. Without
    a handler, the signal would terminate the process and all its requests.
    """
    loop = asyncio.get_running_loop()
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    modified_at_ns = _modified_at_ns(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_POLL_SECONDS):
                await reload_requested.wait()
        if reload_requested.is_set() or _modified_at_ns(path) != modified_at_ns:
            reload_requested.clear()
            modified_at_ns = _modified_at_ns(path)
            _reload(path, local_node)


def _modified_at_ns(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(path: pathlib.Path, local_node: node.Node) -> None:
    try:
        newer = node_settings.read(str(path))
    except errors.SettingsError as error:
        logger.bind(step='reload').error('settings stay as they are: {}', error)
        return
    changed = local_node.duties.update(newer.duties)
    logger.bind(step='reload', changed=changed).info('settings read')


async def _entry(local_node: node.Node) -> None:
    from clementinepass.direct import entry  # noqa: PLC0415
    from clementinepass.platform import dialect, directory  # noqa: PLC0415

    adapters = entry.PlatformAdapters(
        store=store.HttpStore(local_node.store),
        dialect=dialect.HeaderDialect(),
        directory_handlers=directory.HttpDirectory(),
        decoders=_decoders(),
    )
    metrics_registry = aioprometheus.Registry()
    process = entry.Entry(
        local_node,
        adapters,
        metrics_registry,
        random.Random(),
        uptime.STARTED_AT,
    )
    metrics = exposition.MetricsServer(
        metrics_registry, process.gauges.update, process.fronts
    )
    await metrics.listen(local_node.ip)
    _tune_garbage_collector()
    await process.run()


async def _agent(local_node: node.Node) -> None:
    from clementinepass.direct import agent  # noqa: PLC0415
    from clementinepass.platform import engine  # noqa: PLC0415

    adapters = agent.PlatformAdapters(
        store=store.HttpStore(local_node.store),
        engine=engine.HttpEngine(local_node.endpoint),
        make_origin_source=engine.HttpOrigin,
        decoders=_decoders(),
    )
    metrics_registry = aioprometheus.Registry()
    process = agent.Agent(
        local_node,
        adapters,
        metrics_registry,
        random.Random(),
        uptime.STARTED_AT,
    )
    metrics = exposition.MetricsServer(
        metrics_registry, process.gauges.update, process.fronts
    )
    await metrics.listen(local_node.ip)
    _tune_garbage_collector()
    await process.run()


def _decoders() -> intake.Decoders:
    return intake.Decoders(
        operator=operator.decode_record, endpoint=registry.decode_record
    )


def _tune_garbage_collector() -> None:
    """Exclude startup objects from garbage collection; collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 20, 20)


if __name__ == '__main__':
    main()
