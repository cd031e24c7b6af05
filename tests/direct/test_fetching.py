"""Tests of getting pieces while sources fail."""

from __future__ import annotations

import asyncio
import hashlib
import typing

import testtools

from clementinepass import errors
from clementinepass.decisions import piece_chains
from clementinepass.direct import fetching, pieces, suppliers, weights

CHUNKS = 40
MODEL = 'm'
PAYLOADS = [b'piece %d' % number for number in range(CHUNKS)]
MANIFEST = weights.Manifest(
    MODEL,
    2,
    tuple(hashlib.sha256(payload).hexdigest() for payload in PAYLOADS),
)
#: Seconds that a piece takes on a link here.
PIECE = 0.005
#: Seconds that an agent lets another wait for a piece.
WAIT = 0.1


class _Origin:
    """Sends pieces until it is gone."""

    def __init__(self) -> None:
        self.left = CHUNKS * 10
        self.sent: list[int] = []
        #: Who got a piece, in order.
        self.askers: list[str] = []

    @property
    def last_received_at(self) -> float:
        """Return the time of the last byte."""
        return asyncio.get_running_loop().time()

    async def available_pieces(self, *asked: object) -> weights.Availability:
        """Return nothing."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece while there are some left."""
        if self.left <= 0:
            raise errors.PeerUnavailableError('gone', step='piece', peer='o')
        self.left -= 1
        self.sent.append(number)
        await asyncio.sleep(PIECE)
        return weights.Piece(PAYLOADS[number], seconds=PIECE)


class _Agent:
    """An agent, as others see it and as it sees them."""

    def __init__(self, world: _World, peer: piece_chains.Peer) -> None:
        self._world = world
        self._from_origin = _OriginLink(self, world.origin)
        self.peer = peer
        self.held = pieces.Pieces(MANIFEST)
        #: Seconds that a piece takes on its link.
        self.piece_seconds = PIECE
        #: Whether its machine stands still.
        self.frozen = False
        #: Pieces that it sent.
        self.sent = 0
        #: Those that asked it for a piece.
        self.asked_by: set[str] = set()

    def plan_input(self, model: str, version: int) -> piece_chains.Question:
        """Return who there is."""
        others = [one.peer for one in self._world.agents if one is not self]
        return piece_chains.Question(self.peer, others, 'north')

    def source(self, ip: str) -> typing.Any:
        """Return a source."""
        if ip == piece_chains.ORIGIN:
            return self._from_origin
        return self._world.link(self, ip)

    def version_to_fetch(self) -> tuple[str, int]:
        """Return what is wanted."""
        return MODEL, 2


class _OriginLink:
    """An agent's way to the origin."""

    def __init__(self, asker: _Agent, origin: _Origin) -> None:
        self._asker = asker
        self._origin = origin
        self._turn = asyncio.Lock()

    @property
    def last_received_at(self) -> float:
        """Return the time of the last byte."""
        return self._origin.last_received_at

    async def available_pieces(self, *asked: object) -> weights.Availability:
        """Return nothing."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, as fast as both links carry it."""
        async with self._turn:
            piece = await self._origin.piece(model, version, number)
            await asyncio.sleep(self._asker.piece_seconds - PIECE)
        seconds = self._asker.piece_seconds
        self._origin.askers.append(self._asker.peer.ip)
        return piece._replace(seconds=seconds)


class _Link:
    """One agent's way to another."""

    def __init__(self, asker: _Agent, asked: _Agent) -> None:
        self._asker = asker
        self._asked = asked
        self._turn = asyncio.Lock()
        self.last_received_at: float = 0

    async def available_pieces(
        self,
        model: str,
        version: int,
        known: int,
    ) -> weights.Availability:
        """Return what it has."""
        await self._thaw()
        await self._asked.held.wait_for_more(known, WAIT)
        self._hear()
        numbers = frozenset(self._asked.held.numbers)
        return weights.Availability(numbers, self._asked.held.is_slow)

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, waiting a moment until it is there."""
        self._asked.asked_by.add(self._asker.peer.ip)
        await self._thaw()
        held = self._asked.held
        payload = await held.wait_for_piece(number, 0 if held.is_slow else WAIT)
        seconds = max(self._asker.piece_seconds, self._asked.piece_seconds)
        if payload is not None:
            async with self._turn:
                await asyncio.sleep(seconds)
            self._asked.sent += 1
        self._hear()
        return weights.Piece(payload, len(held.numbers), seconds, held.is_slow)

    async def _thaw(self) -> None:
        while self._asked.frozen:
            await asyncio.sleep(PIECE)

    def _hear(self) -> None:
        self.last_received_at = asyncio.get_running_loop().time()


class _World:
    """Agents of two regions and the origin."""

    def __init__(self, north: int, south: int) -> None:
        self.origin = _Origin()
        peers = [
            piece_chains.Peer(region, f'{region}-1', f'10.{place}.0.{number}')
            for place, (region, count) in enumerate(
                (('north', north), ('south', south)),
            )
            for number in range(count)
        ]
        self.agents = [_Agent(self, peer) for peer in peers]
        self._links: dict[tuple[str, str], _Link] = {}

    def link(self, asker: _Agent, ip: str) -> _Link:
        """Return an agent's way to another."""
        (asked,) = [one for one in self.agents if one.peer.ip == ip]
        key = asker.peer.ip, ip
        return self._links.setdefault(key, _Link(asker, asked))

    def start(self) -> list[asyncio.Task[None]]:
        """Have all agents get the pieces."""
        return [
            asyncio.create_task(fetching.Fetcher(one.held, one).run())
            for one in self.agents
        ]

    def hold(self, number: int) -> _Agent:
        """Have an agent hold the whole version."""
        one = self.agents[number]
        one.peer = one.peer._replace(holds=True)
        for each, payload in enumerate(PAYLOADS):
            one.held.add(each, payload)
        return one

    async def all_have(self, count: int, without: _Agent | None = None) -> None:
        """Wait until all agents have so many pieces."""
        rest = [one for one in self.agents if one is not without]
        while any(len(one.held.numbers) < count for one in rest):
            await asyncio.sleep(PIECE)


