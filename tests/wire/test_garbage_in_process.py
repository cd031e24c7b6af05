"""Tests of the collection of garbage."""

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
    """A process outlives the garbage that its threads meet."""

    def test_cycles_are_collected_on_the_loop(self) -> None:
        """A collection in another thread must not end the process.

        An operator sees: an agent ends with signal 6, once in some starts.
        A promise became part of a cycle, a thread that served a call happened
        to collect it, and Cap'n Proto aborts when that is not its loop's
        thread. The first run shows that the harm is real.
        """
        self.assertNotEqual(0, _run('plain').returncode)
        guarded = _run('guarded')
        self.assertEqual((0, 'ended\n'), (guarded.returncode, guarded.stdout))
