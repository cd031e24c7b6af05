"""Tests of failures while a version spreads."""

from __future__ import annotations

import asyncio

import msgspec
import testtools
from testtools import matchers

from clementinepass import errors
from clementinepass.weights import manifest as manifests
from clementinepass.weights import protocols
from tests.weights import fakes

_CHUNKS = 12


async def _seeded(fleet: fakes.Fleet, *names: str) -> str:
    """Let the named nodes hold v1, then take the origin away."""
    digest = fleet.publish('v1', seed=1)
    for name in names:
        fleet.add(name)
    fleet.want('v1', digest)
    await fleet.serving('v1')
    return digest


class SpreadingFailuresTest(testtools.TestCase):
    """Whatever fails, replicas end on the whole version or none."""

    def _check(self, fleet: fakes.Fleet) -> None:
        self.assertEqual([], fleet.wrong())

    def test_source_dies_mid_chunk(self) -> None:
        """A source that dies in the middle of a chunk costs only time.

        An operator sees a replica still fetching after its neighbour's
        instance was lost. The neighbour had sent two of a chunk's three
        slices; the started chunk must not be used, and another source
        must be found although the member still looks alive.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a', 'b')
            fleet.network.dies_after['a'] = fleet.network.sent['a'] + 2
            fleet.source.origin_down = True
            late = fleet.add('c')
            fleet.want('v1', digest, late)
            await fleet.serving('v1', late)

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual({'a'}, fleet.network.dead & {'a'})

    def test_corrupt_chunks(self) -> None:
        """A peer that corrupts always is left, and its chunks replaced.

        Callers would get answers from damaged weights. One neighbour changes
        a byte in everything it sends; each chunk from it is dropped, it is
        asked less and less often, and the chunks come from elsewhere.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a', 'b')
            fleet.network.corrupting.add('a')
            fleet.network.sent.clear()
            late = fleet.add('c')
            fleet.want('v1', digest, late)
            await fleet.serving('v1', late)

        fleet = fakes.run(story)
        self._check(fleet)
        dropped = fleet.nodes[2].rollout.progress().corrupt
        self.assertThat(dropped, matchers.GreaterThan(0))
        self.assertThat(dropped, matchers.LessThan(_CHUNKS))

    def test_all_peers_corrupt(self) -> None:
        """With every peer corrupting, the origin is the last resort."""

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a', 'b')
            fleet.network.corrupting.update(('a', 'b'))
            late = fleet.add('c')
            fleet.want('v1', digest, late)
            await fleet.serving('v1', late)

        self._check(fakes.run(story))

    def test_stalled_link(self) -> None:
        """A link that stalls with its socket open is noticed.

        A replica hangs at some chunks held for ever. The neighbour still
        tells what it holds, but nothing that it sends arrives, and no
        connection is closed. The missing progress must be enough.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a', 'b')
            fleet.network.stalled.add('a')
            late = fleet.add('c')
            fleet.want('v1', digest, late)
            await fleet.serving('v1', late)

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertThat(fleet.network.resets['a'], matchers.GreaterThan(0))

    def test_version_changed_and_changed_back(self) -> None:
        """A newer revision abandons the transfer; going back needs no load.

        An operator publishes v2 by mistake and v1 again a moment later. v2
        is on its way and must not be loaded; v1 has been in service all the
        time and must stay so without a new order to the engine.
        """

        async def story(fleet: fakes.Fleet) -> None:
            first = await _seeded(fleet, 'a', 'b')
            fleet.network.stalled.update(('a', 'b'))
            second = fleet.publish('v2', seed=2, chunks=40)
            fleet.want('v2', second)
            fleet.network.reading.clear()
            await fleet.network.reading.wait()
            last = fleet.want('v1', first)
            fleet.network.stalled.clear()
            await fakes.until(
                lambda: all(
                    node.rollout.progress().phase is protocols.Phase.SERVING
                    and node.rollout.progress().revision == last
                    for node in fleet.nodes
                )
            )

        fleet = fakes.run(story)
        self._check(fleet)
        for node in fleet.nodes:
            self.assertEqual([1], node.engine.orders)
            self.assertNotIn('v2', node.gate.history)
            self.assertNotIn('', node.gate.history[1:])

    def test_store_slow_or_refusing(self) -> None:
        """The weight store's refusals delay a rollout and don't end it.

        All agents ask for a new manifest and the store answers 429, then
        503. Two ask it, wait as told and ask again; the others get the
        manifest from them.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = fleet.publish('v1', seed=1)
            fleet.source.store_faults = [
                errors.ThrottledError(
                    step='manifest', peer='store', retry_after=0.02
                ),
                errors.PlatformUnavailableError(
                    'answered 503', step='manifest', peer='store'
                ),
                errors.MalformedMessageError(
                    'cut short', step='manifest', peer='store'
                ),
            ]
            for name in 'abcdef':
                fleet.add(name)
            fleet.want('v1', digest)
            await fleet.serving('v1')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertThat(fleet.source.manifest_reads, matchers.LessThan(3 + 6))

    def test_origin_down_one_holder(self) -> None:
        """One holder is enough to spread a version without the origin."""

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a')
            fleet.source.origin_down = True
            for name in 'bcdef':
                fleet.add(name, domain='ab'[name > 'c'])
            fleet.want('v1', digest)
            await fleet.serving('v1')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual(_CHUNKS, fleet.source.chunk_reads)

    def test_last_holder_dies(self) -> None:
        """When a chunk's last holder dies it is read from the origin again.

        The only agent that held the version is replaced while the others
        fetch from it, and the list still shows it. They must stop waiting
        for it and share what is missing among themselves.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a')
            fleet.network.dies_after['a'] = 3
            for name in 'bcd':
                fleet.add(name)
            others = fleet.nodes[1:]
            fleet.want('v1', digest, *others)
            await fleet.serving('v1', *others)

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertThat(
            fleet.source.chunk_reads, matchers.LessThan(3 * _CHUNKS)
        )

    def test_restart_resumes_from_neighbours(self) -> None:
        """An agent that restarts gets its chunks from its neighbours."""

        async def story(fleet: fakes.Fleet) -> None:
            digest = await _seeded(fleet, 'a', 'b', 'c')
            fleet.source.origin_down = True
            await fleet.nodes[0].stop()
            again = fleet.add('a')
            fleet.want('v1', digest, again)
            await fleet.serving('v1', again)

        self._check(fakes.run(story))

    def test_different_views(self) -> None:
        """Agents that see different members all end on the version.

        The instance list lags, so that two agents know different others and
        both take themselves for a chunk's first reader. It costs some double
        reads of the origin and nothing else.
        """

        async def story(fleet: fakes.Fleet) -> None:
            digest = fleet.publish('v1', seed=1)
            for name in 'abcd':
                fleet.add(name)
            views = {
                node: fleet.members[at : at + 2]
                for at, node in enumerate(fleet.nodes)
            }
            for node, seen in views.items():
                node.members = seen
            fleet.want('v1', digest)
            await fleet.serving('v1')

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertThat(
            fleet.source.chunk_reads, matchers.LessThan(4 * _CHUNKS)
        )

    def test_silent_origin_and_many_changes(self) -> None:
        """An origin that hangs takes no threads from engine calls.

        Operators publish one version after another while the origin accepts
        reads and never answers. Each abandoned transfer leaves its reads
        hanging; were they to use up the threads for blocking calls, the agent
        could no longer ask its engine anything, and dispatches would hang.
        """

        async def story(fleet: fakes.Fleet) -> None:
            await _seeded(fleet, 'a')
            node = fleet.nodes[0]
            fleet.source.origin_speaks.clear()
            try:
                for seed in range(2, 40):
                    version = f'v{seed}'
                    fleet.want(version, fleet.publish(version, seed, 3))
                    await fakes.until(
                        lambda: node.rollout.progress().chunks_wanted == 3
                    )
                    await asyncio.sleep(0.005)
                async with asyncio.timeout(5):
                    self.assertTrue(await node.rollout.confirm('v1'))
            finally:
                fleet.source.origin_speaks.set()

        self._check(fakes.run(story))

    def test_memory_limit(self) -> None:
        """A version that does not fit is refused and the old one kept.

        An operator publishes a version larger than the memory set aside. It
        must be refused with both sizes in the reason, before any chunk is
        fetched, and the old version stays in service.
        """

        async def story(fleet: fakes.Fleet) -> None:
            small = msgspec.structs.replace(
                fakes.SETTINGS, memory_limit=20 * fakes.CHUNK
            )
            digest = fleet.publish('v1', seed=1)
            node = fleet.add('a', settings=small)
            fleet.want('v1', digest)
            await fleet.serving('v1')
            fleet.want('v2', fleet.publish('v2', seed=2, chunks=21))
            await fakes.until(lambda: _stuck(node))
            self.assertEqual('v1', node.gate.version)
            self.assertIn('21000', node.rollout.progress().trouble)
            self.assertIn('20000', node.rollout.progress().trouble)

        fleet = fakes.run(story)
        self._check(fleet)
        self.assertEqual(_CHUNKS, fleet.source.chunk_reads)

    def test_lying_manifest(self) -> None:
        """A manifest whose whole is another one's is never loaded.

        Every chunk of a published version is right, but the digest of the
        whole belongs to other weights. The engine must not be ordered to
        load it, and the old version stays in service.
        """

        async def story(fleet: fakes.Fleet) -> None:
            await _seeded(fleet, 'a', 'b')
            honest = fleet.source.publish('v2', fakes.weights(2))
            lie = msgspec.structs.replace(
                honest, digest=manifests.digest_of(b'other')
            )
            fleet.want('v2', fleet.source.keep(lie))
            await fakes.until(lambda: all(map(_stuck, fleet.nodes)))
            for node in fleet.nodes:
                self.assertEqual('v1', node.gate.version)
                self.assertEqual([1], node.engine.orders)

        self._check(fakes.run(story))

    def test_abandoned_fetch_leaves_nothing_running(self) -> None:
        """An abandoned transfer's calls end with it."""

        async def story(fleet: fakes.Fleet) -> None:
            await _seeded(fleet, 'a')
            before = asyncio.all_tasks()
            fleet.source.origin_down = True
            fleet.want('v2', fleet.publish('v2', seed=2))
            await fakes.until(lambda: len(asyncio.all_tasks()) > len(before))
            last = fleet.want('v1', fleet.publish('v1', seed=1))
            await fakes.until(
                lambda: (
                    fleet.nodes[0].rollout.progress().revision == last
                    and fleet.nodes[0].rollout.progress().phase
                    is protocols.Phase.SERVING
                )
            )
            await fakes.until(
                lambda: len(asyncio.all_tasks()) <= len(before) + 1
            )

        self._check(fakes.run(story))


def _stuck(node: fakes.Node) -> bool:
    return node.rollout.progress().phase is protocols.Phase.STUCK
