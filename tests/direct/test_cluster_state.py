"""Tests of what is known of endpoints that start again, and of versions."""

from __future__ import annotations

import math
import typing

import testtools

from clementinepass.direct import (
    cluster_state,
    endpoints,
    heartbeats,
    node,
    routing,
)
from clementinepass.http import limits

ADDRESS = '10.0.0.1:80'
OLD = endpoints.Weights(2, 0, 4)
EMPTY = endpoints.Weights(0, 0, 0)
OWN = node.Node(
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
    """Return an endpoint's word."""
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
    """Nothing told of an earlier start is believed of the newer one."""

    def setUp(self) -> None:
        super().setUp()
        self.known = cluster_state.ClusterState(OWN, clock=lambda: 100)
        self.known.listed(listing(1000, 50, OLD))

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """Return the endpoint as it is known now."""
        found = self.known.endpoints.get('i-1')
        assert found is not None
        return found

    def told(self, started: int, weights: endpoints.Weights) -> None:
        """Hear an agent."""
        self.known.heard_held(
            heartbeats.Held(ADDRESS, *weights, started=started),
            100,
        )

    def test_late_word_of_an_agent(self) -> None:
        """An engine came back empty, and its agent's word of before came late.

        Requests went to weights that the engine no longer held, until it had
        loaded them.
        """
        self.known.listed(listing(2000, 1))
        self.told(1000, OLD)
        self.assertEqual(EMPTY, self.endpoint.weights)
        self.told(2000, OLD)
        self.assertEqual(OLD, self.endpoint.weights)

    def test_agent_faster_than_the_list(self) -> None:
        """An agent tells of the new start before the list does."""
        self.told(2000, EMPTY)
        self.assertEqual(EMPTY, self.endpoint.weights)
        # The list's late words of the start before say nothing of it.
        self.known.listed(listing(1000, 51, endpoints.Weights(2, 0, 3)))
        self.assertEqual(EMPTY, self.endpoint.weights)
        self.told(2000, OLD)
        self.known.listed(listing(2000, 1))
        self.assertEqual(OLD, self.endpoint.weights)

    def test_agent_faster_than_the_list_of_one_that_was_dropped(self) -> None:
        """An agent's word came while the list had dropped its engine.

        It wasn't believed, as of one that is gone; but the weights of before
        were taken for those of the new start, which it had told of.
        """
        self.known.endpoints.mark_removed('i-1', now=90, grace=0)
        self.told(2000, EMPTY)
        self.known.listed(listing(2000, 1))
        self.assertEqual(EMPTY, self.endpoint.weights)

    def test_agent_that_tells_no_start(self) -> None:
        """An agent or engine of before is believed as it was."""
        self.told(0, EMPTY)
        self.assertEqual(EMPTY, self.endpoint.weights)

    def test_failures_of_the_start_before(self) -> None:
        """An endpoint crashed under load and came back at once.

        Its failures, also those that came to light after its return, kept
        requests from it for a second more.
        """
        before = self.endpoint
        for _ in range(3):
            self.known.failed(before, 1)
        self.assertIn('i-1', self.known.ejector.ejected_endpoints(1))
        self.known.listed(listing(2000, 1))
        for _ in range(3):
            self.known.failed(before, 1.1)
        self.assertNotIn('i-1', self.known.ejector.ejected_endpoints(1.5))
        for _ in range(3):
            self.known.failed(self.endpoint, 1.6)
        self.assertIn('i-1', self.known.ejector.ejected_endpoints(2))

    def test_load_told_by_peers(self) -> None:
        """Others' requests at the start before are no load of the new one."""
        self.known.loads.update_peer_counts(
            '10.0.0.8', {'i-1': 9, 'i-2': 1}, 100
        )
        self.endpoint.in_flight = 3
        self.assertEqual(12, self.known.loads.total(self.endpoint, 100))
        self.known.listed(listing(2000, 1))
        self.assertEqual(0, self.known.loads.total(self.endpoint, 100))

    def test_service_that_is_not_named(self) -> None:
        """Another writer lists an endpoint of a service of its own.

        A route led to that name by mistake, and callers' requests went there.
        """
        service = routing.Service('pool', 8)
        self.assertEqual([], self.known.candidates(service, 100))
        for version, services in ((1, []), (2, [service])):
            self.known.configured(
                routing.Routing(version, [], services, None, limits.Bounds()),
            )
            found = self.known.candidates(service, 100)
            self.assertEqual(len(services), len(found))


class BoundTest(testtools.TestCase):
    """Until when an engine has to have taken up a version."""

    def test_dropped_version(self) -> None:
        """Engines took turns beyond the bound of a version that was dropped."""
        known = cluster_state.ClusterState(OWN, clock=lambda: 100)
        for version, since in ((2, 100), (3, 104)):
            known.named('m', version, since)
        engine = typing.cast('routing.Engine', _Model())
        bound = OWN.duties.version

        self.assertAlmostEqual(100 + bound, known.begin_bound(engine, 1))
        self.assertAlmostEqual(104 + bound, known.begin_bound(engine, 2))
        self.assertEqual(math.inf, known.begin_bound(engine, 3))


class _Model:
    """All that is asked of an engine's description here."""

    model = 'm'
