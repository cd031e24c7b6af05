"""Tests of heartbeats on the wire."""

from __future__ import annotations

import math

import testtools

from clementinepass import errors
from clementinepass.direct import evidence_reports, heartbeats, part_sets
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
                    ),
                ),
                quarantine.Crash('i-2/0', 0, ()),
            ),
            (quarantine.Clearance('0b' * 16, ('i-1/5', 'i-3/7')),),
        )
        digests = ('00000000000000b1', 'f' * 16)
        report = evidence_reports.Report(
            digest,
            (
                evidence_reports.PartCrash(
                    'i-1/5',
                    1.5,
                    'llm',
                    (
                        evidence_reports.Prompt('f1' * 16, digests),
                        evidence_reports.Prompt('f0' * 16, (), digests),
                    ),
                ),
            ),
            (
                evidence_reports.PartAnswer('i-1/5', True, digests),
                evidence_reports.PartAnswer('i-2/0', False, (), digests),
            ),
        )
        payload = wire_heartbeats.write_heartbeat(
            heartbeats.Heartbeat(crash_evidence=report)
        )
        decoded = wire_heartbeats.read_heartbeat(payload, 'peer')
        self.assertEqual(report, decoded.crash_evidence)

    def test_part_sets(self) -> None:
        """Sets of prompt parts, and requests for them, come as sent."""
        digests = ('00000000000000b1', 'f' * 16)
        for heartbeat in (
            heartbeats.Heartbeat(wanted_part_sets=digests),
            heartbeats.Heartbeat(
                part_sets=(part_sets.PartSet('0' * 15 + '7', digests),)
            ),
        ):
            payload = wire_heartbeats.write_heartbeat(heartbeat)
            self.assertEqual(
                heartbeat, wire_heartbeats.read_heartbeat(payload, 'peer')
            )

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
