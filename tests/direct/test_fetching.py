"""Tests of fetching pieces while sources fail."""

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
#: Transfer time of a piece on a link.
PIECE_SECONDS = 0.005
#: Seconds for which an agent lets a request wait for a piece.
WAIT_SECONDS = 0.1


class _Origin:
    """Origin that sends a limited number of pieces."""

    def __init__(self) -> None:
        self.remaining = CHUNKS * 10
        self.manifest: weights.Manifest | None = MANIFEST
        self.sent_numbers: list[int] = []
        #: IP addresses of the agents that received a piece, in order.
        self.requesters: list[str] = []

    @property
    def last_received_at(self) -> float:
        """Return the current time."""
        return asyncio.get_running_loop().time()

    async def available_pieces(self, *query: object) -> weights.Availability:
        """Return an empty availability."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece while some remain."""
        if self.remaining <= 0:
            raise errors.PeerUnavailableError('gone', step='piece', peer='o')
        self.remaining -= 1
        self.sent_numbers.append(number)
        await asyncio.sleep(PIECE_SECONDS)
        return weights.Piece(PAYLOADS[number], seconds=PIECE_SECONDS)


class _Agent:
    """Agent that is both a fetch context and a source for other agents."""

    def __init__(self, network: _Network, peer: piece_chains.Agent) -> None:
        self._network = network
        self._from_origin = _OriginLink(self, network.origin)
        self.peer = peer
        self.version_pieces = pieces.Pieces(MANIFEST)
        #: Transfer time of a piece on the agent's link.
        self.piece_seconds = PIECE_SECONDS
        #: Whether the agent's machine is suspended.
        self.is_suspended = False
        #: How many pieces the agent has sent.
        self.sent_count = 0
        #: IP addresses of the agents that requested a piece from it.
        self.requested_by: set[str] = set()

    def plan_input(self, model: str, version: int) -> piece_chains.PlanInput:
        """Return all other agents as peers."""
        peers = [
            agent.peer for agent in self._network.agents if agent is not self
        ]
        return piece_chains.PlanInput(self.peer, peers, 'north')

    def source(self, ip: str) -> typing.Any:
        """Return the link to the origin or to another agent."""
        if ip == piece_chains.ORIGIN:
            return self._from_origin
        return self._network.link(self, ip)

    def version_to_fetch(self) -> tuple[str, int]:
        """Return the version that all agents fetch."""
        return MODEL, 2


class _OriginLink:
    """Link from an agent to the origin."""

    async def manifest(
        self, model: str, version: int
    ) -> weights.Manifest | None:
        """Return the manifest, or an outdated one if the origin has that."""
        return self._origin.manifest

    def __init__(self, client: _Agent, origin: _Origin) -> None:
        self._client = client
        self._origin = origin
        self._lock = asyncio.Lock()

    @property
    def last_received_at(self) -> float:
        """Return the current time."""
        return self._origin.last_received_at

    async def available_pieces(self, *query: object) -> weights.Availability:
        """Return an empty availability."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece at the rate of the slower link."""
        async with self._lock:
            piece = await self._origin.piece(model, version, number)
            await asyncio.sleep(self._client.piece_seconds - PIECE_SECONDS)
        seconds = self._client.piece_seconds
        self._origin.requesters.append(self._client.peer.ip)
        return piece._replace(seconds=seconds)


