"""Tests of finding out whether the process of an endpoint has ended."""

from __future__ import annotations

import asyncio
import types
import typing

import testtools

from clementinepass.direct import crash_detection

HOST = '127.0.0.1'


def is_gone(port: int) -> typing.Awaitable[bool]:
    """Ask whether the process at a port is gone."""
    listing = types.SimpleNamespace(address=f'{HOST}:{port}', draining=False)
    endpoint = types.SimpleNamespace(listing=listing, removed_at=None)
    unused: typing.Any = None
    detector = crash_detection.CrashDetector(unused, unused)
    return detector.is_gone(typing.cast('typing.Any', endpoint))


class GoneTest(testtools.TestCase):
    """Whether an answer that ends with its connection was ended by a crash."""

    def check(self, *, expected: bool, keeps: bool, seconds: float) -> None:
        """Ask about a process that listens for some seconds.

        :param keeps: whether it keeps connections, and does not reset them.
        """

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if keeps:
                await asyncio.sleep(seconds)
            writer.transport.abort()

        async def scenario() -> None:
            server = await asyncio.start_server(handle, HOST, 0)
            port = server.sockets[0].getsockname()[1]
            asyncio.get_running_loop().call_later(seconds, server.close)
            self.assertEqual(expected, await is_gone(port))
            server.close()

        asyncio.run(scenario())

    def test_serves(self) -> None:
        """A process that goes on is not gone."""
        self.check(expected=False, keeps=True, seconds=1)

    def test_connection_limit(self) -> None:
        """An endpoint with as many connections as it takes is not gone."""
        self.check(expected=False, keeps=False, seconds=1)

    def test_listens_on_for_a_moment(self) -> None:
        """The half of an answer was taken for the whole in that moment."""
        self.check(expected=True, keeps=True, seconds=0.01)
        self.check(expected=True, keeps=False, seconds=0.01)
