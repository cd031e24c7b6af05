"""Tests of the load of endpoints and of its reports."""

from __future__ import annotations

import testtools

from clementinepass.direct import (
    cluster_state,
    endpoints,
    heartbeats,
    routing,
    subscribers,
    subscribing,
)
from clementinepass.http import limits
from tests.direct import test_cluster_state

HOST = '10.0.0.2'
ADDRESS = f'{HOST}:80'
NOW = 100.0


def listing(started_ms: int = 0) -> endpoints.Listing:
    """Return an engine's record."""
    weights = endpoints.Weights(1, 0, 4)
    return endpoints.Listing(
        'i-1', 's', ADDRESS, 'a', 8, False, 1, weights, started_ms
    )


def routing_of_engines() -> routing.Routing:
    """Return a configuration with a service of engines."""
    engine = routing.Engine(
        model='m',
        slots=8,
        layers=4,
        chunks=12,
        chunk_bytes=30,
        step_seconds=0.01,
        prompt_tokens_per_second=20_000,
        mean_prompt_tokens=900,
        mean_answer_tokens=90,
    )
    service = routing.Service('s', 100, engine)
    return routing.Routing(1, (), (service,), None, limits.Bounds())


def load(
    active: int, queued: int, started_ms: int = 0
) -> heartbeats.EngineLoad:
    """Return an agent's load report."""
    return heartbeats.EngineLoad(active, queued, started_ms)


class ReportedLoadTest(testtools.TestCase):
    """An engine's load as its agent reports it."""

    def setUp(self) -> None:
        """List an engine with the count of another entry's requests."""
        super().setUp()
        self.cluster = cluster_state.ClusterState(test_cluster_state.LOCAL_NODE)
        self.cluster.update_listing(listing())
        self.cluster.loads.update_peer_counts('10.0.0.8', {'i-1': 9}, NOW)
        (self.engine,) = self.cluster.endpoints

    def total(self, after: float = 0) -> int:
        """Return the requests at the engine."""
        return self.cluster.loads.total(self.engine, NOW + after)

    def test_report_replaces_counts(self) -> None:
        """A report replaces the counts of other entries.

        The counts are old where there are many entries.
        """
        self.assertEqual(9, self.total())
        self.cluster.update_engine_load(HOST, load(3, 2), NOW)

        self.assertEqual(5, self.total())
        self.assertEqual(2, self.cluster.loads.unstarted(self.engine, NOW))

    def test_sent_since_report(self) -> None:
        """Requests sent since the last report are added until the next."""
        self.cluster.update_engine_load(HOST, load(3, 0), NOW)
        for after in (0.05, 0.09):
            self.engine.reported_load.record_sent(NOW + after)
        self.assertEqual(5, self.total())

        self.cluster.update_engine_load(HOST, load(4, 0), NOW + 0.2)
        self.assertEqual(4, self.total())

    def test_sent_shortly_before_report(self) -> None:
        """A request sent shortly before a report arrives is added to it.

        The report was sent before the request reached the engine.
        """
        self.engine.reported_load.record_sent(NOW)
        self.cluster.update_engine_load(HOST, load(3, 0), NOW + 0.01)

        self.assertEqual(4, self.total())

    def test_report_of_killed_agent(self) -> None:
        """The report of a killed agent expires.

        Endpoints were selected by the last report of an agent that had been
        killed.
        """
        self.cluster.update_engine_load(HOST, load(0, 0), NOW)
        self.assertEqual(0, self.total(after=0.9))
        self.assertEqual(9, self.total(after=1.1))

    def test_expired_report_is_lower_bound(self) -> None:
        """An expired report remains a lower bound for a while.

        On a full link reports reached some entries only, which then announced no
        counts. To the others the engine looked empty and attracted requests.
        """
        self.cluster.loads.update_peer_counts('10.0.0.8', {}, NOW)
        self.cluster.update_engine_load(HOST, load(8, 5), NOW)
        self.assertEqual(13, self.total(after=1.1))
        self.assertEqual(0, self.total(after=5.1))

    def test_report_of_previous_start(self) -> None:
        """A late report of the engine's previous start is ignored."""
        self.cluster.update_listing(listing(started_ms=5)._replace(heartbeat=2))
        (self.engine,) = self.cluster.endpoints
        self.cluster.update_engine_load(HOST, load(8, 8, started_ms=4), NOW)

        self.assertEqual(0, self.engine.reported_load.total)

    def test_announced_counts(self) -> None:
        """Entries announce only counts that no agent reports."""
        self.engine.in_flight = 2
        self.assertEqual({'i-1': 2}, self.cluster.in_flight_by_endpoint(NOW))

        self.cluster.update_engine_load(HOST, load(2, 0), NOW)
        self.assertEqual({}, self.cluster.in_flight_by_endpoint(NOW))
        self.assertEqual(
            {'i-1': 2}, self.cluster.in_flight_by_endpoint(NOW + 1.1)
        )

    def test_shared_address(self) -> None:
        """Two endpoints may list one address until the first is removed."""
        other = listing()._replace(id='i-2', service='t')
        self.cluster.endpoints.apply_listing(other)
        self.assertEqual(2, len(self.cluster.endpoints.at_ip(HOST)))
        self.cluster.endpoints.mark_removed('i-1', NOW, 0)
        self.cluster.endpoints.remove_expired(NOW + 10)

        (left,) = self.cluster.endpoints.at_ip(HOST)
        self.assertEqual('i-2', left.listing.id)


