"""Tests of the limits of cold endpoints over many entries."""

from __future__ import annotations

import typing

import testtools

from clementinepass.direct import (
    cluster_state,
    cold_endpoints,
    endpoints,
    evacuation,
    node,
    routing,
)
from clementinepass.http import limits
from standins import cold_start
from tests.direct import test_cluster_state

LIMITS = node.SystemLimits(cold_overrun=1.5, cold_slack=5)
RATE = 15
#: Requests that the endpoint takes in any second: 15 x 1.5 + 5.
MOST_PER_SECOND = 27
STEP_SECONDS = 0.01
#: Time by which a request may be delayed on its way.
TRANSIT_SECONDS = 0.05


class Entry:
    """An entry that sends whenever it is allowed."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.cold = cold_endpoints.ColdEndpoints(ip, LIMITS)
        self.endpoint = endpoints.Endpoint(
            test_cluster_state.listing(1000, 1, test_cluster_state.LOADED)
        )

    def send(self, now: float) -> bool:
        """Send a request if it is allowed."""
        self.cold.update_shares(now)
        if not self.endpoint.admits(now):
            return False
        self.endpoint.start_request(now)
        return True


class SharedLimitTest(testtools.TestCase):
    """Guards against entries that together crash a cold endpoint."""

    def play(
        self,
        count: int,
        heard_by_ip: typing.Callable[[str, float], set[str]],
        seconds: float = 6,
    ) -> list[float]:
        """Let all entries send as much as they may; return the arrivals."""
        entries = [Entry(f'10.0.0.{number}') for number in range(count)]
        for entry in entries:
            entry.cold.known_entries = lambda ip=entry.ip: heard_by_ip(ip, now)
        now = 100.0
        arrivals = []
        for entry in entries:
            entry.cold.mark(entry.endpoint, RATE, seconds, now)
        while now < 100 + seconds - STEP_SECONDS:
            for index, entry in enumerate(entries):
                if entry.send(now):
                    delay = TRANSIT_SECONDS * (index % 2)
                    arrivals.append(now + delay)
            now += STEP_SECONDS
        return arrivals

    def test_all_connected(self) -> None:
        """The rate is used, and no second has more than the bound."""
        ips = {f'10.0.0.{number}' for number in range(35)}
        arrivals = self.play(35, lambda ip, now: ips)
        self.assertLessEqual(
            cold_start.most_in_a_second(arrivals), MOST_PER_SECOND
        )
        self.assertGreater(len(arrivals), 4 * RATE)

    def test_two_fifths_cut_off(self) -> None:
        """Entries that no longer hear one another keep their shares."""
        ips = [f'10.0.0.{number}' for number in range(35)]

        def heard(ip: str, now: float) -> set[str]:
            if now < 102:
                return set(ips)
            is_cut_off = ips.index(ip) < 14
            return set(ips[:14] if is_cut_off else ips[14:])

        arrivals = self.play(35, heard)
        self.assertLessEqual(
            cold_start.most_in_a_second(arrivals), MOST_PER_SECOND
        )

    def test_entries_join(self) -> None:
        """Entries that join are known to each other at different times."""
        ips = [f'10.0.0.{number}' for number in range(35)]

        def heard(ip: str, now: float) -> set[str]:
            is_late = ips.index(ip) % 3 == 0
            return set(ips if now > 103 + is_late else ips[:30])

        arrivals = self.play(35, heard)
        self.assertLessEqual(
            cold_start.most_in_a_second(arrivals), MOST_PER_SECOND
        )

    def test_few_entries(self) -> None:
        """A few entries stay within the bound as well."""
        for count in (1, 2, 3, 8):
            ips = {f'10.0.0.{number}' for number in range(count)}
            arrivals = self.play(count, lambda ip, now, ips=ips: ips)
            self.assertLessEqual(
                cold_start.most_in_a_second(arrivals), MOST_PER_SECOND
            )
            self.assertGreater(len(arrivals), 3 * RATE)


class MarkTest(testtools.TestCase):
    """Guards against cold endpoints that are not known as such."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.cluster = cluster_state.ClusterState(
            test_cluster_state.LOCAL_NODE, clock=lambda: self.now
        )
        self.configure(RATE)

    def configure(self, rate: float) -> None:
        """Put a configuration in force."""
        service = routing.Service('pool', 8, cold_seconds=3, cold_rate=rate)
        version = self.cluster.configuration_version + 1
        self.cluster.apply_configuration(
            routing.Routing(version, (), (service,), None, limits.Bounds())
        )

    def cold_for(self, **changes: typing.Any) -> float:
        """Apply a listing; return for how long the endpoint is cold."""
        is_initial = changes.pop('is_initial', False)
        listed = test_cluster_state.listing(1000, 1)._replace(**changes)
        self.cluster.update_listing(listed, is_initial=is_initial)
        endpoint = self.cluster.endpoints.get('i-1')
        assert endpoint is not None
        return max(endpoint.cold_until - self.now, 0)

    def test_new_start(self) -> None:
        """A start that appears is cold; one of the first records may not be."""
        self.assertEqual(0, self.cold_for(is_initial=True))
        self.assertEqual(3, self.cold_for(started_ms=2000))

    def test_record(self) -> None:
        """The time in a record counts from its arrival."""
        self.assertEqual(0, self.cold_for(is_initial=True))
        self.now += 10
        self.assertEqual(1.5, self.cold_for(heartbeat=2, cold_left=1.5))
        self.now += 1
        self.assertEqual(0.5, self.cold_for(heartbeat=3, cold_left=0.1))

    def test_no_rate(self) -> None:
        """Services without a rate have no cold endpoints."""
        self.configure(0)
        self.assertEqual(0, self.cold_for(cold_left=5))

    def test_configuration_after_the_record(self) -> None:
        """An entry that starts had no limit if the list came first."""
        self.cluster = cluster_state.ClusterState(
            test_cluster_state.LOCAL_NODE, clock=lambda: self.now
        )
        self.assertEqual(0, self.cold_for(is_initial=True, cold_left=2))
        self.now += 0.5
        self.configure(RATE)
        endpoint = self.cluster.endpoints.get('i-1')
        assert endpoint is not None
        self.assertEqual(1.5, endpoint.cold_until - self.now)
        self.assertFalse(endpoint.admits(self.now))

    def test_first_rate_of_a_service(self) -> None:
        """A configuration is the first to limit a service's endpoints."""
        self.configure(0)
        self.cold_for(is_initial=True)
        self.assertEqual(0, self.cold_for(started_ms=2000))
        self.now += 1
        self.configure(RATE)
        endpoint = self.cluster.endpoints.get('i-1')
        assert endpoint is not None
        self.assertEqual(2, endpoint.cold_until - self.now)

    def test_after_evacuation(self) -> None:
        """Endpoints may have become cold before or during an evacuation."""
        self.assertEqual(0, self.cold_for(is_initial=True))
        for is_active in (True, False):
            self.cluster.evacuated.apply(evacuation.Evacuation('a', is_active))
        endpoint = self.cluster.endpoints.get('i-1')
        assert endpoint is not None
        self.assertEqual(3, endpoint.cold_until - self.now)
        self.assertFalse(endpoint.admits(self.now))

    def test_end(self) -> None:
        """At the end of the limit requests return slowly."""
        self.cold_for()
        endpoint = self.cluster.endpoints.get('i-1')
        assert endpoint is not None
        self.now += 3.1
        self.cluster.cold.update_shares(self.now)
        self.assertTrue(endpoint.admits(self.now))
        endpoint.start_request(self.now)
        self.assertFalse(endpoint.admits(self.now))
