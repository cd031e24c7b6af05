"""Tests of the log lines on decisions on crashes."""

from __future__ import annotations

import asyncio
import typing

import testtools
from loguru import logger

from clementinepass.direct import evidence_log
from standins import direct_endpoint
from tests.direct import path_harness, test_crash_evidence

if typing.TYPE_CHECKING:
    from clementinepass.direct import endpoints

Decision = evidence_log.Decision
REQUEST = test_crash_evidence.REQUEST
OTHER = 'bb' * 16
PEER = '10.0.0.7'


class DecisionTest(testtools.TestCase):
    """Each decision on evidence leaves one line and is counted."""

    def setUp(self) -> None:
        """Collect all lines."""
        super().setUp()
        self.records: list[typing.Any] = []
        handle = logger.add(
            lambda message: self.records.append(message.record), level='INFO'
        )
        self.addCleanup(logger.remove, handle)
        self.evidence = test_crash_evidence.make()

    def fields(self, message: str) -> dict[str, typing.Any]:
        """Return the fields of the only line with a message."""
        (found,) = (
            record['extra']
            for record in self.records
            if record['message'] == message
        )
        return found

    def count(self, decision: Decision) -> int:
        """Return how often a decision was counted."""
        return self.evidence.log.counts_by_decision[decision]

    def test_quarantined(self) -> None:
        """The line has the crashes and their ages."""
        test_crash_evidence.crash(self.evidence, 3)
        self.evidence.is_suspicious(REQUEST, 2.2)
        fields = self.fields('request quarantined')
        self.assertEqual(['i-0', 'i-1', 'i-2'], fields['crashed'])
        self.assertEqual([2, 1, 0], fields['ages'])
        self.assertEqual(3, self.count(Decision.RECORDED))
        self.assertEqual(1, self.count(Decision.QUARANTINED))
        self.assertEqual(1, self.evidence.count_quarantined(2.2))
        self.assertEqual(3, self.evidence.crash_count)

    def test_received(self) -> None:
        """The line names the process that reported the crashes."""
        other = test_crash_evidence.make(PEER)
        test_crash_evidence.crash(other, 2)
        report = other.report(1.5, full=False)
        for _ in range(2):
            self.evidence.apply(report, 2, is_relayed=False, peer=PEER)
        fields = self.fields('crash evidence received')
        self.assertEqual(PEER, fields['peer'])
        self.assertEqual([REQUEST], fields['fingerprints'])
        self.assertEqual(['i-1', 'i-0'], fields['crashed'])
        self.assertEqual(1, self.count(Decision.RECEIVED))

    def test_cleared_by_answer(self) -> None:
        """A complete answer ends the quarantine."""
        test_crash_evidence.crash(self.evidence, 3)
        self.evidence.is_suspicious(REQUEST, 2.2)
        self.evidence.record_answer(REQUEST, 3, 3.5)
        self.evidence.is_suspicious(REQUEST, 3.5)
        fields = self.fields('cleared of crashes')
        self.assertEqual('answer', fields['by'])
        self.assertEqual([REQUEST], fields['fingerprints'])
        self.assertEqual(3, len(fields['crashed']))
        released = self.fields('quarantine of a request ended')
        self.assertEqual(REQUEST, released['fingerprint'])
        self.assertEqual(1, self.count(Decision.RELEASED))

    def test_cleared_by_earlier_answer(self) -> None:
        """The line tells that the answer came before the crash."""
        self.evidence.record_answer(REQUEST, 0, 0.1)
        test_crash_evidence.crash(self.evidence, 1, first=1)
        fields = self.fields('cleared of crashes')
        self.assertEqual('earlier_answer', fields['by'])

    def test_dropped(self) -> None:
        """More crashes than are kept, and crashes that expire, are told."""
        for number in range(70):
            self.evidence.record_crash(f'i-{number}', OTHER, 0, 0.2)
        dropped = [
            record['extra']
            for record in self.records
            if record['message'] == 'crash evidence dropped'
        ]
        self.assertEqual(6, len(dropped))
        self.assertFalse(dropped[0]['expired'])
        self.assertEqual([OTHER], dropped[0]['fingerprints'])
        self.evidence.record_crash('i-late', OTHER, 4000, 4001)
        last = self.records[-1]['extra']
        self.assertTrue(last['expired'])
        self.assertEqual(8, len(last['crashed']))

    def test_let_through(self) -> None:
        """The line tells why a request is sent after crashes under it."""
        test_crash_evidence.crash(self.evidence, 2)
        self.evidence.record_attempt(REQUEST, 2.2, request_id='r-1')
        fields = self.fields('sent after crashes')
        self.assertEqual('r-1', fields['request'])
        self.assertEqual(2, fields['crashes'])
        self.assertEqual('too_few', fields['decision'])

    def test_shared(self) -> None:
        """The line names the request that has met the same crashes."""
        for fingerprint in (REQUEST, OTHER):
            test_crash_evidence.crash(self.evidence, 3, fingerprint)
        self.evidence.record_attempt(REQUEST, 4)
        fields = self.fields('sent after crashes')
        self.assertEqual('shared', fields['decision'])
        self.assertEqual([OTHER], fields['shared_with'])

    def test_trial(self) -> None:
        """A request whose quarantine is over is tried."""
        test_crash_evidence.crash(self.evidence, 3)
        later = test_crash_evidence.QUARANTINE_SECONDS + 3
        self.evidence.record_attempt(REQUEST, later)
        self.assertEqual('trial', self.fields('sent after crashes')['decision'])

    def test_unsuspected_request(self) -> None:
        """Nothing is written on requests that met no crash."""
        test_crash_evidence.crash(self.evidence, 2)
        self.evidence.record_attempt(OTHER, 4)
        self.assertEqual(0, self.count(Decision.LET_THROUGH))


