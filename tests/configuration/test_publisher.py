"""Tests of publishing, snapshots, following and history."""

from __future__ import annotations

import testtools

from clementinepass import clock, errors
from clementinepass.configuration import (
    follower,
    history,
    publisher,
    records,
    snapshots,
    state,
)
from tests.configuration import logs, samples

_TEAM = f'[team beta]\nkey_sha256 = {"ef" * 32}\n'
_OTHER_TEAM = f'[team beta]\nkey_sha256 = {"01" * 32}\n'


class _SteppingClock(clock.ManualClock):
    """Move on with each look, so that time limits are reached."""

    def now(self) -> float:
        self.advance(1)
        return super().now()


class PublisherTest(testtools.TestCase):
    """A publication is reported as what became of it, or as unknown."""

    def setUp(self) -> None:
        """Begin with the sample in force."""
        super().setUp()
        self.log = logs.MemoryLog()
        self._publish(samples.BASE)

    def _publish(
        self,
        *texts: str,
        removed: tuple[str, ...] = (),
        base: int | None = None,
    ) -> publisher.Accepted:
        made = publisher.Publisher(
            self.log,
            timeout=4,
            monotonic=_SteppingClock(),
            sleep=lambda _: None,
        )
        return made.publish(
            samples.sections(*texts),
            removed,
            operator='olga',
            message='a change',
            base=base,
        )

    def test_lost_answer(self) -> None:
        """A lost answer is resolved by reading, never by a second append.

        The log takes the record, its answer is lost. The operator must be
        told the truth, and the log must hold the record once.
        """
        self.log.fates[records.STREAM] = [logs.Fate.ANSWER_LOST]
        accepted = self._publish(_TEAM)
        self.assertEqual(2, accepted.revision)
        self.assertEqual(2, len(self.log.payloads[records.STREAM]))

    def test_late_append(self) -> None:
        """An append that may still land is reported as unknown, by its id.

        The append is held up beyond the time limit. The operator is told
        the id; the record lands, and the history shows what became of it.
        """
        self.log.fates[records.STREAM] = [logs.Fate.LATE]
        unknown = self.assertRaises(
            errors.OutcomeUnknownError,
            self._publish,
            _TEAM,
        )
        events = history.read(self.log)
        self.assertNotIn(unknown.publication_id, [one.id for one in events])
        self.log.release()
        last = history.read(self.log)[-1]
        self.assertEqual(unknown.publication_id, last.id)
        self.assertEqual(history.ACCEPTED, last.outcome)

    def test_late_append_after_the_repeat(self) -> None:
        """A late append changes nothing once others have gone on.

        An operator whose outcome was unknown publishes again, and a
        colleague removes the team. The first append lands only now: callers
        of the removed team must not come back.
        """
        self.log.fates[records.STREAM] = [logs.Fate.LATE]
        self.assertRaises(errors.OutcomeUnknownError, self._publish, _TEAM)
        self._publish(_TEAM)
        self._publish(samples.BASE, removed=('team beta',))
        self.log.release()
        events = history.read(self.log)
        self.assertEqual(history.REJECTED, events[-1].outcome)
        self.assertIn('changed at 3', events[-1].detail)

    def test_refused_append(self) -> None:
        """What was never sent is no unknown outcome."""
        self.log.fates[records.STREAM] = [logs.Fate.REFUSED]
        failure = self.assertRaises(
            errors.PlatformUnavailableError,
            self._publish,
            _TEAM,
        )
        self.assertFalse(failure.sent)

    def test_outage_before_the_check(self) -> None:
        """An outage that ends in time doesn't turn the operator away."""
        self.log.down = True

        def end_outage(_: float) -> None:
            self.log.down = False

        made = publisher.Publisher(self.log, timeout=4, sleep=end_outage)
        accepted = made.publish(
            samples.sections(_TEAM),
            (),
            operator='olga',
            message='a change',
        )
        self.assertEqual(2, accepted.revision)

    def test_outage_beyond_the_timeout(self) -> None:
        """An outage that lasts is told, and nothing is appended."""
        self.log.down = True
        failure = self.assertRaises(
            errors.PlatformUnavailableError,
            self._publish,
            _TEAM,
        )
        self.assertEqual('read', failure.step)
        self.assertEqual([], self.log.attempted[1:])

    def test_loser_is_told(self) -> None:
        """The loser of a race learns section, revision, operator, message."""
        rival = publisher.Publisher(self.log)

        def slip_in() -> None:
            self.log.before_append = lambda: None
            rival.publish(
                samples.sections(_OTHER_TEAM),
                (),
                operator='pavol',
                message='a rival change',
            )

        self.log.before_append = slip_in
        lost = self.assertRaises(
            errors.PublicationRejectedError,
            self._publish,
            _TEAM,
        )
        for fragment in (
            '[team beta]',
            'revision 2',
            'pavol',
            'a rival change',
        ):
            self.assertIn(fragment, lost.detail)

    def test_base(self) -> None:
        """A folder made before another's change doesn't overwrite it."""
        self._publish(_TEAM)
        lost = self.assertRaises(
            errors.PublicationRejectedError,
            self._publish,
            _OTHER_TEAM,
            base=1,
        )
        self.assertIn('changed at revision 2, after 1', lost.detail)
        self.assertEqual(3, self._publish(_OTHER_TEAM, base=2).revision)

    def test_nothing_to_change(self) -> None:
        """Publishing what is in force appends nothing."""
        self.assertEqual(publisher.Accepted(1), self._publish(samples.BASE))
        self.assertEqual(1, len(self.log.payloads[records.STREAM]))

    def test_faults(self) -> None:
        """Nothing is appended when the result would have faults."""
        for text, removed in (
            (samples.BASE, ('team alpha',)),
            (_TEAM, ('team alpha',)),
            ('[team beta]\nkey_sha256 = x\n', ()),
            (f'[team beta]\nkey_sha256 = {samples.DIGEST}\n', ()),
        ):
            self.assertRaises(
                ExceptionGroup,
                self._publish,
                text,
                removed=removed,
            )
        self.assertEqual(1, len(self.log.payloads[records.STREAM]))


