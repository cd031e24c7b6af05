"""The daemon on the users' machines: ``python -m clementinepass.machines``.

Puts the direct path together with the adapters of the users' platform.  The
settings file is named by an environment variable; the one argument is the
role, ``entry`` or ``agent``.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import sys

import aioprometheus
from loguru import logger

from clementinepass import errors
from clementinepass.direct import intake, node
from clementinepass.observability import output
from clementinepass.platform import (
    node_settings,
    operator,
    registry,
    store,
)

_EXIT_BAD_SETTINGS = 2
#: Seconds for which callers may keep a list of entries. Some keep it three
#: times as long, and an entry that leaves serves on for that time.
_OFFER_SECONDS = 1.5
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
    role = sys.argv[1]
    try:
        asyncio.run(_entry(own) if role == 'entry' else _agent(own))
    finally:
        lines.flush()


async def _entry(own: node.Node) -> None:
    from clementinepass.direct import entry  # noqa: PLC0415
    from clementinepass.platform import dialect, directory  # noqa: PLC0415

    keep = min(_OFFER_SECONDS, own.duties.longest_offer)
    boundary = entry.Boundary(
        store=store.HttpStore(own.store),
        dialect=dialect.HeaderDialect(),
        spelling=directory.DirectorySpelling(keep),
        readers=_readers(),
    )
    process = entry.Entry(
        own,
        boundary,
        aioprometheus.Registry(),
        random.Random(),
    )
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
    process = agent.Agent(own, boundary, random.Random())
    _settle()
    await process.run()


def _readers() -> intake.Readers:
    return intake.Readers(operator=operator.read, endpoint=registry.read)


def _settle() -> None:
    """Set garbage collection to how these processes make objects."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_COLLECT_EVERY, 20, 20)


if __name__ == '__main__':
    main()
