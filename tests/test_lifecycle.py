"""Begin to drain once, and end at once only on a second SIGTERM."""

from __future__ import annotations

import asyncio
import pathlib

import testtools

from clementinepass import lifecycle

_DRAIN = 'drain'
_SIGTERM = 'SIGTERM'


class LifecycleTest(testtools.TestCase):
    """The drain command and signals, in the orders that occur."""

    def test_drain_and_then_one_sigterm(self) -> None:
        """The command and the first SIGTERM drain; a second SIGTERM ends.

        An operator sends `drain`, then the platform stops the process with
        one SIGTERM, as it always does. The process ended at once with 143
        and cut off the answers in progress: the command and the signal
        shared one event, so the first SIGTERM was taken for the second.
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
            exits, drained = asyncio.run(_run(calls))
            self.assertEqual((expected, 1), (exits, drained), calls)


async def _run(calls: tuple[str, ...]) -> tuple[list[int], int]:
    """Make the calls; return exit codes and how often it was drained."""
    exits: list[int] = []
    drained: list[str] = []
    life = lifecycle.Lifecycle(pathlib.Path('unused.ini'), exits.append)

    async def drain() -> None:
        drained.append(_DRAIN)

    for call in calls:
        if call == _DRAIN:
            life.stop()
        else:
            life.terminate()
    await life.run(asyncio.sleep(3600), drain)
    return exits, len(drained)