class SnapshotsTest(testtools.TestCase):
    """Snapshots carry the state past the expiry of records."""

    def setUp(self) -> None:
        """Begin with thirty records."""
        super().setUp()
        self.log = logs.MemoryLog()
        self.now = 0.0
        self._append(30)

    def _append(self, count: int) -> None:
        self.log.land(records.STREAM, [b'junk'] * count)

    def _snapshotter(self) -> snapshots.Snapshotter:
        return snapshots.Snapshotter(
            self.log,
            every=20,
            age=60,
            now=lambda: self.now,
        )

    def _current(self) -> state.State:
        return follower.Follower(self.log).poll()

    def test_due(self) -> None:
        """One of several writers appends, by count or by age."""
        first, second = self._snapshotter(), self._snapshotter()
        current = self._current()
        self.assertEqual(
            [True, False, False],
            [first.append_if_due(current), first.append_if_due(current)]
            + [second.append_if_due(current)],
        )
        self._append(19)
        self.assertFalse(first.append_if_due(self._current()))
        self._append(1)
        current = self._current()
        self.assertTrue(second.append_if_due(current))
        self.assertFalse(first.append_if_due(current))
        # Few records come, yet snapshots expire like all records.
        self.now = 60
        self.assertTrue(first.append_if_due(current))
        self.assertFalse(second.append_if_due(current))

    def test_no_snapshot_of_nothing(self) -> None:
        """An entry that could read nothing yet appends nothing."""
        self.assertFalse(self._snapshotter().append_if_due(state.State()))

    def test_expiry_behind_many_late_snapshots(self) -> None:
        """Old snapshots written late don't hide the newest one.

        Entries that were paused append old snapshots after the newest,
        more of them than a new process looks at first; records expire.
        """
        self._snapshotter().append_if_due(self._current())
        late = snapshots.Snapshot(state.State(2), 0).encode()
        self.log.land(records.SNAPSHOT_STREAM, [late, b'junk'] * 9)
        self.log.expire(records.STREAM, 30)
        reader = follower.Follower(self.log)
        self.assertEqual(30, reader.poll().revision)
        self.assertIs(follower.Trouble.NONE, reader.trouble)

    def test_hole(self) -> None:
        """A hole is said so, and a peer or a later snapshot ends it."""
        behind = follower.Follower(self.log)
        behind.poll()
        self._append(10)
        ahead = self._current()
        self.log.expire(records.STREAM, 35)
        self.assertEqual(30, behind.poll().revision)
        self.assertIs(follower.Trouble.HOLE, behind.trouble)
        self.assertRaises(
            errors.RecordsExpiredError,
            publisher.Publisher(self.log).current,
        )
        self.assertTrue(behind.adopt(ahead))
        self.assertFalse(behind.adopt(state.State(39)))
        behind.poll()
        self.assertIs(follower.Trouble.NONE, behind.trouble)

    def test_log_lost_records(self) -> None:
        """A log that was emptied takes nothing out of force, and is told."""
        reader = follower.Follower(self.log)
        reader.poll()
        del self.log.payloads[records.STREAM][10:]
        self.assertEqual(30, reader.poll().revision)
        self.assertIs(follower.Trouble.LOG_BEHIND, reader.trouble)

    def test_adoption_during_a_read(self) -> None:
        """A peer's state that arrives during a read is no sign of loss.

        A read waits at the log while a peer passes on a newer state; the
        page that then comes ends before it. Nothing has been lost, and
        nothing is folded twice.
        """
        reader = follower.Follower(self.log)
        reader.poll()
        self._append(3)
        read = self.log.read

        def slow_read(*arguments: object, **options: object) -> object:
            page = read(*arguments, **options)
            reader.adopt(state.State(40))
            return page

        self.log.read = slow_read
        self.assertEqual(state.State(40), reader.poll())
        self.assertIs(follower.Trouble.NONE, reader.trouble)

    def test_history_after_expiry(self) -> None:
        """The history says what it can't prove."""
        self._snapshotter().append_if_due(self._current())
        self._append(2)
        self.log.expire(records.STREAM, 29)
        outcomes = [event.outcome for event in history.read(self.log)]
        self.assertEqual(
            [history.UNPROVED, history.REJECTED, history.REJECTED],
            outcomes,
        )
