"""Tests of what is said of an attempt, and of when it is sent again."""

from __future__ import annotations

import msgspec
import testtools

from clementinepass import errors
from clementinepass.requests import gatebook, identity, outcome, problem

NOT_RUN = errors.Execution.NOT_RUN
RAN = errors.Execution.RAN
MAY_HAVE_RUN = errors.Execution.MAY_HAVE_RUN

#: What was seen on the connection, what may be said, whether an idempotent
#: request and one that isn't may be sent again.
STORIES = (
    ('nothing sent', [], NOT_RUN, None, None),
    ('given up before sending', ['given_up'], NOT_RUN, 'as_new', 'as_new'),
    ('refused', ['sent', 'refused'], NOT_RUN, 'as_new', 'as_new'),
    (
        'sent, no verdict, connection lost, given up',
        ['sent', 'connection_lost', 'given_up'],
        MAY_HAVE_RUN,
        'repeat',
        'forbidden',
    ),
    (
        'sent, connection lost, agent gone',
        ['sent', 'connection_lost', 'peer_gone'],
        MAY_HAVE_RUN,
        'after_crash',
        'forbidden',
    ),
    (
        'sent, connection lost, gate never saw it and bars it',
        ['sent', 'connection_lost', 'fenced'],
        NOT_RUN,
        'as_new',
        'as_new',
    ),
    (
        'accepted, then the gate says that it never saw it',
        ['sent', 'accepted', 'connection_lost', 'fenced'],
        MAY_HAVE_RUN,
        'repeat',
        'forbidden',
    ),
    (
        'whole answer',
        ['sent', 'accepted', 'head_seen', 'ended'],
        RAN,
        'forbidden',
        'forbidden',
    ),
    (
        'whole answer, then a doubled refusal and a broken connection',
        ['sent', 'head_seen', 'ended', 'refused', 'peer_gone', 'given_up'],
        RAN,
        'forbidden',
        'forbidden',
    ),
    (
        'a refusal after the answer began',
        ['sent', 'head_seen', 'refused', 'given_up'],
        MAY_HAVE_RUN,
        'repeat',
        'forbidden',
    ),
    (
        'a refusal after the acceptance',
        ['sent', 'accepted', 'refused', 'given_up'],
        MAY_HAVE_RUN,
        'repeat',
        'forbidden',
    ),
    (
        'refused, then a late head of a doubled dispatch',
        ['sent', 'refused', 'head_seen', 'ended'],
        NOT_RUN,
        'as_new',
        'as_new',
    ),
    (
        'gate reports that the endpoint refused the connection',
        ['sent', 'accepted', 'failed:not_run'],
        NOT_RUN,
        'as_new',
        'as_new',
    ),
    (
        'gate says "not run" in the middle of an answer',
        ['sent', 'accepted', 'head_seen', 'failed:not_run'],
        MAY_HAVE_RUN,
        'repeat',
        'forbidden',
    ),
    (
        'endpoint failed after its effect',
        ['sent', 'accepted', 'failed:ran'],
        RAN,
        'forbidden',
        'forbidden',
    ),
    (
        'endpoint died',
        ['sent', 'accepted', 'crashed'],
        MAY_HAVE_RUN,
        'after_crash',
        'forbidden',
    ),
    (
        'silent connection, resumed, whole answer',
        ['sent', 'connection_lost', 'resumed', 'head_seen', 'ended'],
        RAN,
        'forbidden',
        'forbidden',
    ),
    ('agent gone before sending', ['peer_gone'], NOT_RUN, None, None),
)


def _attempt(events: list[str]) -> outcome.Attempt:
    attempt = outcome.Attempt('r1', 1, 'agent-1')
    for event in events:
        if event == 'crashed':
            attempt.failed(MAY_HAVE_RUN, crashed=True)
        elif event.startswith('failed:'):
            attempt.failed(errors.Execution(event.removeprefix('failed:')))
        else:
            getattr(attempt, event)()
    return attempt


