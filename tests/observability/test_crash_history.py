"""Tests of why a request was let through after crashes under it."""

from __future__ import annotations

import typing

import testtools

from clementinepass.observability import request_history
from tests.observability import test_request_history

line = test_request_history.line
F = 'ab' * 16


def crash(second: float, request: str, crashed: list[str]) -> bytes:
    """Return the line on a crash under a request."""
    return line(
        second,
        'endpoint crashed under a request',
        request=request,
        fingerprint=F,
        crashed=crashed,
        crashes=len(crashed),
    )


#: The request in question crashes an endpoint of entry-2.
CRASHING = (
    line(10, 'sent', request='r', attempt=1, endpoint='i-2'),
    crash(10.1, 'r', ['i-2']),
    line(10.2, 'ended without an answer', request='r', status=502),
)


class LetThroughTest(testtools.TestCase):
    """Each way in which evidence has no effect is told from the others."""

    def sentences(
        self, *at_second: bytes, first: tuple[bytes, ...] = ()
    ) -> tuple[str, ...]:
        """Return why the request was let through.

        :param at_second: further lines of the entry that it came to.
        :param first: lines of the entry under which an endpoint crashed before.
        """
        collection = request_history.LogCollection()
        collection.add('entry-1', first or [crash(8, 'q', ['i-1'])])
        collection.add('entry-2', sorted([*at_second, *CRASHING]))
        history = collection.build_history('r')
        assert history is not None
        return history.crashes.sentences

    def check(self, expected: str, sentences: typing.Iterable[str]) -> None:
        """Check that a sentence has a text."""
        self.assertIn(expected, '; '.join(sentences))

    def test_unknown_there(self) -> None:
        """No heartbeat brought the evidence."""
        sentences = self.sentences()
        self.check('entry-2 knew of no crash', sentences)
        self.check('no line of entry-2 is on receiving them', sentences)

    def test_received(self) -> None:
        """The evidence had come, and was cleared again."""
        received = line(
            8.1, 'crash evidence received', crashed=['i-1'], fingerprints=[F]
        )
        cleared = line(
            8.2,
            'cleared of crashes',
            fingerprints=[F],
            crashed=['i-1'],
            by='answer',
        )
        sentences = self.sentences(received, cleared)
        self.check("cleared it of ['i-1'], by answer", sentences)
        self.assertNotIn('receiving', '; '.join(sentences))

    def test_not_counted(self) -> None:
        """The crash before was not recognized as one."""
        lost = line(
            8,
            'broken attempt not counted as a crash',
            request='q',
            fingerprint=F,
            endpoint='i-1',
            reason='not_removed',
        )
        self.check(
            'did not count the end of endpoint i-1: not_removed',
            self.sentences(first=(lost,)),
        )

    def test_dropped(self) -> None:
        """There was too much evidence; bounded lists leave out the request."""
        dropped = line(
            9,
            'crash evidence dropped',
            crashed=['i-1'],
            fingerprints=['cd' * 16],
            expired=False,
        )
        self.check("dropped ['i-1']", self.sentences(dropped))

    def test_too_few(self) -> None:
        """The crashes that were known did not convict it."""
        admitted = line(
            10.05,
            'sent after crashes',
            request='r',
            fingerprint=F,
            crashes=1,
            decision='too_few',
        )
        sentences = self.sentences(admitted)
        self.assertNotIn('knew of no crash', '; '.join(sentences))

    def test_answered_request(self) -> None:
        """A request that crashed nothing has evidence, but no explanation."""
        collection = request_history.LogCollection()
        collection.add(
            'entry-1',
            [
                crash(8, 'q', ['i-1']),
                line(9, 'answered', request='r', fingerprint=F),
            ],
        )
        history = collection.build_history('r')
        assert history is not None
        self.assertEqual(1, len(history.crashes.evidence_lines))
        self.assertEqual((), history.crashes.sentences)
