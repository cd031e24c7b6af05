"""Tests of what is believed of endpoints."""

from __future__ import annotations

import random
import typing

import testtools

from clementinepass.direct import endpoints, routing

ENGINE = routing.Engine(
    model='m',
    slots=16,
    layers=16,
    chunks=96,
    chunk_bytes=24576,
    step_seconds=0.007,
    prompt_tokens_per_second=30000,
    mean_prompt_tokens=900,
    mean_answer_tokens=100,
)


def listing(**changes: typing.Any) -> endpoints.Listing:
    """Return an endpoint's word, changed in some fields."""
    usual = endpoints.Listing(
        'i-1',
        'pool',
        '10.0.0.1:80',
        'north',
        16,
        draining=False,
        heartbeat=5,
        weights=endpoints.Weights(1, 0, 16),
    )
    return usual._replace(**changes)


class EndpointsTest(testtools.TestCase):
    """Older words, lapses and other endpoints at an address."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoint_table = endpoints.Endpoints()
        self.endpoint_table.apply_listing(listing())

    def usable_ids(self, now: float = 0) -> list[str]:
        """Return the ids of those that may be used."""
        return [
            one.listing.id
            for one in self.endpoint_table.usable_for_service('pool', now)
        ]

    def test_replaced_at_its_address(self) -> None:
        """All lost their power; the list named who had been there, too.

        Each entry sent to each of those once, and was told that another is
        there now, until it might send nothing more.
        """
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.assertEqual(['i-2'], self.usable_ids())
        self.endpoint_table.apply_listing(listing(id='i-0', record_offset=3))
        self.assertEqual(['i-2'], self.usable_ids())

    def test_address_named_by_another_service(self) -> None:
        """A wrong record takes no endpoint away from another service."""
        self.endpoint_table.apply_listing(
            listing(id='i-2', service='other', record_offset=9)
        )
        self.assertEqual(['i-1'], self.usable_ids())

    def test_newer_word_at_an_address(self) -> None:
        """Whoever writes last is there; a word of its start isn't needed."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.apply_listing(
            listing(heartbeat=6, record_offset=12)
        )
        self.assertEqual(['i-1'], self.usable_ids())

    def test_replacement_refuted(self) -> None:
        """A record named an address that isn't its endpoint's."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        replacement = self.endpoint_table.get('i-2')
        assert replacement is not None
        replacement.is_misdirected = True
        self.assertEqual(['i-1'], self.usable_ids())

    def test_replacement_moved(self) -> None:
        """The one that replaced an endpoint started anew elsewhere."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.apply_listing(
            listing(id='i-2', address='10.0.0.7:80', record_offset=10)
        )
        self.assertEqual({'i-1', 'i-2'}, set(self.usable_ids()))

    def test_replacement_gone(self) -> None:
        """The record of who replaced an endpoint is dropped."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.mark_removed('i-2', 5, 0)
        self.assertEqual(['i-1'], self.usable_ids(6))

    def test_stalled(self) -> None:
        """A machine stood still for four seconds and drew a third of the load.

        Its requests were given up after more than a second each, so that by
        its count it was the emptiest. Nothing had come from it since it froze.
        """
        endpoint = self.endpoint_table.get('i-1')
        assert endpoint is not None
        endpoint.last_received_at = 10
        endpoint.in_flight = 3
        # Nothing has begun: all may wait behind the requests of others.
        self.assertFalse(endpoint.is_stalled(12))
        endpoint.active_streams = 2
        self.assertFalse(endpoint.is_stalled(10.5))
        self.assertTrue(endpoint.is_stalled(10.7))
        endpoint.last_received_at = 10.7
        self.assertFalse(endpoint.is_stalled(10.8))
        endpoint.active_streams = 1
        self.assertFalse(endpoint.is_stalled(12))

    def test_old_word(self) -> None:
        """A word from before the endpoint was leaving comes late.

        Requests went to an endpoint four seconds after it had said that it
        was leaving: an older heartbeat had been read after that.
        """
        self.endpoint_table.apply_listing(listing(draining=True, heartbeat=7))
        self.assertFalse(
            self.endpoint_table.apply_listing(listing(heartbeat=6))
        )
        self.assertEqual([], self.usable_ids())

    def test_leaving_overtaken(self) -> None:
        """An endpoint's word that it leaves comes after a later heartbeat.

        A request went to an endpoint 2.3 seconds after the store had its word
        that it was leaving. That word had been taken for an old one: its
        number was lower than the last heartbeat's.
        """
        self.endpoint_table.apply_listing(listing(heartbeat=8))
        self.assertTrue(
            self.endpoint_table.apply_listing(
                listing(draining=True, heartbeat=7)
            )
        )
        self.assertEqual([], self.usable_ids())
        self.endpoint_table.apply_listing(listing(heartbeat=9))
        self.assertEqual([], self.usable_ids())

    def test_leaving_is_final(self) -> None:
        """An endpoint that leaves never stays, as long as it runs.

        Where no start is told, nothing tells a new one from a late word.
        """
        self.endpoint_table.apply_listing(listing(draining=True, heartbeat=7))
        self.endpoint_table.apply_listing(listing(heartbeat=8))
        self.assertEqual([], self.usable_ids())

    def test_lapsed_while_the_store_was_away(self) -> None:
        """All endpoints vanished from the list when the store came back.

        Every request was refused until they had listed themselves again,
        though all of them lived.
        """
        self.endpoint_table.mark_removed('i-1', now=10, grace=2)
        self.assertEqual(['i-1'], self.usable_ids(11.9))
        self.assertEqual([], self.usable_ids(12))
        self.endpoint_table.apply_listing(listing(heartbeat=1))
        self.assertEqual(['i-1'], self.usable_ids(12))

    def test_gone_at_once(self) -> None:
        """One that the list drops in quiet times is gone."""
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertEqual([], self.usable_ids(10))

    def test_forgotten(self) -> None:
        """One that is gone is kept while a request is still there."""
        one = self.endpoint_table.get('i-1')
        assert one is not None
        one.in_flight = 1
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertEqual([], self.endpoint_table.remove_expired(20))
        one.in_flight = 0
        self.assertEqual([one], self.endpoint_table.remove_expired(20))
        self.assertIsNone(self.endpoint_table.get('i-1'))

    def test_layers(self) -> None:
        """Only whole weights, of the version or a newer one, serve."""
        table = (
            (endpoints.Weights(0, 0, 0), 0, False),
            (endpoints.Weights(1, 0, 16), 0, True),
            (endpoints.Weights(1, 0, 15), 0, False),
            (endpoints.Weights(1, 1, 16), 0, False),
            (endpoints.Weights(1, 0, 16), 2, False),
            (endpoints.Weights(3, 0, 16), 2, True),
            (endpoints.Weights(2, 0, 0), 2, False),
        )
        for weights, version, expected in table:
            one = endpoints.Endpoint(listing(weights=weights))
            self.assertEqual(
                expected, one.has_weights(ENGINE, version), weights
            )


class RestartTest(testtools.TestCase):
    """An endpoint starts again under the id that it had."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoint_table = endpoints.Endpoints()
        self.endpoint_table.apply_listing(
            listing(started_ms=1000, heartbeat=50)
        )

    def usable_ids(self, now: float = 0) -> list[str]:
        """Return the ids of those that may be used."""
        return [
            one.listing.id
            for one in self.endpoint_table.usable_for_service('pool', now)
        ]

    def loaded_weights(self) -> endpoints.Weights:
        """Return what the endpoint is believed to hold."""
        one = self.endpoint_table.get('i-1')
        assert one is not None
        return one.weights

    def test_back_after_leaving(self) -> None:
        """An endpoint that had left came back, and was never used again.

        Its counts began anew, so its words were also taken for old ones.
        """
        self.endpoint_table.apply_listing(
            listing(started_ms=1000, heartbeat=51, draining=True),
        )
        self.assertEqual([], self.usable_ids())
        self.assertTrue(
            self.endpoint_table.apply_listing(
                listing(started_ms=2000, heartbeat=1)
            )
        )
        self.assertEqual(['i-1'], self.usable_ids())

    def test_late_word_of_the_start_before(self) -> None:
        """A word of the start before comes late, with a higher count.

        The endpoint was taken for leaving, or for holding what it had held.
        """
        empty = endpoints.Weights(0, 0, 0)
        self.endpoint_table.apply_listing(
            listing(started_ms=2000, heartbeat=1, weights=empty)
        )
        for late in (
            listing(started_ms=1000, heartbeat=99),
            listing(started_ms=1000, heartbeat=99, draining=True),
            listing(started_ms=1000, heartbeat=99, address='10.0.0.9:80'),
        ):
            self.assertFalse(self.endpoint_table.apply_listing(late))
            self.assertEqual(empty, self.loaded_weights())
            self.assertEqual(['i-1'], self.usable_ids())
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertFalse(
            self.endpoint_table.apply_listing(
                listing(started_ms=1000, heartbeat=99)
            )
        )
        self.assertEqual([], self.usable_ids(10))

    def test_nothing_is_kept(self) -> None:
        """All that was known of the start before is dropped.

        Another had answered at its address, streams of it had stalled, and
        requests hung on connections that were gone: it was passed by, though
        it was new and empty.
        """
        before = self.endpoint_table.get('i-1')
        assert before is not None
        before.is_misdirected = True
        before.in_flight = 7
        before.active_streams = 7
        before.congested_until = 99
        self.endpoint_table.apply_listing(listing(started_ms=2000, heartbeat=1))
        after = self.endpoint_table.get('i-1')
        assert after is not None
        self.assertEqual(['i-1'], self.usable_ids())
        self.assertFalse(after.is_stalled(99))
        # What still ends there ends at the start before.
        before.in_flight -= 1
        self.assertEqual((0, 6), (after.in_flight, before.in_flight))

    def test_another_service(self) -> None:
        """An id came back at another service, and tidying failed for good.

        The endpoint stood in the table of its old service, and was looked
        for in that of the new one.
        """
        for start in (2000, 0):
            elsewhere = listing(
                started_ms=start,
                heartbeat=60 + start,
                service=f'other-{start}',
                address='10.0.0.9:80',
            )
            self.endpoint_table.apply_listing(elsewhere)
            self.assertEqual([], self.usable_ids())
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertEqual(1, len(self.endpoint_table.remove_expired(20)))

    def test_untold_start(self) -> None:
        """Writers that don't tell their start are ordered as before."""
        self.assertFalse(
            self.endpoint_table.apply_listing(listing(heartbeat=49))
        )
        self.assertTrue(
            self.endpoint_table.apply_listing(listing(heartbeat=51, slots=8))
        )
        one = self.endpoint_table.get('i-1')
        assert one is not None
        self.assertEqual((1000, 8), (one.listing.started_ms, one.listing.slots))

    def test_any_words_in_any_order(self) -> None:
        """Whatever comes when: starts don't go back, and leaving is final.

        Words of three starts, some of them from elsewhere, with the list
        dropping the endpoint and malformed records in between.
        """
        for seed in range(300):
            self.play(random.Random(seed), seed)

    def play(self, rng: random.Random, seed: int) -> None:
        """Take words and check what is believed after each."""
        known = endpoints.Endpoints()
        newest = 0
        left: set[int] = set()
        for now in range(60):
            word = listing(
                started_ms=rng.randrange(1, 4),
                heartbeat=rng.randrange(1, 30),
                draining=rng.random() < 0.1,
                service=rng.choice(('pool', 'pool', 'pool', 'other')),
                weights=endpoints.Weights(rng.randrange(3), 0, 16),
            )
            event = rng.random()
            if event < 0.1:
                known.mark_removed('i-1', now, grace=0)
            elif event < 0.2:
                known.mark_unreadable('i-1')
            elif event < 0.25:
                known.remove_expired(now)
                if known.get('i-1') is None:
                    newest, left = 0, set()
            elif known.apply_listing(word):
                self.assertGreaterEqual(word.started_ms, newest, seed)
                newest = word.started_ms
            one = known.get('i-1')
            if one is None:
                continue
            if one.listing.draining:
                left.add(one.listing.started_ms)
            self.assertEqual(newest, one.listing.started_ms, seed)
            if newest in left:
                self.assertFalse(one.is_usable(now), seed)
            served = [
                each.listing.id
                for service in ('pool', 'other')
                for each in known.usable_for_service(service, now)
            ]
            self.assertEqual(int(one.is_usable(now)), len(served), seed)

    def test_unreadable(self) -> None:
        """A state that this version doesn't know, under a known id.

        The endpoint got requests by the record before. Its next word is
        believed again, and nothing known of it was lost.
        """
        self.assertFalse(self.endpoint_table.mark_unreadable('i-unknown'))
        self.assertTrue(self.endpoint_table.mark_unreadable('i-1'))
        self.assertFalse(self.endpoint_table.mark_unreadable('i-1'))
        self.assertEqual([], self.usable_ids())
        one = self.endpoint_table.get('i-1')
        self.assertTrue(
            self.endpoint_table.apply_listing(
                listing(started_ms=1000, heartbeat=51)
            )
        )
        self.assertEqual(['i-1'], self.usable_ids())
        self.assertIs(one, self.endpoint_table.get('i-1'))
