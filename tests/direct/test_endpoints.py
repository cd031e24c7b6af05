"""Tests of the table of endpoints."""

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
    """Return a record of an endpoint with some fields changed."""
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
    """Older records, expiry, and other endpoints at an address."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoint_table = endpoints.Endpoints()
        self.endpoint_table.apply_listing(listing())

    def usable_ids(self, now: float = 0) -> list[str]:
        """Return the ids of the usable endpoints."""
        return [
            endpoint.listing.id
            for endpoint in self.endpoint_table.usable_for_service('pool', now)
        ]

    def test_replaced_at_address(self) -> None:
        """The newest record at an address replaces older ones.

        After a power loss the list named the previous endpoints as well. Each
        entry sent a request to each of them and was rejected by the endpoint now
        at the address, until it had no attempts left.
        """
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.assertEqual(['i-2'], self.usable_ids())
        self.endpoint_table.apply_listing(listing(id='i-0', record_offset=3))
        self.assertEqual(['i-2'], self.usable_ids())

    def test_address_in_another_service(self) -> None:
        """A wrong record does not replace an endpoint of another service."""
        self.endpoint_table.apply_listing(
            listing(id='i-2', service='other', record_offset=9)
        )
        self.assertEqual(['i-1'], self.usable_ids())

    def test_newest_record_at_address(self) -> None:
        """The last record at an address counts, also without a start time."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.apply_listing(
            listing(heartbeat=6, record_offset=12)
        )
        self.assertEqual(['i-1'], self.usable_ids())

    def test_replacement_misdirected(self) -> None:
        """A misdirected endpoint replaces no other at its address.

        Its record names an address that another endpoint has.
        """
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        replacement = self.endpoint_table.get('i-2')
        assert replacement is not None
        replacement.is_misdirected = True
        self.assertEqual(['i-1'], self.usable_ids())

    def test_replacement_moved(self) -> None:
        """An endpoint is usable again if its replacement moves elsewhere."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.apply_listing(
            listing(id='i-2', address='10.0.0.7:80', record_offset=10)
        )
        self.assertEqual({'i-1', 'i-2'}, set(self.usable_ids()))

    def test_replacement_removed(self) -> None:
        """An endpoint is usable again if its replacement is removed."""
        self.endpoint_table.apply_listing(listing(id='i-2', record_offset=9))
        self.endpoint_table.mark_removed('i-2', 5, 0)
        self.assertEqual(['i-1'], self.usable_ids(6))

    def test_stalled(self) -> None:
        """An endpoint that sends nothing on two streams is stalled.

        An instance froze for four seconds and attracted a third of the load. Its
        requests were abandoned after more than a second each, so that it looked
        like the emptiest one.
        """
        endpoint = self.endpoint_table.get('i-1')
        assert endpoint is not None
        endpoint.last_received_at = 10
        endpoint.in_flight = 3
        # No request has started: all may wait behind those of other entries.
        self.assertFalse(endpoint.is_stalled(12))
        endpoint.active_streams = 2
        self.assertFalse(endpoint.is_stalled(10.5))
        self.assertTrue(endpoint.is_stalled(10.7))
        endpoint.last_received_at = 10.7
        self.assertFalse(endpoint.is_stalled(10.8))
        endpoint.active_streams = 1
        self.assertFalse(endpoint.is_stalled(12))

    def test_late_heartbeat(self) -> None:
        """A late record from before the drain is ignored.

        Requests were sent to an endpoint four seconds after it announced its
        drain, as an older heartbeat was read after that.
        """
        self.endpoint_table.apply_listing(listing(draining=True, heartbeat=7))
        self.assertFalse(
            self.endpoint_table.apply_listing(listing(heartbeat=6))
        )
        self.assertEqual([], self.usable_ids())

    def test_late_drain_record(self) -> None:
        """A drain counts even if its record arrives after a later heartbeat.

        A request was sent to an endpoint 2.3 seconds after the store had the
        record of its drain. The record was ignored, as its heartbeat number was
        lower than the last one.
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

    def test_drain_is_final(self) -> None:
        """A draining endpoint never becomes usable again while it runs.

        Without a start time, a restart cannot be distinguished from a late
        record.
        """
        self.endpoint_table.apply_listing(listing(draining=True, heartbeat=7))
        self.endpoint_table.apply_listing(listing(heartbeat=8))
        self.assertEqual([], self.usable_ids())

    def test_record_expired_during_outage(self) -> None:
        """Endpoints whose records expired in an outage remain usable.

        All endpoints vanished from the list when the store came back. Requests
        were refused until the endpoints had listed themselves again, though all
        of them were alive.
        """
        self.endpoint_table.mark_removed('i-1', now=10, grace=2)
        self.assertEqual(['i-1'], self.usable_ids(11.9))
        self.assertEqual([], self.usable_ids(12))
        self.endpoint_table.apply_listing(listing(heartbeat=1))
        self.assertEqual(['i-1'], self.usable_ids(12))

    def test_removed_without_grace(self) -> None:
        """An endpoint that is removed without an outage is unusable at once."""
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertEqual([], self.usable_ids(10))

    def test_kept_while_in_flight(self) -> None:
        """A removed endpoint is kept while it has a request in flight."""
        endpoint = self.endpoint_table.get('i-1')
        assert endpoint is not None
        endpoint.in_flight = 1
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertEqual([], self.endpoint_table.remove_expired(20))
        endpoint.in_flight = 0
        self.assertEqual([endpoint], self.endpoint_table.remove_expired(20))
        self.assertIsNone(self.endpoint_table.get('i-1'))

    def test_has_weights(self) -> None:
        """Only complete weights, of the version or a newer one, are usable."""
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
            endpoint = endpoints.Endpoint(listing(weights=weights))
            self.assertEqual(
                expected, endpoint.has_weights(ENGINE, version), weights
            )


