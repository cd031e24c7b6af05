"""Tests of the small system on loopback that other tests play on."""

from __future__ import annotations

import asyncio
import socket

import testtools

from clementinepass import errors
from standins import machines


class PortsTest(testtools.TestCase):
    """Ports for processes that don't listen yet."""

    def test_none_twice(self) -> None:
        """Two processes that were to listen at one port of one address."""
        drawn = [machines.free_port(['127.1.0.1']) for _ in range(60)]

        self.assertEqual(len(drawn), len(set(drawn)))

    def test_taken(self) -> None:
        """A port that another program listens at is passed over."""
        with socket.socket() as other:
            first = machines.free_port(['127.1.0.1'])
            other.bind(('127.1.0.1', first + 1))
            other.listen()

            self.assertNotEqual(first + 1, machines.free_port(['127.1.0.1']))

    def test_block_of_another_process(self) -> None:
        """Two processes drew the same ports, since they shared a block."""
        claim = machines._claim_block.__wrapped__
        first, second = claim(), claim()
        with first, second:
            self.assertNotEqual(first.getsockname(), second.getsockname())
            for guard in (first, second):
                offset = guard.getsockname()[1] - machines._FIRST_PORT
                self.assertEqual(0, offset % machines._BLOCK)


class StartTest(testtools.TestCase):
    """The start of all processes."""

    def test_cannot_listen(self) -> None:
        """An entry that could not listen was waited for until the time limit."""

        async def played() -> None:
            world = machines.Machines((), entries=2)
            with socket.socket() as other:
                other.bind((world.entry_ips[1], world.port))
                other.listen()
                async with asyncio.timeout(20), world:
                    await world.all_known()

        error = self.assertRaises(
            (OSError, errors.ClementinepassError, ExceptionGroup),
            asyncio.run,
            played(),
        )
        self.assertNotIsInstance(error, TimeoutError)