class BrokenAttemptTest(testtools.TestCase):
    """Broken attempts that do not count as crashes leave a line."""

    def setUp(self) -> None:
        """Collect the reasons of the lines."""
        super().setUp()
        self.reasons: list[str] = []
        handle = logger.add(self._collect, level='INFO')
        self.addCleanup(logger.remove, handle)

    def _collect(self, message: typing.Any) -> None:
        record = message.record
        if record['message'] == 'broken attempt not counted as a crash':
            self.reasons.append(record['extra']['reason'])

    def test_record_stays(self) -> None:
        """The address accepts connections, and the record stays."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(direct_endpoint.Fault.LOST)
            await harness.send('/once/a')
            now = asyncio.get_running_loop().time()
            harness.sender.crash_detector.check_removals(now)
            self.assertEqual([], self.reasons)
            harness.sender.crash_detector.check_removals(now + 6)
            self.assertEqual(['not_removed'], self.reasons)

        path_harness.run(scenario, 1)

    def test_too_many(self) -> None:
        """Attempts that wait for the removal of records are bounded."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            for _ in range(1025):
                harness.set_shared_faults(direct_endpoint.Fault.LOST)
                await harness.send('/once/a')
            self.assertEqual(['too_many'], self.reasons)

        path_harness.run(scenario, 1)

    def check_known_before(
        self,
        prepare: typing.Callable[[endpoints.Endpoint], None],
        reason: str,
    ) -> None:
        """Crash an endpoint of which something is known before."""

        async def scenario(harness: path_harness.PathHarness) -> None:
            harness.set_shared_faults(direct_endpoint.Fault.MUTE)
            sending = asyncio.create_task(harness.send('/once/a'))
            while not harness.received_requests:
                await asyncio.sleep(0.001)
            (endpoint,) = harness.cluster.endpoints
            prepare(endpoint)
            await harness.endpoints[0].crash()
            await sending
            self.assertEqual([reason], self.reasons)

        path_harness.run(scenario, 1)

    def test_draining(self) -> None:
        """The endpoint has said that it drains."""

        def drain(endpoint: endpoints.Endpoint) -> None:
            endpoint.listing = endpoint.listing._replace(draining=True)

        self.check_known_before(drain, 'draining')

    def test_removed_before(self) -> None:
        """The record of the endpoint had been removed."""

        def remove(endpoint: endpoints.Endpoint) -> None:
            endpoint.removed_at = 0

        self.check_known_before(remove, 'removed_before')