class RestartTest(testtools.TestCase):
    """An endpoint restarts under its id."""

    def setUp(self) -> None:
        super().setUp()
        self.endpoint_table = endpoints.Endpoints()
        self.endpoint_table.apply_listing(
            listing(started_ms=1000, heartbeat=50)
        )

    def usable_ids(self, now: float = 0) -> list[str]:
        """Return the ids of the usable endpoints."""
        return [
            endpoint.listing.id
            for endpoint in self.endpoint_table.usable_for_service('pool', now)
        ]

    def loaded_weights(self) -> endpoints.Weights:
        """Return the weights that the endpoint is known to have loaded."""
        endpoint = self.endpoint_table.get('i-1')
        assert endpoint is not None
        return endpoint.weights

    def test_usable_after_drain(self) -> None:
        """An endpoint that drained is usable after its restart.

        It was never used again: its heartbeat numbers restarted, so that its
        records were taken for old ones.
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

    def test_late_record_of_previous_start(self) -> None:
        """A late record of the previous start is ignored.

        Its heartbeat number is higher. It was applied, and the endpoint seemed
        to drain or to have its former weights.
        """
        empty = endpoints.Weights(0, 0, 0)
        self.endpoint_table.apply_listing(
            listing(started_ms=2000, heartbeat=1, weights=empty)
        )
        for late_record in (
            listing(started_ms=1000, heartbeat=99),
            listing(started_ms=1000, heartbeat=99, draining=True),
            listing(started_ms=1000, heartbeat=99, address='10.0.0.9:80'),
        ):
            self.assertFalse(self.endpoint_table.apply_listing(late_record))
            self.assertEqual(empty, self.loaded_weights())
            self.assertEqual(['i-1'], self.usable_ids())
        self.endpoint_table.mark_removed('i-1', now=10, grace=0)
        self.assertFalse(
            self.endpoint_table.apply_listing(
                listing(started_ms=1000, heartbeat=99)
            )
        )
        self.assertEqual([], self.usable_ids(10))

    def test_state_of_previous_start_is_dropped(self) -> None:
        """All that was known of the previous start is dropped.

        The previous start was misdirected, its streams had stalled and requests
        hung on dead connections. The restarted endpoint was skipped for that,
        though it was empty.
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
        # Requests in flight are counted for the previous start.
        before.in_flight -= 1
        self.assertEqual((0, 6), (after.in_flight, before.in_flight))

    def test_another_service(self) -> None:
        """An endpoint that restarts in another service can be removed.

        The endpoint was in the table of its old service and was looked up in
        that of the new one, so that the removal of expired endpoints failed.
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

    def test_unknown_start(self) -> None:
        """Records without a start time are ordered by their heartbeat."""
        self.assertFalse(
            self.endpoint_table.apply_listing(listing(heartbeat=49))
        )
        self.assertTrue(
            self.endpoint_table.apply_listing(listing(heartbeat=51, slots=8))
        )
        endpoint = self.endpoint_table.get('i-1')
        assert endpoint is not None
        self.assertEqual(
            (1000, 8), (endpoint.listing.started_ms, endpoint.listing.slots)
        )

    def test_random_records(self) -> None:
        """In any order of records, starts never go back and drains are final.

        The records are of three starts, some in another service, mixed with
        removals and malformed records.
        """
        for seed in range(300):
            self.apply_random_records(random.Random(seed), seed)

    def apply_random_records(self, rng: random.Random, seed: int) -> None:
        """Apply random records and check the table after each."""
        table = endpoints.Endpoints()
        newest_start = 0
        drained_starts: set[int] = set()
        for now in range(60):
            record = listing(
                started_ms=rng.randrange(1, 4),
                heartbeat=rng.randrange(1, 30),
                draining=rng.random() < 0.1,
                service=rng.choice(('pool', 'pool', 'pool', 'other')),
                weights=endpoints.Weights(rng.randrange(3), 0, 16),
            )
            event = rng.random()
            if event < 0.1:
                table.mark_removed('i-1', now, grace=0)
            elif event < 0.2:
                table.mark_unreadable('i-1')
            elif event < 0.25:
                table.remove_expired(now)
                if table.get('i-1') is None:
                    newest_start, drained_starts = 0, set()
            elif table.apply_listing(record):
                self.assertGreaterEqual(record.started_ms, newest_start, seed)
                newest_start = record.started_ms
            endpoint = table.get('i-1')
            if endpoint is None:
                continue
            if endpoint.listing.draining:
                drained_starts.add(endpoint.listing.started_ms)
            self.assertEqual(newest_start, endpoint.listing.started_ms, seed)
            if newest_start in drained_starts:
                self.assertFalse(endpoint.is_usable(now), seed)
            usable_ids = [
                usable.listing.id
                for service in ('pool', 'other')
                for usable in table.usable_for_service(service, now)
            ]
            self.assertEqual(
                int(endpoint.is_usable(now)), len(usable_ids), seed
            )

    def test_unreadable(self) -> None:
        """An endpoint with a malformed record is unusable until the next one.

        An endpoint with a state unknown to this release of the software got
        requests by its previous record. The next valid record makes it usable
        again; nothing that was known of the endpoint is lost.
        """
        self.assertFalse(self.endpoint_table.mark_unreadable('i-unknown'))
        self.assertTrue(self.endpoint_table.mark_unreadable('i-1'))
        self.assertFalse(self.endpoint_table.mark_unreadable('i-1'))
        self.assertEqual([], self.usable_ids())
        endpoint = self.endpoint_table.get('i-1')
        self.assertTrue(
            self.endpoint_table.apply_listing(
                listing(started_ms=1000, heartbeat=51)
            )
        )
        self.assertEqual(['i-1'], self.usable_ids())
        self.assertIs(endpoint, self.endpoint_table.get('i-1'))
