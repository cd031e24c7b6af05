"""The daemon on the users' machines: ``python -m clementinepass.machines``.

Puts the direct path together with the adapters of the users' platform.  The
settings file is named by an environment variable; the one argument is the
role, ``entry`` or ``agent``.
"""

from __future__ import annotations

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
#: Seconds between looks whether the settings file has changed.
_LOOK_SECONDS = 2.0
#: Objects made between collections of garbage. The defaults collect some ten
#: times a second under load; what is made at start is never collected.
_COLLECT_EVERY = 20000


def main() -> None:
    """Run one process until it is told to stop."""
    lines = output.Output()
    lines.install()
    try:
        own = node_settings.read(os.environ[node_settings.VARIABLE])
    except (KeyError, errors.SettingsError) as error:
        logger.bind(step='start').critical('no settings: {}', error)
        lines.flush()
        sys.exit(_EXIT_BAD_SETTINGS)
    try:
        asyncio.run(_run(sys.argv[1], own))
    finally:
        lines.flush()


async def _run(role: str, own: node.Node) -> None:
    path = pathlib.Path(os.environ[node_settings.VARIABLE])
    following = asyncio.create_task(
        background.keep_running(lambda: _follow_settings(path, own)),
    )
    try:
        await (_entry(own) if role == 'entry' else _agent(own))
    finally:
        following.cancel()


async def _follow_settings(path: pathlib.Path, own: node.Node) -> None:
    """Read the settings anew when told to, and when the file has changed.

    The platform changes them with a signal and without one. Without a
    handler the signal would end the process, and all that it serves.
    """
    loop = asyncio.get_running_loop()
    told = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, told.set)
    written = _written(path)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LOOK_SECONDS):
                await told.wait()
        if told.is_set() or _written(path) != written:
            told.clear()
            written = _written(path)
            _reload(path, own)


def _written(path: pathlib.Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(path: pathlib.Path, own: node.Node) -> None:
    try:
        newer = node_settings.read(str(path))
    except errors.SettingsError as error:
        logger.bind(step='reload').error('settings stay as they are: {}', error)
        return
    changed = own.duties.update(newer.duties)
    logger.bind(step='reload', changed=changed).info('settings read')


async def _entry(own: node.Node) -> None:
    from clementinepass.direct import entry  # noqa: PLC0415
    from clementinepass.platform import dialect, directory  # noqa: PLC0415

    boundary = entry.PlatformAdapters(
        store=store.HttpStore(own.store),
        dialect=dialect.HeaderDialect(),
        directory_handlers=directory.DirectorySpelling(),
        readers=_readers(),
    )
    registry_of_metrics = aioprometheus.Registry()
    process = entry.Entry(
        own,
        boundary,
        registry_of_metrics,
        random.Random(),
    )
    shown = exposition.MetricsServer(registry_of_metrics, process.gauges.update)
    await shown.listen(own.ip)
    _settle()
    await process.run()


async def _agent(own: node.Node) -> None:
    from clementinepass.direct import agent  # noqa: PLC0415
    from clementinepass.platform import engine  # noqa: PLC0415

    boundary = agent.Boundary(
        store=store.HttpStore(own.store),
        engine=engine.HttpEngine(own.endpoint),
        origin=engine.HttpOrigin,
        readers=_readers(),
    )
    registry_of_metrics = aioprometheus.Registry()
    process = agent.Agent(own, boundary, registry_of_metrics, random.Random())
    shown = exposition.MetricsServer(registry_of_metrics, process.gauges.update)
    await shown.listen(own.ip)
    _settle()
    await process.run()


def _readers() -> intake.Decoders:
    return intake.Decoders(operator=operator.read, endpoint=registry.read)


def _settle() -> None:
    """Set garbage collection to how these processes make objects."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_EVERY, 20, 20)


if __name__ == '__main__':
    main()
