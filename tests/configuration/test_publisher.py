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
    """Advances by a second at each reading, so that timeouts expire."""

    def now(self) -> float:
        self.advance(1)
        return super().now()


class PublisherTest(testtools.TestCase):
    """Publishing reports the actual outcome, or that it is unknown."""

    def setUp(self) -> None:
        """Publish the sample configuration."""
        super().setUp()
        self.log = logs.MemoryLog()
        self._publish(samples.BASE)

    def _publish(
        self,
        *texts: str,
        removed: tuple[str, ...] = (),
        base: int | None = None,
    ) -> publisher.Accepted:
        new_publisher = publisher.Publisher(
            self.log,
            timeout=4,
            monotonic=_SteppingClock(),
            sleep=lambda _: None,
        )
        return new_publisher.publish(
            samples.sections(*texts),
            removed,
            operator='olga',
            message='a change',
            base=base,
        )

    def test_lost_answer(self) -> None:
        """After a lost answer the record is searched for, not appended again.

        The log appends the record, but its answer is lost. The operator must
        get the actual outcome, and the log must contain the record once.
        """
        self.log.fates[records.STREAM] = [logs.Fate.ANSWER_LOST]
        accepted = self._publish(_TEAM)
        self.assertEqual(2, accepted.revision)
        self.assertEqual(2, len(self.log.payloads[records.STREAM]))

    def test_late_append(self) -> None:
        """An append that may still take effect is reported as unknown.

        The append is delayed beyond the timeout, and the error names the
        publication's id. The record is appended later, and the history shows
        its outcome.
        """
        self.log.fates[records.STREAM] = [logs.Fate.LATE]
        unknown = self.assertRaises(
            errors.OutcomeUnknownError,
            self._publish,
            _TEAM,
        )
        events = history.read(self.log)
        self.assertNotIn(unknown.publication_id, [event.id for event in events])
        self.log.release()
        last = history.read(self.log)[-1]
        self.assertEqual(unknown.publication_id, last.id)
        self.assertEqual(history.ACCEPTED, last.outcome)

    def test_late_append_after_the_repeat(self) -> None:
        """A late append is rejected after later changes to its section.

        After an unknown outcome an operator publishes again, and another
        removes the team. Only then does the first append take effect: it must
        not restore the removed team.
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
        """An append that was not sent has no unknown outcome."""
        self.log.fates[records.STREAM] = [logs.Fate.REFUSED]
        failure = self.assertRaises(
            errors.PlatformUnavailableError,
            self._publish,
            _TEAM,
        )
        self.assertFalse(failure.sent)

    def test_outage_before_the_check(self) -> None:
        """An outage that ends before the timeout does not fail the call."""
        self.log.down = True

        def end_outage(_: float) -> None:
            self.log.down = False

        new_publisher = publisher.Publisher(
            self.log, timeout=4, sleep=end_outage
        )
        accepted = new_publisher.publish(
            samples.sections(_TEAM),
            (),
            operator='olga',
            message='a change',
        )
        self.assertEqual(2, accepted.revision)

    def test_outage_beyond_the_timeout(self) -> None:
        """An outage beyond the timeout is an error; nothing is appended."""
        self.log.down = True
        failure = self.assertRaises(
            errors.PlatformUnavailableError,
            self._publish,
            _TEAM,
        )
        self.assertEqual('read', failure.step)
        self.assertEqual([], self.log.attempted[1:])

    def test_rejection_names_the_conflict(self) -> None:
        """A rejection names section, revision, operator and message."""
        rival = publisher.Publisher(self.log)

        def publish_rival_change() -> None:
            self.log.before_append = lambda: None
            rival.publish(
                samples.sections(_OTHER_TEAM),
                (),
                operator='pavol',
                message='a rival change',
            )

        self.log.before_append = publish_rival_change
        rejection = self.assertRaises(
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
            self.assertIn(fragment, rejection.detail)

    def test_base(self) -> None:
        """A change based on an older revision doesn't overwrite a newer one."""
        self._publish(_TEAM)
        rejection = self.assertRaises(
            errors.PublicationRejectedError,
            self._publish,
            _OTHER_TEAM,
            base=1,
        )
        self.assertIn('changed at revision 2, after 1', rejection.detail)
        self.assertEqual(3, self._publish(_OTHER_TEAM, base=2).revision)

    def test_nothing_to_change(self) -> None:
        """Publishing the configuration in force appends nothing."""
        self.assertEqual(publisher.Accepted(1), self._publish(samples.BASE))
        self.assertEqual(1, len(self.log.payloads[records.STREAM]))

    def test_faults(self) -> None:
        """Nothing is appended if the resulting configuration has faults."""
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
    """Snapshots preserve the state when log records expire."""

    def setUp(self) -> None:
        """Append thirty records."""
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
        """One of several writers appends a snapshot, by count or by age."""
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
        # Without new records one is due by age, since snapshots expire too.
        self.now = 60
        self.assertTrue(first.append_if_due(current))
        self.assertFalse(second.append_if_due(current))

    def test_no_snapshot_of_empty_state(self) -> None:
        """An entry that has read no records appends no snapshot."""
        self.assertFalse(self._snapshotter().append_if_due(state.State()))

    def test_many_late_snapshots(self) -> None:
        """Old snapshots appended late don't hide the newest one.

        Paused entries append more old snapshots after the newest than a new
        process reads first, and the log's records expire.
        """
        self._snapshotter().append_if_due(self._current())
        old_snapshot = snapshots.Snapshot(state.State(2), 0).encode()
        self.log.land(records.SNAPSHOT_STREAM, [old_snapshot, b'junk'] * 9)
        self.log.expire(records.STREAM, 30)
        reader = follower.Follower(self.log)
        self.assertEqual(30, reader.poll().revision)
        self.assertIs(follower.Trouble.NONE, reader.trouble)

    def test_expired_records_without_snapshot(self) -> None:
        """Expired records are reported until a peer's state covers them."""
        lagging = follower.Follower(self.log)
        lagging.poll()
        self._append(10)
        newer_state = self._current()
        self.log.expire(records.STREAM, 35)
        self.assertEqual(30, lagging.poll().revision)
        self.assertIs(follower.Trouble.HOLE, lagging.trouble)
        self.assertRaises(
            errors.RecordsExpiredError,
            publisher.Publisher(self.log).current,
        )
        self.assertTrue(lagging.adopt(newer_state))
        self.assertFalse(lagging.adopt(state.State(39)))
        lagging.poll()
        self.assertIs(follower.Trouble.NONE, lagging.trouble)

    def test_log_lost_records(self) -> None:
        """The state survives a log that lost records, and it is reported."""
        reader = follower.Follower(self.log)
        reader.poll()
        del self.log.payloads[records.STREAM][10:]
        self.assertEqual(30, reader.poll().revision)
        self.assertIs(follower.Trouble.LOG_BEHIND, reader.trouble)

    def test_adoption_during_a_read(self) -> None:
        """A peer's state adopted during a read doesn't indicate lost records.

        While a read waits for the log, a peer sends a newer state, so the
        page ends before the current revision. No records are lost, and none
        is folded twice.
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
        """The history marks outcomes that can't be determined."""
        self._snapshotter().append_if_due(self._current())
        self._append(2)
        self.log.expire(records.STREAM, 29)
        outcomes = [event.outcome for event in history.read(self.log)]
        self.assertEqual(
            [history.UNPROVED, history.REJECTED, history.REJECTED],
            outcomes,
        )
