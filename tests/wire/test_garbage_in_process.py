"""Tests of garbage collection in a process with Cap'n Proto objects."""

from __future__ import annotations

import subprocess
import sys

import testtools

_PROGRAM = """
import asyncio, contextlib, sys
import capnp
from clementinepass.wire import addresses, connections, garbage, schema

guarded = sys.argv[1] == 'guarded'

class Server(schema.peers.Process.Server):
    async def drain(self, **_):
        pass
    def disconnected(self):
        pass

def allocate():
    for _ in range(200):
        kept = [[] for _ in range(1000)]

async def main():
    address = addresses.Address('127.0.0.1', 0)
    guard = contextlib.nullcontext()
    if guarded:
        guard = garbage.collect_on_loop()
    async with capnp.kj_loop(), guard:
        async with connections.listen(address, Server) as bound:
            for _ in range(20):
                connection = await connections.Connection.open(bound, 5)
                cycle = [connection.bootstrap(schema.peers.Process)]
                cycle.append(cycle)
                await cycle[0].drain()
                del cycle
                await asyncio.to_thread(allocate)
                connection.close()
    print('ended')

asyncio.run(main())
"""


def _run(mode: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, '-c', _PROGRAM, mode],
        capture_output=True,
        text=True,
        timeout=60,
    )


class CollectionTest(testtools.TestCase):
    """Allocations in threads do not abort the process."""

    def test_cycles_are_collected_on_the_loop(self) -> None:
        """Reference cycles are not freed by a collection in another thread.

        Guards against an agent that occasionally ends with signal 6: a promise
        became part of a cycle, the collector ran in a thread that served a
        call, and Cap'n Proto aborts the process if that is not the thread of
        the event loop. The first run, without the guard, shows the failure.
        """
        self.assertNotEqual(0, _run('plain').returncode)
        guarded = _run('guarded')
        self.assertEqual((0, 'ended\n'), (guarded.returncode, guarded.stdout))
