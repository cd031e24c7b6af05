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
STEP_SECONDS = 0.001


def payload(version: int, number: int) -> bytes:
    """Return the bytes of a piece."""
    return b'%d of %d' % (number, version)


class Engine:
    """Engine that keeps its staged pieces in memory."""

    def __init__(self) -> None:
        self.staged_pieces: dict[int, bytes] = {}
        #: Seconds until a sent piece is staged, even if the sender no longer
        #: waits.
        self.stage_seconds = STEP_SECONDS
        #: How many pieces are being staged.
        self.pending_count = 0
        #: The version and the staged pieces of each order.
        self.orders: list[tuple[int, dict[int, bytes]]] = []
        self.started = 1
        #: The number of the piece at whose read-back the engine loses power and
        #: restarts without its staged pieces.
        self.restart_at_piece: int | None = None
        #: The number of the piece at whose read-back the engine begins to
        #: drain.
        self.drain_at_piece: int | None = None
        self.is_draining = False

    async def report(self) -> weights.EngineReport:
        """Return the engine's state."""
        loaded = endpoints.Weights(1, 0, 4)
        order_count = len(self.orders)
        return weights.EngineReport(
            loaded,
            False,
            order_count,
            0,
            0,
            self.started,
            is_draining=self.is_draining,
        )

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return the numbers of the staged pieces."""
        return frozenset(self.staged_pieces)

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece after a delay."""
        loop = asyncio.get_running_loop()
        staged = loop.create_future()

        self.pending_count += 1

        def finish() -> None:
            self.pending_count -= 1
            self.staged_pieces[number] = piece
            if not staged.done():
                staged.set_result(None)

        loop.call_later(self.stage_seconds, finish)
        await staged

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece."""
        await asyncio.sleep(STEP_SECONDS)
        piece = self.staged_pieces.get(number)
        if number == self.drain_at_piece:
            self.is_draining = True
        if number == self.restart_at_piece:
            self.restart_at_piece = None
            self.started += 1
            self.staged_pieces.clear()
        return piece

    async def load(
        self,
        model: str,
        version: int,
        report: weights.EngineReport,
    ) -> weights.OrderResult:
        """Record and accept an order."""
        await asyncio.sleep(STEP_SECONDS)
        self.orders.append((version, dict(self.staged_pieces)))
        return weights.OrderResult.ACCEPTED


class Origin:
    """Origin with all versions, but without pieces from a number on."""

    last_received_at: float = 0

    def __init__(self, end: int = CHUNKS) -> None:
        self.end = end
        self.requested_numbers: list[int] = []
        #: Transfer time of a piece.
        self.piece_seconds = STEP_SECONDS
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

    async def available_pieces(self, *query: object) -> weights.Availability:
        """Return an empty availability."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, or never return if there is none."""
        if number >= self.end:
            await asyncio.Event().wait()
        self.requested_numbers.append(number)
        await asyncio.sleep(self.piece_seconds)
        return weights.Piece(payload(version, number))