class SubscribersTest(testtools.TestCase):
    """The entries that an agent reports to."""

    def test_lease(self) -> None:
        """A killed entry gets no reports after its lease."""
        agent_subscribers = subscribers.Subscribers()
        agent_subscribers.renew('10.0.0.1', NOW)
        agent_subscribers.renew('10.0.0.2', NOW)
        agent_subscribers.renew('10.0.0.2', NOW + 2)

        self.assertEqual(
            ['10.0.0.1', '10.0.0.2'], agent_subscribers.due(NOW + 3)
        )
        self.assertEqual([], agent_subscribers.due(NOW + 3.02))
        self.assertEqual(['10.0.0.2'], agent_subscribers.due(NOW + 4))
        self.assertEqual([], agent_subscribers.due(NOW + 9))
        self.assertEqual(0, len(agent_subscribers))


class SubscribingTest(testtools.TestCase):
    """The agents to which an entry subscribes, and when."""

    def setUp(self) -> None:
        """List engines of two domains, every second one without weights."""
        super().setUp()
        self.cluster = cluster_state.ClusterState(test_cluster_state.LOCAL_NODE)
        self.cluster.routing = routing_of_engines()
        for number in range(30):
            weights = endpoints.Weights(number % 2, 0, 4 * (number % 2))
            self.cluster.update_listing(
                listing()._replace(
                    id=f'i-{number}',
                    address=f'10.2.0.{number}:80',
                    domain='a' if number < 10 else 'b',
                    weights=weights,
                )
            )
        self.subscribing = subscribing.LoadSubscriptions(
            test_cluster_state.LOCAL_NODE, self.cluster, lambda ips: None
        )

    def due_engines(self, after: float = 0) -> set[int]:
        """Return the numbers of the engines due for a subscription."""
        ips = self.subscribing.due(NOW + after)
        return {int(ip.rpartition('.')[2]) for ip in ips}

    def test_engines_of_other_domains(self) -> None:
        """Of other domains, only engines with weights are subscribed to.

        The number of subscriptions is limited, and engines without weights took
        the places of working ones.
        """
        remote = {number for number in self.due_engines() if number >= 10}

        self.assertEqual(7, len(remote))
        self.assertEqual({1}, {number % 2 for number in remote})

    def test_engines_of_local_domain(self) -> None:
        """Agents of new engines in the local domain are subscribed to at once.

        Agents of added engines knew no entry to report their loaded weights to.
        """
        local = {number for number in self.due_engines() if number < 10}
        self.assertEqual(set(range(10)), local)

    def test_renewal(self) -> None:
        """A subscription is renewed each second; a new one is due at once."""
        first_due = self.due_engines()
        self.assertEqual(set(), self.due_engines(after=0.9))
        self.cluster.update_listing(
            listing()._replace(
                id='i-99',
                address='10.2.0.99:80',
                weights=endpoints.Weights(0, 0, 0),
            )
        )
        self.assertEqual({99}, self.due_engines(after=0.9))
        self.assertEqual(first_due, self.due_engines(after=1.5) - {99})