class _Link:
    """Link from one agent to another."""

    def __init__(self, client: _Agent, server: _Agent) -> None:
        self._client = client
        self._server = server
        self._lock = asyncio.Lock()
        self.last_received_at: float = 0

    async def available_pieces(
        self,
        model: str,
        version: int,
        known_count: int,
    ) -> weights.Availability:
        """Return the pieces that the server has."""
        await self._wait_while_suspended()
        await self._server.version_pieces.wait_for_more(
            known_count, WAIT_SECONDS
        )
        self._record_receipt()
        numbers = frozenset(self._server.version_pieces.numbers)
        return weights.Availability(
            numbers, self._server.version_pieces.is_slow
        )

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, waiting a short time until the server has it."""
        self._server.requested_by.add(self._client.peer.ip)
        await self._wait_while_suspended()
        version_pieces = self._server.version_pieces
        payload = await version_pieces.wait_for_piece(
            number, 0 if version_pieces.is_slow else WAIT_SECONDS
        )
        seconds = max(self._client.piece_seconds, self._server.piece_seconds)
        if payload is not None:
            async with self._lock:
                await asyncio.sleep(seconds)
            self._server.sent_count += 1
        self._record_receipt()
        return weights.Piece(
            payload,
            len(version_pieces.numbers),
            seconds,
            version_pieces.is_slow,
        )

    async def _wait_while_suspended(self) -> None:
        while self._server.is_suspended:
            await asyncio.sleep(PIECE_SECONDS)

    def _record_receipt(self) -> None:
        self.last_received_at = asyncio.get_running_loop().time()


class _Network:
    """Agents of two regions and the origin."""

    def __init__(self, north: int, south: int) -> None:
        self.origin = _Origin()
        peers = [
            piece_chains.Agent(
                region, f'{region}-1', f'10.{region_index}.0.{number}'
            )
            for region_index, (region, count) in enumerate(
                (('north', north), ('south', south)),
            )
            for number in range(count)
        ]
        self.agents = [_Agent(self, peer) for peer in peers]
        self._links: dict[tuple[str, str], _Link] = {}

    def link(self, client: _Agent, ip: str) -> _Link:
        """Return the link from an agent to another."""
        (server,) = [agent for agent in self.agents if agent.peer.ip == ip]
        key = client.peer.ip, ip
        return self._links.setdefault(key, _Link(client, server))

    def start(self) -> list[asyncio.Task[None]]:
        """Start fetching at all agents."""
        return [
            asyncio.create_task(
                fetching.Fetcher(agent.version_pieces, agent).run()
            )
            for agent in self.agents
        ]

    def make_holder(self, number: int) -> _Agent:
        """Give an agent the complete version."""
        agent = self.agents[number]
        agent.peer = agent.peer._replace(has_version=True)
        for piece_number, payload in enumerate(PAYLOADS):
            agent.version_pieces.add(piece_number, payload)
        return agent

    async def wait_until_all_have(
        self, count: int, excluded: _Agent | None = None
    ) -> None:
        """Wait until all agents have so many pieces."""
        waiting_agents = [
            agent for agent in self.agents if agent is not excluded
        ]
        while any(
            len(agent.version_pieces.numbers) < count
            for agent in waiting_agents
        ):
            await asyncio.sleep(PIECE_SECONDS)


def run_scenario(
    network: _Network,
    scenario: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Run a scenario while all agents fetch."""

    async def main() -> None:
        tasks = network.start()
        try:
            async with asyncio.timeout(30):
                await scenario()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())


class CorruptManifestTest(testtools.TestCase):
    """One corrupt digest in a manifest keeps a version incomplete for good."""

    def run_with(self, network: _Network) -> None:
        """Give all agents another corrupt manifest, and let them fetch."""
        for number, agent in enumerate(network.agents):
            digests = list(MANIFEST.digests)
            digests[number] = digests[number][:-1] + 'x'
            agent.version_pieces = pieces.Pieces(
                MANIFEST._replace(digests=tuple(digests))
            )

        async def scenario() -> None:
            await network.wait_until_all_have(CHUNKS)

        run_scenario(network, scenario)
        for agent in network.agents:
            self.assertEqual(MANIFEST, agent.version_pieces.manifest)

    def test_origin_has_it(self) -> None:
        """The origin sends the manifest anew."""
        self.run_with(_Network(1, 1))

    def test_origin_is_corrupt_again(self) -> None:
        """A manifest that does not explain the piece is not taken."""
        network = _Network(1, 0)
        digests = ('0' * 64, *MANIFEST.digests[1:])
        network.origin.manifest = MANIFEST._replace(digests=digests)

        async def recover() -> None:
            await asyncio.sleep(0.5)
            self.assertEqual(
                CHUNKS - 1, len(network.agents[0].version_pieces.numbers)
            )
            network.origin.manifest = MANIFEST
            await network.wait_until_all_have(CHUNKS)

        network.agents[0].version_pieces = pieces.Pieces(
            network.origin.manifest
        )
        run_scenario(network, recover)


