"""Tests of answers that have neither a length nor chunks."""

from __future__ import annotations

import testtools

from clementinepass.http import pool
from standins import direct_endpoint
from tests import tables
from tests.direct import path_harness

Fault = direct_endpoint.Fault
World = path_harness.PathHarness
EVENT = b'id: 0\ndata: 0\n\n'


@tables.expand
class UnframedAnswerTest(testtools.TestCase):
    """An answer that ends with its connection is whole, or ended by a crash."""

    def check(
        self, target: str, fault: Fault, *, is_draining: bool = False
    ) -> pool.Answer:
        """Return the answer to a request whose first attempt has a fault."""
        answers = []

        async def scenario(harness: World) -> None:
            harness.set_shared_faults(fault)
            if is_draining:
                for endpoint in harness.endpoints:
                    endpoint.is_draining = True
            answers.append(await harness.send(target))

        path_harness.run(scenario)
        return answers[0]

    @tables.cases(plain='/plain/a', at_most_once='/once/a')
    def test_whole(self, target: str) -> None:
        """The end of the connection ends the answer."""
        answer = self.check(target, Fault.UNFRAMED)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b'by i-'))

    def test_whole_stream(self) -> None:
        """The end of the connection ends the stream after its last event."""
        answer = self.check('/stream/once/a', Fault.UNFRAMED)
        self.assertEqual((200, EVENT), (answer.status, answer.body))

    def test_crash(self) -> None:
        """A request that may run twice is answered by another endpoint."""
        answer = self.check('/plain/a', Fault.CRASH_UNFRAMED)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b'by i-'))

    @tables.cases(
        plain=('/once/a', Fault.CRASH_UNFRAMED),
        plain_in_part=('/once/a', Fault.CRASH_INSIDE_EVENT),
        stream=('/stream/once/a', Fault.CRASH_UNFRAMED),
        stream_inside_event=('/stream/once/a', Fault.CRASH_INSIDE_EVENT),
    )
    def test_crash_at_most_once(self, case: tuple[str, Fault]) -> None:
        """The caller of another request does not get a part as the whole."""
        self.assertEqual(502, self.check(*case).status)

    @tables.cases(plain='/once/a', stream='/stream/once/a')
    def test_listens_on_for_a_moment(self, target: str) -> None:
        """A part counted as whole while a killed process still listened."""
        answers = []

        async def scenario(harness: World) -> None:
            harness.set_shared_faults(Fault.CRASH_UNFRAMED)
            for endpoint in harness.endpoints:
                endpoint.seconds_listening_on = 0.01
            answers.append(await harness.send(target))

        path_harness.run(scenario)
        self.assertEqual(502, answers[0].status)

    def test_draining(self) -> None:
        """An endpoint that drains may end right after its answer."""
        answer = self.check(
            '/once/a', Fault.ENDS_AFTER_ANSWER, is_draining=True
        )
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b'by i-'))
