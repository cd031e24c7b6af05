"""Tests of the cluster state: restarted endpoints and desired versions."""

from __future__ import annotations

import math
import typing

import testtools
from loguru import logger

from clementinepass.direct import (
    cluster_state,
    endpoints,
    heartbeats,
    node,
    routing,
    suspension,
)
from clementinepass.http import limits

ADDRESS = '10.0.0.1:80'
LOADED = endpoints.Weights(2, 0, 4)
EMPTY = endpoints.Weights(0, 0, 0)
LOCAL_NODE = node.Node(
    name='edge-1',
    ip='10.0.0.9',
    domain='a',
    region='a',
    regions_by_domain={'a': 'a'},
    first_port=1,
    store='',
    duties=node.SystemLimits(),
)


def listing(
    started: int,
    heartbeat: int,
    weights: endpoints.Weights = EMPTY,
) -> endpoints.Listing:
    """Return a listing of an endpoint."""
    return endpoints.Listing(
        'i-1',
        'pool',
        ADDRESS,
        'a',
        16,
        draining=False,
        heartbeat=heartbeat,
        weights=weights,
        started_ms=started,
    )


class RestartTest(testtools.TestCase):
    """Reports on an earlier incarnation of an endpoint are not applied."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = cluster_state.ClusterState(LOCAL_NODE, clock=lambda: 100)
        self.cluster.update_listing(listing(1000, 50, LOADED))

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """Return the endpoint's current incarnation."""
        current = self.cluster.endpoints.get('i-1')
        assert current is not None
        return current

    def report(self, started: int, weights: endpoints.Weights) -> None:
        """Apply an agent's report."""
        self.cluster.update_engine_status(
            heartbeats.EngineStatus(ADDRESS, *weights, started_ms=started),
            100,
        )

    def test_late_report_of_an_agent(self) -> None:
        """A late report on the earlier incarnation is ignored.

        An engine came back empty. A late report of its agent would send it
        requests for weights that it has not loaded yet.
        """
        self.cluster.update_listing(listing(2000, 1))
        self.report(1000, LOADED)
        self.assertEqual(EMPTY, self.endpoint.weights)
        self.report(2000, LOADED)
        self.assertEqual(LOADED, self.endpoint.weights)

    def test_agent_faster_than_the_list(self) -> None:
        """An agent reports a new incarnation before it is listed."""
        self.report(2000, EMPTY)
        self.assertEqual(EMPTY, self.endpoint.weights)
        # A late listing of the earlier incarnation does not apply to it.
        self.cluster.update_listing(
            listing(1000, 51, endpoints.Weights(2, 0, 3))
        )
        self.assertEqual(EMPTY, self.endpoint.weights)
        self.report(2000, LOADED)
        self.cluster.update_listing(listing(2000, 1))
        self.assertEqual(LOADED, self.endpoint.weights)

    def test_agent_reports_while_the_listing_is_removed(self) -> None:
        """A report on an endpoint that is not listed is ignored.

        Its start time is ignored, too: otherwise the earlier weights would
        count as those of the new incarnation.
        """
        self.cluster.endpoints.mark_removed('i-1', now=90, grace=0)
        self.report(2000, EMPTY)
        self.cluster.update_listing(listing(2000, 1))
        self.assertEqual(EMPTY, self.endpoint.weights)

    def test_agent_that_reports_no_start_time(self) -> None:
        """A report without a start time is of the current incarnation.

        Agents and engines of older releases report none.
        """
        self.report(0, EMPTY)
        self.assertEqual(EMPTY, self.endpoint.weights)

    def test_failures_of_an_earlier_incarnation(self) -> None:
        """Failures of an earlier incarnation do not eject the new one.

        An endpoint crashed under load and came back at once. Its failures,
        some of them noticed after its return, would keep requests from it for
        a second more.
        """
        before = self.endpoint
        for _ in range(3):
            self.cluster.record_failure(before, 1)
        self.assertIn('i-1', self.cluster.ejector.ejected_endpoints(1))
        self.cluster.update_listing(listing(2000, 1))
        for _ in range(3):
            self.cluster.record_failure(before, 1.1)
        self.assertNotIn('i-1', self.cluster.ejector.ejected_endpoints(1.5))
        for _ in range(3):
            self.cluster.record_failure(self.endpoint, 1.6)
        self.assertIn('i-1', self.cluster.ejector.ejected_endpoints(2))

    def test_load_reported_by_peers(self) -> None:
        """Peers' requests at an earlier incarnation are no load of the new."""
        self.cluster.loads.update_peer_counts(
            '10.0.0.8', {'i-1': 9, 'i-2': 1}, 100
        )
        self.endpoint.in_flight = 3
        self.assertEqual(12, self.cluster.loads.total(self.endpoint, 100))
        self.cluster.update_listing(listing(2000, 1))
        self.assertEqual(0, self.cluster.loads.total(self.endpoint, 100))

    def test_service_that_is_not_configured(self) -> None:
        """Endpoints of a service that is not configured get no requests.

        Another writer listed an endpoint under a service name of its own. A
        route named that service by mistake, and requests were sent there.
        """
        service = routing.Service('pool', 8)
        self.assertEqual([], self.cluster.candidates(service, 100))
        for version, services in ((1, []), (2, [service])):
            self.cluster.apply_configuration(
                routing.Routing(version, [], services, None, limits.Bounds()),
            )
            usable = self.cluster.candidates(service, 100)
            self.assertEqual(len(services), len(usable))