def play(
    world: _World,
    story: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Play until a story ends."""

    async def played() -> None:
        tasks = world.start()
        try:
            async with asyncio.timeout(30):
                await story()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(played())


class OriginGoneTest(testtools.TestCase):
    """The origin fails when each chain has some of the pieces.

    Nobody served for sixteen seconds: both chains together had nine pieces in
    ten, and each waited for the next one in its order. Agents that looked
    elsewhere met at the same two, and asked the origin all together when it
    was back.
    """

    def test_chains_exchange(self) -> None:
        """All have what the two chains have together; few turn elsewhere."""
        world = _World(4, 3)
        world.origin.left = 30

        async def story() -> None:
            await world.all_have(30)

        play(world, story)
        # Each agent has the one after it, and a partner of the other chain.
        for one in world.agents:
            self.assertLessEqual(len(one.asked_by), 2, one.peer.ip)

    def test_origin_back(self) -> None:
        """The rest is got from the origin twice, once for each chain."""
        world = _World(4, 3)
        world.origin.left = 30

        async def story() -> None:
            await world.all_have(30)
            world.origin.sent.clear()
            world.origin.left = CHUNKS * 10
            await world.all_have(CHUNKS)

        play(world, story)
        self.assertLessEqual(len(world.origin.sent), 2 * (CHUNKS - 30))


class BreakInChainTest(testtools.TestCase):
    """One agent in the middle brings nothing, or next to nothing.

    With its link narrowed to a tenth all seven behind it had a fifth of the
    pieces after six seconds: each passed over the one before it, which only
    waited itself, and all met at the head of the chain.
    """

    def test_frozen(self) -> None:
        """Only the one next to it asks elsewhere."""
        world = _World(5, 0)
        frozen = world.agents[1]
        frozen.frozen = True

        async def story() -> None:
            await world.all_have(CHUNKS, without=frozen)

        play(world, story)
        self.assertEqual(
            {frozen.peer.ip, world.agents[2].peer.ip},
            world.agents[0].asked_by | {frozen.peer.ip},
        )

    def test_slow_link(self) -> None:
        """It is passed over, gets pieces as it can, and accuses nobody."""
        world = _World(6, 0)
        slow = world.agents[1]
        slow.piece_seconds = 0.3

        async def story() -> None:
            await world.all_have(CHUNKS, without=slow)

        play(world, story)
        self.assertIn(slow.peer.ip, world.agents[0].asked_by)
        self.assertIn(world.agents[2].peer.ip, world.agents[0].asked_by)


class TwoHoldersTest(testtools.TestCase):
    """An added engine gets pieces from two that have the version."""

    def test_one_is_slow(self) -> None:
        """Half of the pieces were asked of a holder on a narrow link.

        Each took ten times as long as those of the other, and the engine that
        was added served only when the last of them had come.
        """
        world = _World(3, 0)
        fast, slow = world.hold(0), world.hold(1)
        slow.piece_seconds = 0.6

        async def story() -> None:
            await world.all_have(CHUNKS)

        play(world, story)
        self.assertLess(slow.sent, CHUNKS // 4)
        self.assertGreater(fast.sent, CHUNKS // 2)


class HolderAppearsTest(testtools.TestCase):
    """An engine has loaded a version of which others still lack pieces.

    All agents of the other regions turned to the one beside it for the last
    pieces, and its link carried a copy for each of them.
    """

    def test_stripes_go_on(self) -> None:
        """Nobody asks it who didn't before."""
        world = _World(3, 4)

        async def story() -> None:
            own = world.agents[0]
            meant = {
                one.peer.ip
                for one in world.agents
                if own.peer.ip
                in piece_chains.plan(one.plan_input(MODEL, 2)).sources
            }
            await world.all_have(CHUNKS // 4)
            world.hold(0)
            await world.all_have(CHUNKS)
            self.assertLessEqual(len(meant), 2)
            self.assertLessEqual(own.asked_by, meant)

        play(world, story)


class CongestedLinkTest(testtools.TestCase):
    """The link of an agent that gets pieces is narrowed.

    Entries were told so three seconds late, and sent requests there that
    reached the engine after their callers had left.
    """

    def came(
        self,
        held: pieces.Pieces,
        ip: str,
        seconds: float,
        *,
        is_source_slow: bool = False,
    ) -> bool:
        """Have a piece come; tell whether the link counts as congested."""

        async def played() -> None:
            world = _World(2, 0)
            own = world.agents[0]
            link = world.link(own, world.agents[1].peer.ip)
            fetch = fetching.Fetcher(held, own)
            fetch._record_piece(
                suppliers.Supplier(ip, link),
                weights.Piece(b'', 0, seconds, is_source_slow),
            )

        asyncio.run(played())
        return held.is_congested

    def test_first_slow_piece(self) -> None:
        """It is known by one piece of a source that has no more pieces."""
        held = pieces.Pieces(MANIFEST)
        self.assertFalse(self.came(held, '10.0.0.1', 0.07))
        self.assertTrue(self.came(held, '10.0.0.1', 0.5))

    def test_taken_back_by_fast_piece(self) -> None:
        """Pieces of the origin that come at a third of the pace don't end it."""
        held = pieces.Pieces(MANIFEST)
        self.came(held, '10.0.0.1', 0.5)
        self.assertTrue(self.came(held, piece_chains.ORIGIN, 0.3))
        self.assertFalse(self.came(held, piece_chains.ORIGIN, 0.07))

    def test_slow_sources(self) -> None:
        """A slow origin, or a source that says it's slow, says nothing."""
        held = pieces.Pieces(MANIFEST)
        self.assertFalse(self.came(held, piece_chains.ORIGIN, 0.9))
        self.assertFalse(self.came(held, '10.0.0.1', 0.9, is_source_slow=True))


class UnaskedSourceTest(testtools.TestCase):
    """A source has sent all that it was asked for.

    It said nothing more, since nobody asked, was taken for silent and far
    behind, and those behind it turned to others.
    """

    def test_not_passed_over(self) -> None:
        """It is judged only while something is asked of it."""

        async def story() -> None:
            world = _World(2, 0)
            link = world.link(world.agents[0], world.agents[1].peer.ip)
            one = suppliers.Supplier('10.0.0.1', link)
            one.record_request(0)
            one.in_flight[3] = asyncio.create_task(asyncio.sleep(0))
            one.record_response(1, is_source_slow=False, piece_count=2)
            self.assertEqual('behind', one.skip_reason(1, CHUNKS, 1))
            self.assertEqual('silent', one.skip_reason(3, 0, 1))
            one.finish_request(3)
            self.assertEqual('', one.skip_reason(3, CHUNKS, 1))

        asyncio.run(story())


class SlowHeadTest(testtools.TestCase):
    """The link of an agent that reads a stripe from the origin is narrowed.

    It brought a piece each half second, all others waited for its stripe, and
    the first engine had the version 7.3 s after its naming. An origin that is
    slow looks the same to it; what others bring tells the two apart.
    """

    def test_taken_over(self) -> None:
        """Another reads its stripe from the origin."""
        world = _World(3, 3)
        slow = world.agents[0]
        slow.piece_seconds = 0.4

        async def story() -> None:
            await world.all_have(CHUNKS, without=slow)

        play(world, story)
        read = world.origin.askers.count(slow.peer.ip)
        self.assertLess(read, CHUNKS // 4)
        self.assertLess(len(world.origin.askers), CHUNKS * 3 // 2)

    def test_known_by_its_pieces(self) -> None:
        """Its word that it is slow waits behind its own pieces.

        Those that get pieces from it see how long they take, against those of
        others.
        """

        async def story() -> None:
            world = _World(2, 0)
            link = world.link(world.agents[0], world.agents[1].peer.ip)
            one = suppliers.Supplier('10.0.0.1', link)
            one.in_flight[3] = asyncio.create_task(asyncio.sleep(0))
            for _ in range(4):
                one.record_piece(0.5, 0)
            self.assertTrue(one.is_slower_than(0.07))
            # All are slow: the link here is, or the origin.
            self.assertFalse(one.is_slower_than(0.4))

        asyncio.run(story())