class _Context:
    """Context of an agent without other agents."""

    def __init__(self, origin: Origin) -> None:
        self._origin = origin
        self.version = 2

    def plan_input(self, model: str, version: int) -> piece_chains.PlanInput:
        """Return an input without peers."""
        local_peer = piece_chains.Agent('north', 'north-1', '10.0.0.1')
        return piece_chains.PlanInput(local_peer, [], 'north')

    def source(self, ip: str) -> typing.Any:
        """Return the origin."""
        return self._origin if ip == piece_chains.ORIGIN else None

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the version that is fetched now."""
        return MODEL, self.version


def run_scenario(scenario: typing.Awaitable[None]) -> None:
    """Run a scenario to its end."""

    async def main() -> None:
        async with asyncio.timeout(20):
            await scenario

    asyncio.run(main())


class LoadingTest(testtools.TestCase):
    """An engine loads only complete versions."""

    def test_next_version_fetched_while_loading(self) -> None:
        """Pieces of version 3 arrive while version 2 is being loaded.

        Each is staged in place of the piece of version 2 with the same number.
        If that happened between the read-back of version 2 and the order, the
        engine would load a mixture of both.
        """
        engine = Engine()
        origin = Origin()
        context = _Context(origin)
        loader = loading.Loader(engine, context)

        async def scenario() -> None:
            await loader.fetch(MODEL, 2)
            context.version = 3
            origin.piece_seconds = 20 * STEP_SECONDS
            fetch_task = asyncio.create_task(loader.fetch(MODEL, 3))
            await asyncio.sleep(STEP_SECONDS)
            await loader.load(MODEL, 2)
            self.assertFalse(fetch_task.done())
            await fetch_task
            await loader.load(MODEL, 3)

        run_scenario(scenario())
        self.assertEqual([2, 3], [version for version, _ in engine.orders])
        for version, staged_pieces in engine.orders:
            for number in range(CHUNKS):
                self.assertEqual(
                    payload(version, number), staged_pieces[number]
                )

    def test_manifest_prepared(self) -> None:
        """The origin fails after version 3 is named and before 2 is complete.

        The manifest of version 3 was requested only after version 2 was
        complete, when no source had it any more.
        """
        origin = Origin()
        context = _Context(origin)
        loader = loading.Loader(Engine(), context)

        async def scenario() -> None:
            fetch_task = asyncio.create_task(loader.fetch(MODEL, 2))
            await loader.prepare(MODEL, 3)
            origin.has_manifests = False
            await fetch_task
            context.version = 3
            await loader.fetch(MODEL, 3)

        run_scenario(scenario())
        self.assertEqual(3, loader.newest_complete(MODEL))

    def test_prepared_during_fetch(self) -> None:
        """Pieces are kept when another task prepares the same version."""
        loader = loading.Loader(Engine(), _Context(Origin()))

        async def scenario() -> None:
            await asyncio.gather(
                loader.fetch(MODEL, 2),
                loader.prepare(MODEL, 2),
            )

        run_scenario(scenario())
        self.assertEqual(2, loader.newest_complete(MODEL))

    def test_fetch_cancelled_while_staging(self) -> None:
        """Fetching version 3 ends while one of its pieces is being staged.

        The engine took that piece a moment later, when version 2 had been read
        back and the order to load it was in flight.
        """
        engine = Engine()
        origin = Origin()
        context = _Context(origin)
        loader = loading.Loader(engine, context)

        async def scenario() -> None:
            await loader.fetch(MODEL, 2)
            await loader.load(MODEL, 2)
            engine.stage_seconds = CHUNKS * STEP_SECONDS / 2
            context.version = 3
            origin.piece_seconds = 20 * STEP_SECONDS
            fetch_task = asyncio.create_task(loader.fetch(MODEL, 3))
            while not engine.pending_count:
                await asyncio.sleep(0)
            fetch_task.cancel()
            await asyncio.gather(fetch_task, return_exceptions=True)
            await loader.load(MODEL, 2)

        run_scenario(scenario())
        version, staged_pieces = engine.orders[-1]
        self.assertEqual(2, version)
        for number in range(CHUNKS):
            self.assertEqual(payload(2, number), staged_pieces[number])

    def test_engine_restarted_before_order(self) -> None:
        """An engine loses power after its pieces have been read back.

        Both its starts had begun the same number of orders, none, so that it
        accepted the order with nothing staged.
        """
        engine = Engine()
        loader = loading.Loader(engine, _Context(Origin()))

        async def scenario() -> None:
            await loader.fetch(MODEL, 2)
            engine.restart_at_piece = CHUNKS - 1
            self.assertFalse(await loader.load(MODEL, 2))
            self.assertEqual([], engine.orders)
            self.assertTrue(await loader.load(MODEL, 2))

        run_scenario(scenario())
        ((_, staged_pieces),) = engine.orders
        self.assertEqual(CHUNKS, len(staged_pieces))

    def test_draining_engine(self) -> None:
        """An engine that drains is not ordered to load.

        The order cut off its running streams, which had to be resumed at other
        engines, for weights that nothing could start on any more.
        """
        engine = Engine()
        loader = loading.Loader(engine, _Context(Origin()))

        async def scenario() -> None:
            await loader.fetch(MODEL, 2)
            engine.is_draining = True
            self.assertFalse(await loader.load(MODEL, 2))

        run_scenario(scenario())
        self.assertEqual([], engine.orders)

    def test_engine_drains_before_order(self) -> None:
        """An engine that begins to drain during the read-back gets no order."""
        engine = Engine()
        loader = loading.Loader(engine, _Context(Origin()))

        async def scenario() -> None:
            await loader.fetch(MODEL, 2)
            engine.drain_at_piece = CHUNKS - 1
            self.assertFalse(await loader.load(MODEL, 2))

        run_scenario(scenario())
        self.assertEqual([], engine.orders)

    def test_agent_restarted(self) -> None:
        """An agent that is killed while fetching continues after a restart.

        It started over although its pieces were still staged at the engine,
        which served nothing for six seconds because its old weights could no
        longer be used.
        """
        engine = Engine()
        first = Origin(end=CHUNKS // 2)

        async def scenario() -> None:
            killed_fetch = asyncio.create_task(
                loading.Loader(engine, _Context(first)).fetch(MODEL, 2),
            )
            while len(engine.staged_pieces) < CHUNKS // 2:
                await asyncio.sleep(STEP_SECONDS)
            killed_fetch.cancel()
            second = Origin()
            await loading.Loader(engine, _Context(second)).fetch(MODEL, 2)
            self.assertEqual(
                list(range(CHUNKS // 2, CHUNKS)),
                sorted(second.requested_numbers),
            )

        run_scenario(scenario())
