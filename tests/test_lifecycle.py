"""Tests of draining and of exiting on a second SIGTERM."""

from __future__ import annotations

import asyncio
import pathlib

import testtools

from clementinepass import lifecycle

_DRAIN = 'drain'
_SIGTERM = 'SIGTERM'


class LifecycleTest(testtools.TestCase):
    """The drain command and SIGTERM in all relevant orders."""

    def test_drain_and_then_one_sigterm(self) -> None:
        """The command and the first SIGTERM drain; the second SIGTERM exits.

        After an operator's drain command, the platform stops the process with
        one SIGTERM. If command and signal shared one event, that SIGTERM would
        count as the second: the process would exit with 143 and cut off the
        answers in progress.
        """
        cases: tuple[tuple[tuple[str, ...], list[int]], ...] = (
            ((_DRAIN,), []),
            ((_SIGTERM,), []),
            ((_DRAIN, _DRAIN), []),
            ((_DRAIN, _SIGTERM), []),
            ((_SIGTERM, _DRAIN), []),
            ((_SIGTERM, _DRAIN, _DRAIN), []),
            ((_SIGTERM, _SIGTERM), [143]),
            ((_DRAIN, _SIGTERM, _SIGTERM), [143]),
        )
        for calls, expected in cases:
            exits, drain_count = asyncio.run(_run(calls))
            self.assertEqual((expected, 1), (exits, drain_count), calls)


async def _run(calls: tuple[str, ...]) -> tuple[list[int], int]:
    """Make the calls; return exit codes and the number of drains."""
    exits: list[int] = []
    drains: list[str] = []
    daemon_lifecycle = lifecycle.Lifecycle(
        pathlib.Path('unused.ini'), exits.append
    )

    async def drain() -> None:
        drains.append(_DRAIN)

    for call in calls:
        if call == _DRAIN:
            daemon_lifecycle.stop()
        else:
            daemon_lifecycle.terminate()
    await daemon_lifecycle.run(asyncio.sleep(3600), drain)
    return exits, len(drains)