class AttemptTest(testtools.TestCase):
    """What was seen decides what is said, and whether it is sent again."""

    def test_stories(self) -> None:
        """Each story allows just one statement."""
        for story, events, execution, again, again_once in STORIES:
            with self.subTest(story):
                attempt = _attempt(events)
                self.assertEqual(execution, attempt.execution)
                for idempotent, expected in (
                    (True, again),
                    (False, again_once),
                ):
                    retry = attempt.retry(
                        idempotent=idempotent,
                        crash_retries=0,
                    )
                    self.assertEqual(expected or 'forbidden', retry.value)

    def test_not_run_is_never_said_of_what_was_taken(self) -> None:
        """At any point after the gate took it, "not run" is ruled out."""
        for story, events, _, _, _ in STORIES:
            attempt = _attempt([])
            taken = False
            for event in events:
                if event.startswith(('failed', 'crashed')):
                    break
                getattr(attempt, event)()
                taken = taken or event in {'accepted', 'head_seen'}
                taken = taken and attempt.phase is not outcome.Phase.REFUSED
                with self.subTest(story, event=event):
                    if taken:
                        self.assertNotEqual(NOT_RUN, attempt.execution)

    def test_relayed_bytes_rule_a_retry_out(self) -> None:
        """Two runs' answers are never joined: the caller sees the cut.

        The story: an agent dies in the middle of a stream.  The request is
        idempotent, but the caller has read half of the answer; another run
        would say something else from the start.
        """
        attempt = _attempt(['sent', 'accepted', 'head_seen'])
        attempt.relayed = True
        attempt.peer_gone()
        self.assertEqual(
            outcome.Retry.FORBIDDEN,
            attempt.retry(idempotent=True, crash_retries=0),
        )

    def test_one_retry_after_a_crash(self) -> None:
        """A request takes down two endpoints by itself, not a third."""
        attempt = _attempt(['sent', 'accepted', 'crashed'])
        retry = attempt.retry(idempotent=True, crash_retries=1)
        self.assertEqual(outcome.Retry.FORBIDDEN, retry)


class GateBookTest(testtools.TestCase):
    """The gate runs each attempt once, and never one it has disowned."""

    def test_doubled(self) -> None:
        """A dispatch that arrives twice is admitted once."""
        book = gatebook.GateBook()
        self.assertEqual(
            [gatebook.Admission.NEW, gatebook.Admission.DOUBLED],
            [book.admit('r1', 1, 0), book.admit('r1', 1, 1)],
        )
        self.assertEqual(gatebook.Admission.NEW, book.admit('r1', 2, 2))
        self.assertEqual(
            gatebook.Resumption.KNOWN,
            book.resume('r1', 1, 3),
        )

    def test_late_dispatch_is_barred(self) -> None:
        """A dispatch that comes after its entry was told "not run".

        The dispatch sits in the buffer of a silent connection.  The entry
        connects anew and asks; the gate knows nothing, and the entry tells
        its caller "not run".  Then the old connection's bytes arrive.
        """
        book = gatebook.GateBook()
        self.assertEqual(
            gatebook.Resumption.BARRED,
            book.resume('r1', 1, 0),
        )
        self.assertEqual(gatebook.Admission.BARRED, book.admit('r1', 1, 5))

    def test_forgets(self) -> None:
        """Memory is bounded by time."""
        book = gatebook.GateBook(memory=10)
        book.admit('r1', 1, 0)
        self.assertEqual(gatebook.Admission.NEW, book.admit('r1', 1, 11))


class ProblemTest(testtools.TestCase):
    """A problem says the same in status, headers, body and event."""

    def test_every_reason_has_its_words(self) -> None:
        """No reason lacks a status and a title."""
        for reason in problem.Reason:
            with self.subTest(reason.value):
                refusal = problem.Problem.not_run(
                    reason,
                    step='admit',
                    peer='entry-1',
                    request_id='r1',
                )
                self.assertIn(refusal.status, range(400, 600))
                self.assertTrue(refusal.title)

    def test_says_what_the_attempt_says(self) -> None:
        """Execution and peer come from the attempt alone."""
        attempt = _attempt(['sent', 'accepted', 'crashed'])
        refusal = problem.Problem.of_attempt(
            problem.Reason.ENDPOINT_DIED,
            attempt,
            step='relay',
            retry_after=0.2,
        )
        body = msgspec.json.decode(refusal.body())
        self.assertEqual('may_have_run', body['execution'])
        self.assertEqual('agent-1', body['peer'])
        self.assertEqual('relay', body['step'])
        self.assertIn(('Retry-After', '1'), refusal.headers())
        self.assertEqual(
            body,
            msgspec.json.decode(refusal.event().split(b'data: ')[1]),
        )


class FingerprintTest(testtools.TestCase):
    """A fingerprint tells requests apart, and only by what is run."""

    def test_parts_do_not_run_together(self) -> None:
        """Moving bytes between parts changes the fingerprint."""
        prints = {
            identity.fingerprint('a', 'b', 'POST', '/x', b'body'),
            identity.fingerprint('ab', '', 'POST', '/x', b'body'),
            identity.fingerprint('a', 'b', 'POST', '/xb', b'ody'),
            identity.fingerprint('a', 'b', 'POST', '/x', b'body2'),
        }
        self.assertEqual(4, len(prints))
