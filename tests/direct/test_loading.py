"""Tests of staging pieces and ordering an engine to load them."""

from __future__ import annotations

import asyncio
import hashlib
import typing

import testtools

from clementinepass.decisions import piece_chains
from clementinepass.direct import endpoints, loading, weights

CHUNKS = 24
MODEL = 'm'
STEP = 0.001


def payload(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    return b'%d of %d' % (number, version)


class Engine:
    """An engine whose staged pieces are a dictionary."""

    def __init__(self) -> None:
        self.lying: dict[int, bytes] = {}
        #: Seconds until a piece that was sent lies there, whether or not its
        #: sender still waits.
        self.seconds = STEP
        #: Pieces that are on their way there.
        self.coming = 0
        #: What lay staged at each order.
        self.orders: list[tuple[int, dict[int, bytes]]] = []
        self.started = 1
        #: The number of the piece that is read when it loses its power and
        #: starts again, without what lay staged.
        self.restarts_at: int | None = None

    async def report(self) -> weights.EngineReport:
        """Return its state."""
        held = endpoints.Weights(1, 0, 4)
        begun = len(self.orders)
        return weights.EngineReport(held, False, begun, 0, 0, self.started)

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return what lies staged."""
        return frozenset(self.lying)

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece."""
        loop = asyncio.get_running_loop()
        staged = loop.create_future()

        self.coming += 1

        def take() -> None:
            self.coming -= 1
            self.lying[number] = piece
            if not staged.done():
                staged.set_result(None)

        loop.call_later(self.seconds, take)
        await staged

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece."""
        await asyncio.sleep(STEP)
        found = self.lying.get(number)
        if number == self.restarts_at:
            self.restarts_at = None
            self.started += 1
            self.lying.clear()
        return found

    async def load(
        self,
        model: str,
        version: int,
        report: weights.EngineReport,
    ) -> weights.OrderResult:
        """Take an order."""
        await asyncio.sleep(STEP)
        self.orders.append((version, dict(self.lying)))
        return weights.OrderResult.ACCEPTED


class Origin:
    """Hands out all versions, but no piece from some number on."""

    last_received_at: float = 0

    def __init__(self, end: int = CHUNKS) -> None:
        self.end = end
        self.asked: list[int] = []
        #: Seconds that a piece takes.
        self.seconds = STEP
        self.has_manifests = True

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version."""
        if not self.has_manifests:
            return None
        digests = (
            hashlib.sha256(payload(version, number)).hexdigest()
            for number in range(CHUNKS)
        )
        return weights.Manifest(model, version, tuple(digests))

    async def available_pieces(self, *asked: object) -> weights.Availability:
        """Return nothing."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, or wait for ever."""
        if number >= self.end:
            await asyncio.Event().wait()
        self.asked.append(number)
        await asyncio.sleep(self.seconds)
        return weights.Piece(payload(version, number))


class _View:
    """A machine alone with the origin."""

    def __init__(self, origin: Origin) -> None:
        self._origin = origin
        self.version = 2

    def plan_input(self, model: str, version: int) -> piece_chains.Question:
        """Return that there is nobody else."""
        own = piece_chains.Peer('north', 'north-1', '10.0.0.1')
        return piece_chains.Question(own, [], 'north')

    def source(self, ip: str) -> typing.Any:
        """Return the origin."""
        return self._origin if ip == piece_chains.ORIGIN else None

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the version that is got now."""
        return MODEL, self.version


def run(story: typing.Awaitable[None]) -> None:
    """Run a story to its end."""

    async def played() -> None:
        async with asyncio.timeout(20):
            await story

    asyncio.run(played())


class LoadingTest(testtools.TestCase):
    """What an engine loads is one version, whole."""

    def test_next_version_meanwhile(self) -> None:
        """Pieces of version 3 came while version 2 was being loaded.

        Each is staged as it comes, in place of the one of version 2 with the
        same number. Between the last look at version 2 and the order, one of
        them would have been loaded with the rest of version 2.
        """
        engine = Engine()
        origin = Origin()
        view = _View(origin)
        own = loading.Loader(engine, view)

        async def story() -> None:
            await own.fetch(MODEL, 2)
            view.version = 3
            origin.seconds = 20 * STEP
            fetching = asyncio.create_task(own.fetch(MODEL, 3))
            await asyncio.sleep(STEP)
            await own.load(MODEL, 2)
            self.assertFalse(fetching.done())
            await fetching
            await own.load(MODEL, 3)

        run(story())
        self.assertEqual([2, 3], [version for version, _ in engine.orders])
        for version, lying in engine.orders:
            for number in range(CHUNKS):
                self.assertEqual(payload(version, number), lying[number])

    def test_prepared(self) -> None:
        """Version 3 was named while version 2 came, and the origin went.

        Its manifest was asked for only after version 2 was whole, when nobody
        had it any more.
        """
        origin = Origin()
        view = _View(origin)
        own = loading.Loader(Engine(), view)

        async def story() -> None:
            fetching = asyncio.create_task(own.fetch(MODEL, 2))
            await own.prepare(MODEL, 3)
            origin.has_manifests = False
            await fetching
            view.version = 3
            await own.fetch(MODEL, 3)

        run(story())
        self.assertEqual(3, own.newest_complete(MODEL))

    def test_prepared_meanwhile(self) -> None:
        """Pieces that have come stay, whoever asked for the manifest too."""
        own = loading.Loader(Engine(), _View(Origin()))

        async def story() -> None:
            await asyncio.gather(
                own.fetch(MODEL, 2),
                own.prepare(MODEL, 2),
            )

        run(story())
        self.assertEqual(2, own.newest_complete(MODEL))

    def test_staging_given_up(self) -> None:
        """Getting version 3 ended while one of its pieces was being staged.

        The engine took that piece a moment later, when version 2 had been read
        back there and the order to load it was on its way.
        """
        engine = Engine()
        origin = Origin()
        view = _View(origin)
        own = loading.Loader(engine, view)

        async def story() -> None:
            await own.fetch(MODEL, 2)
            await own.load(MODEL, 2)
            engine.seconds = CHUNKS * STEP / 2
            view.version = 3
            origin.seconds = 20 * STEP
            fetching = asyncio.create_task(own.fetch(MODEL, 3))
            while not engine.coming:
                await asyncio.sleep(0)
            fetching.cancel()
            await asyncio.gather(fetching, return_exceptions=True)
            await own.load(MODEL, 2)

        run(story())
        version, lying = engine.orders[-1]
        self.assertEqual(2, version)
        for number in range(CHUNKS):
            self.assertEqual(payload(2, number), lying[number])

    def test_engine_restarted_meanwhile(self) -> None:
        """An engine lost power after its pieces had been read back.

        Its new start had begun as many orders as the one before, none, and
        took the order, with nothing staged.
        """
        engine = Engine()
        own = loading.Loader(engine, _View(Origin()))

        async def story() -> None:
            await own.fetch(MODEL, 2)
            engine.restarts_at = CHUNKS - 1
            self.assertFalse(await own.load(MODEL, 2))
            self.assertEqual([], engine.orders)
            self.assertTrue(await own.load(MODEL, 2))

        run(story())
        ((_, lying),) = engine.orders
        self.assertEqual(CHUNKS, len(lying))

    def test_killed_agent(self) -> None:
        """An agent was killed when it had most of the pieces.

        It began anew, and its engine, which nobody might use any more, served
        nothing for six seconds. What had come lies staged at the engine.
        """
        engine = Engine()
        first = Origin(end=CHUNKS // 2)

        async def story() -> None:
            killed = asyncio.create_task(
                loading.Loader(engine, _View(first)).fetch(MODEL, 2),
            )
            while len(engine.lying) < CHUNKS // 2:
                await asyncio.sleep(STEP)
            killed.cancel()
            second = Origin()
            await loading.Loader(engine, _View(second)).fetch(MODEL, 2)
            self.assertEqual(
                list(range(CHUNKS // 2, CHUNKS)),
                sorted(second.asked),
            )

        run(story())