class BoundTest(testtools.TestCase):
    """The time by which an engine must have loaded a version."""

    def test_superseded_version(self) -> None:
        """A version's bound stays although a newer version supersedes it.

        Otherwise engines take turns to load beyond that bound.
        """
        cluster = cluster_state.ClusterState(LOCAL_NODE, clock=lambda: 104)
        for version, since in ((2, 100), (3, 104)):
            cluster.add_desired_version('m', version, since)
        engine = typing.cast('routing.Engine', _Engine())
        bound = LOCAL_NODE.duties.version

        self.assertAlmostEqual(100 + bound, cluster.version_bound(engine, 1))
        self.assertAlmostEqual(104 + bound, cluster.version_bound(engine, 2))
        self.assertEqual(math.inf, cluster.version_bound(engine, 3))

    def test_suspended_machine(self) -> None:
        """A suspension counts for the bound and for the ages that peers get."""
        cluster = cluster_state.ClusterState(LOCAL_NODE, clock=lambda: 101)
        leads = [0.0, 0.0, 5.0, 5.0]
        cluster.suspension = suspension.SuspensionMeter(lambda: leads.pop(0))
        cluster.add_desired_version('m', 2, 100)
        engine = typing.cast('routing.Engine', _Engine())
        bound = LOCAL_NODE.duties.version
        for lost in (0, 5, 5):
            cluster.account_for_suspension()
            self.assertAlmostEqual(
                100 - lost + bound, cluster.version_bound(engine, 1)
            )
            (known,) = cluster.desired_versions(101)
            self.assertAlmostEqual(1 + lost, known.age)

    def test_changed_time_is_logged(self) -> None:
        """A changed time of a version is logged with its source."""
        lines: list[dict[str, typing.Any]] = []
        sink = logger.add(
            lambda line: lines.append(line.record['extra']),
            filter=lambda record: record['message'] == 'version time changed',
        )
        self.addCleanup(logger.remove, sink)
        cluster = cluster_state.ClusterState(LOCAL_NODE, clock=lambda: 100)
        for since, is_guess in ((96, True), (93, False), (92.99, False)):
            cluster.add_desired_version(
                'm', 2, since, guessed=is_guess, source='10.0.0.8'
            )
        expected = {
            'model': 'm',
            'version': 2,
            'from': 4,
            'to': 7,
            'moved': -3,
            'was_guessed': True,
            'guessed': False,
            'source': '10.0.0.8',
        }
        self.assertEqual([expected], lines)


class _Engine:
    """The part of an engine's configuration that the bound depends on."""

    model = 'm'