class OriginGoneTest(testtools.TestCase):
    """The origin fails when each chain has some of the pieces.

    The two chains together had nine tenths of the pieces, but each waited for
    the next one in its order, and no engine served for sixteen seconds. Agents
    that looked for other sources converged on the same two agents, and all
    requested pieces from the origin at once when it was back.
    """

    def test_chains_exchange_pieces(self) -> None:
        """All agents get the pieces of both chains from few sources."""
        network = _Network(4, 3)
        network.origin.remaining = 30

        async def scenario() -> None:
            await network.wait_until_all_have(30)

        run_scenario(network, scenario)
        # Each agent is a source of the one after it and of a partner in the
        # other chain.
        for agent in network.agents:
            self.assertLessEqual(len(agent.requested_by), 2, agent.peer.ip)

    def test_origin_back(self) -> None:
        """Each chain fetches the other pieces from the origin once."""
        network = _Network(4, 3)
        network.origin.remaining = 30

        async def scenario() -> None:
            await network.wait_until_all_have(30)
            network.origin.sent_numbers.clear()
            network.origin.remaining = CHUNKS * 10
            await network.wait_until_all_have(CHUNKS)

        run_scenario(network, scenario)
        self.assertLessEqual(
            len(network.origin.sent_numbers), 2 * (CHUNKS - 30)
        )


class BreakInChainTest(testtools.TestCase):
    """An agent in the middle of a chain delivers almost nothing.

    After six seconds behind a link narrowed to a tenth, all seven agents behind
    it had a fifth of the pieces. Each skipped the agent before it, although
    that one was only waiting itself, and all converged on the head of the
    chain.
    """

    def test_suspended_agent(self) -> None:
        """Only the next agent uses another source."""
        network = _Network(5, 0)
        suspended = network.agents[1]
        suspended.is_suspended = True

        async def scenario() -> None:
            await network.wait_until_all_have(CHUNKS, excluded=suspended)

        run_scenario(network, scenario)
        self.assertEqual(
            {suspended.peer.ip, network.agents[2].peer.ip},
            network.agents[0].requested_by | {suspended.peer.ip},
        )

    def test_slow_link(self) -> None:
        """A slow agent is skipped, and doesn't skip others itself."""
        network = _Network(6, 0)
        slow = network.agents[1]
        slow.piece_seconds = 0.3

        async def scenario() -> None:
            await network.wait_until_all_have(CHUNKS, excluded=slow)

        run_scenario(network, scenario)
        self.assertIn(slow.peer.ip, network.agents[0].requested_by)
        self.assertIn(network.agents[2].peer.ip, network.agents[0].requested_by)


