"""Tests of heartbeats on the wire."""

from __future__ import annotations

import math

import testtools

from clementinepass import errors
from clementinepass.direct import heartbeats
from clementinepass.requests import quarantine
from clementinepass.wire import heartbeats as wire_heartbeats


class HeartbeatTest(testtools.TestCase):
    """Heartbeats are read as they were written."""

    def test_crash_evidence(self) -> None:
        """Crashes, suspects and clearances come as they were sent."""
        digest = quarantine.Digest(
            (
                quarantine.Crash(
                    'i-1/5',
                    1.5,
                    (
                        quarantine.Suspect('0a' * 16, 1.75),
                        quarantine.Suspect('f0' * 16, 2.25),
                        quarantine.Suspect(
                            'f1' * 16, 2.25, ('00000000000000b1', 'f' * 16)
                        ),
                    ),
                ),
                quarantine.Crash('i-2/0', 0, ()),
            ),
            (
                quarantine.Clearance('0b' * 16, ('i-1/5', 'i-3/7')),
                quarantine.Clearance('00000000000000b1', ('i-1/5',)),
            ),
        )
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(crash_evidence=digest)
        )
        decoded = wire_heartbeats.read_heartbeat(payload, 'peer')
        self.assertEqual(digest, decoded.crash_evidence)

    def test_endpoint_limits(self) -> None:
        """Limits and their ends come as they were sent."""
        limits = (
            heartbeats.EndpointLimit('i-1', 1_760_000_000_123, 1.2, 0.25),
            heartbeats.EndpointLimit('i-2', 0, None, 12),
        )
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(endpoint_limits=limits)
        )
        decoded = wire_heartbeats.read_heartbeat(payload, 'peer')
        self.assertEqual(limits, decoded.endpoint_limits)

    def test_limit_that_is_no_number(self) -> None:
        """A limit by which nothing can be divided is not read."""
        for rate in (math.nan, math.inf, -1.0):
            limit = heartbeats.EndpointLimit('i-1', 0, rate, 0)
            payload = wire_heartbeats.write_heartbeat(
                heartbeats.Heartbeat(endpoint_limits=(limit,))
            )
            self.assertRaises(
                errors.MalformedMessageError,
                wire_heartbeats.read_heartbeat,
                payload,
                'peer',
            )