class TwoHoldersTest(testtools.TestCase):
    """A newly added engine fetches from two that have the version."""

    def test_slow_holder(self) -> None:
        """A holder on a narrow link sends only few pieces.

        Half of the pieces were requested from it. Each took ten times as long
        as those of the other holder, and the new engine served only when the
        last of them had arrived.
        """
        network = _Network(3, 0)
        fast, slow = network.make_holder(0), network.make_holder(1)
        slow.piece_seconds = 0.6

        async def scenario() -> None:
            await network.wait_until_all_have(CHUNKS)

        run_scenario(network, scenario)
        self.assertLess(slow.sent_count, CHUNKS // 4)
        self.assertGreater(fast.sent_count, CHUNKS // 2)


class HolderAppearsTest(testtools.TestCase):
    """An engine loads a version while other agents still lack pieces.

    All agents of the other regions switched to the agent beside it for the last
    pieces, and its link carried a copy for each of them.
    """

    def test_sources_unchanged(self) -> None:
        """Only agents that planned to use it before request pieces."""
        network = _Network(3, 4)

        async def scenario() -> None:
            holder = network.agents[0]
            planned_requesters = {
                agent.peer.ip
                for agent in network.agents
                if holder.peer.ip
                in piece_chains.plan_fetch(agent.plan_input(MODEL, 2)).sources
            }
            await network.wait_until_all_have(CHUNKS // 4)
            network.make_holder(0)
            await network.wait_until_all_have(CHUNKS)
            self.assertLessEqual(len(planned_requesters), 2)
            self.assertLessEqual(holder.requested_by, planned_requesters)

        run_scenario(network, scenario)


class CongestedLinkTest(testtools.TestCase):
    """The link of an agent that fetches pieces becomes narrow.

    Entries received the announcement three seconds late, and sent requests
    there that reached the engine after their callers had left.
    """

    def receive_piece(
        self,
        version_pieces: pieces.Pieces,
        ip: str,
        seconds: float,
        *,
        is_source_slow: bool = False,
    ) -> bool:
        """Receive a piece; return whether the link counts as congested."""

        async def main() -> None:
            network = _Network(2, 0)
            agent = network.agents[0]
            link = network.link(agent, network.agents[1].peer.ip)
            fetcher = fetching.Fetcher(version_pieces, agent)
            fetcher._record_piece(
                suppliers.Supplier(ip, link),
                weights.Piece(b'', 0, seconds, is_source_slow),
            )

        asyncio.run(main())
        return version_pieces.is_congested

    def test_first_slow_piece(self) -> None:
        """One slow piece is enough, though its source has no more pieces."""
        version_pieces = pieces.Pieces(MANIFEST)
        self.assertFalse(self.receive_piece(version_pieces, '10.0.0.1', 0.07))
        self.assertTrue(self.receive_piece(version_pieces, '10.0.0.1', 0.5))

    def test_ended_by_fast_piece(self) -> None:
        """Pieces at a third of the rate don't end the congestion."""
        version_pieces = pieces.Pieces(MANIFEST)
        self.receive_piece(version_pieces, '10.0.0.1', 0.5)
        self.assertTrue(
            self.receive_piece(version_pieces, piece_chains.ORIGIN, 0.3)
        )
        self.assertFalse(
            self.receive_piece(version_pieces, piece_chains.ORIGIN, 0.07)
        )

    def test_slow_sources(self) -> None:
        """A slow origin or a source that reports to be slow doesn't count."""
        version_pieces = pieces.Pieces(MANIFEST)
        self.assertFalse(
            self.receive_piece(version_pieces, piece_chains.ORIGIN, 0.9)
        )
        self.assertFalse(
            self.receive_piece(
                version_pieces, '10.0.0.1', 0.9, is_source_slow=True
            )
        )


class IdleSourceTest(testtools.TestCase):
    """A source has sent all requested pieces.

    It sent nothing more because nothing was requested, was considered silent
    and far behind, and the agents behind it switched to other sources.
    """

    def test_not_skipped(self) -> None:
        """A source is skipped only while a request to it is open."""

        async def scenario() -> None:
            network = _Network(2, 0)
            link = network.link(network.agents[0], network.agents[1].peer.ip)
            supplier = suppliers.Supplier('10.0.0.1', link)
            supplier.record_request(0)
            supplier.in_flight[3] = asyncio.create_task(asyncio.sleep(0))
            supplier.record_response(1, is_source_slow=False, piece_count=2)
            self.assertEqual('behind', supplier.skip_reason(1, CHUNKS, 1))
            self.assertEqual('silent', supplier.skip_reason(3, 0, 1))
            supplier.finish_request(3)
            self.assertEqual('', supplier.skip_reason(3, CHUNKS, 1))

        asyncio.run(scenario())


class SlowHeadTest(testtools.TestCase):
    """The link of an agent that reads a stripe from the origin is narrow.

    It delivered a piece every half second, all other agents waited for its
    stripe, and the first engine had the version 7.3 s after it was named. Only
    by pieces from other sources can the agent tell its own narrow link from a
    slow origin.
    """

    def test_taken_over(self) -> None:
        """Another agent reads the stripe from the origin."""
        network = _Network(3, 3)
        slow = network.agents[0]
        slow.piece_seconds = 0.4

        async def scenario() -> None:
            await network.wait_until_all_have(CHUNKS, excluded=slow)

        run_scenario(network, scenario)
        read_count = network.origin.requesters.count(slow.peer.ip)
        self.assertLess(read_count, CHUNKS // 4)
        self.assertLess(len(network.origin.requesters), CHUNKS * 3 // 2)

    def test_detected_by_transfer_time(self) -> None:
        """Agents detect a slow source by its transfer times.

        The source's own report that it is slow waits behind its pieces. The
        transfer times are compared with those of other sources.
        """

        async def scenario() -> None:
            network = _Network(2, 0)
            link = network.link(network.agents[0], network.agents[1].peer.ip)
            supplier = suppliers.Supplier('10.0.0.1', link)
            supplier.in_flight[3] = asyncio.create_task(asyncio.sleep(0))
            for _ in range(4):
                supplier.record_piece(0.5, 0)
            self.assertTrue(supplier.is_slower_than(0.07))
            # If all sources are slow, the local link or the origin is.
            self.assertFalse(supplier.is_slower_than(0.4))

        asyncio.run(scenario())


class NarrowNeighbourTest(testtools.TestCase):
    """A neighbour's link is narrow, and the local link is fast.

    Agents with fast links reported themselves as slow, were skipped, and their
    stripes were read from the origin a second time.
    """

    def receive_pieces(
        self, *received: tuple[str, float], ahead: int = 0
    ) -> bool:
        """Receive pieces; return whether the local link counts as slow.

        :param received: the sources and the transfer times, in order.
        :param ahead: how many more pieces each source has.
        """
        version_pieces = pieces.Pieces(MANIFEST)

        async def main() -> None:
            network = _Network(4, 0)
            fetcher = fetching.Fetcher(version_pieces, network.agents[0])
            for ip, seconds in received:
                supplier = fetcher._suppliers.get(ip)
                supplier.in_flight[3] = asyncio.create_task(asyncio.sleep(0))
                fetcher._record_piece(
                    supplier, weights.Piece(b'', ahead, seconds)
                )
                supplier.finish_request(3)
                supplier.available = frozenset([3])
                for other_supplier in fetcher._suppliers:
                    if other_supplier is not supplier:
                        other_supplier.available = frozenset()

        asyncio.run(main())
        return version_pieces.is_slow

    def test_fast_before(self) -> None:
        """Slow pieces of one source don't count after another's fast ones."""
        received = [('', 0.07), *[('10.0.0.1', 0.5)] * 4]
        self.assertFalse(self.receive_pieces(*received))
        self.assertFalse(self.receive_pieces(*received, ahead=20))

    def test_second_source(self) -> None:
        """Slow pieces of a second source show that the local link is slow."""
        received = [
            ('', 0.07),
            *[('10.0.0.1', 0.5)] * 4,
            *[('10.0.0.2', 0.5)] * 2,
        ]
        self.assertTrue(self.receive_pieces(*received))

    def test_only_source(self) -> None:
        """The only source counts if it has several more pieces."""
        received = [('10.0.0.1', 0.5)] * 4
        self.assertFalse(self.receive_pieces(*received))
        self.assertTrue(self.receive_pieces(*received, ahead=20))
