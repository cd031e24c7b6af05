"""Property tests of concurrent operators, followers, snapshots and faults."""

from __future__ import annotations

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinepass import clock, errors
from clementinepass.configuration import (
    checks,
    fold,
    folder,
    follower,
    publisher,
    records,
    snapshots,
    state,
)
from clementinepass.platform import protocols
from tests.configuration import logs

_STREAM = records.STREAM
_TRIES = 4
_KEYS = ('ab' * 32, 'cd' * 32)
_TEAM = {'team a': {'key_sha256': _KEYS[0]}}
_MODEL = {
    'model m': {'version': 'm-1'},
    'version m-1': {'model': 'm', 'manifest': _KEYS[0]},
}
_PROMISE = {'promise a/m': {'concurrency': '1', 'first_token': '1s'}}


class Edit(typing.NamedTuple):
    """An operator's change: sections to set and to remove."""

    sets: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()


#: Edits that operators publish; few, so that they often conflict.
_EDITS = st.sampled_from(
    [
        Edit(_TEAM),
        Edit({'team b': {'key_sha256': _KEYS[0]}}),
        Edit({'team b': {'key_sha256': _KEYS[1]}}),
        Edit(_MODEL),
        Edit(
            {
                'model m': {'version': 'm-2'},
                'version m-2': {'model': 'm', 'manifest': _KEYS[1]},
            },
            removed=('version m-1',),
        ),
        Edit({'model m': {'version': 'm-1', 'wave': '7%'}}),
        Edit({'service m': {'idempotent': 'yes'}}, removed=tuple(_MODEL)),
        Edit(_PROMISE),
        Edit({}, removed=('team a',)),
        Edit({}, removed=tuple(_MODEL)),
        Edit({}, removed=('service m',)),
        Edit({}, removed=('promise a/m',)),
    ],
)
_FATES = st.none() | st.none() | st.sampled_from(logs.Fate)
_OPERATORS = st.integers(0, 2)
_FOLLOWERS = st.integers(0, 2)


def _do_nothing() -> None:
    """Run no concurrent publication."""


class _TickingClock(clock.ManualClock):
    """Advances by a second at each reading, so that timeouts expire."""

    def now(self) -> float:
        self.advance(1)
        return super().now()


class Races(stateful.RuleBasedStateMachine):
    """In any order of events all readers agree and no revision decreases."""

    def __init__(self) -> None:
        super().__init__()
        self.log = logs.MemoryLog()
        self.publishers = [self._publisher() for _ in range(3)]
        self.followers = [follower.Follower(self.log) for _ in range(3)]
        self.last_seen_states = [state.State() for _ in self.followers]
        self.expected_results = [fold.FoldResult(state.State(), None, None)]
        self.paused: list[snapshots.Snapshot] = []

    def _publisher(self) -> publisher.Publisher:
        return publisher.Publisher(
            self.log,
            timeout=_TRIES,
            monotonic=_TickingClock(),
            sleep=lambda _: None,
        )

    def _fold_expected(self) -> None:
        payloads = self.log.payloads[_STREAM]
        while len(self.expected_results) <= len(payloads):
            offset = len(self.expected_results) - 1
            record = protocols.Record(offset, payloads[offset])
            self.expected_results.append(
                fold.fold(self.expected_results[-1].state, record)
            )

    def _results_of(self, unique_id: str) -> list[fold.FoldResult]:
        self._fold_expected()
        return [
            result
            for result in self.expected_results
            if result.publication and result.publication.id == unique_id
        ]

    def _attempted_id(self) -> str:
        return records.Publication.decode(self.log.attempted[-1]).id

    @stateful.initialize(seeded=st.booleans())
    def seed(self, seeded: bool) -> None:
        """Publish objects that others can depend on, or nothing."""
        if seeded:
            self._publish(0, Edit(_TEAM | _MODEL), None)

    @stateful.rule(
        operator=_OPERATORS,
        edit=_EDITS,
        fate=_FATES,
        rival=st.none() | _EDITS,
    )
    def publish(
        self,
        operator: int,
        edit: Edit,
        fate: logs.Fate | None,
        rival: Edit | None,
    ) -> None:
        """Publish, with a rival publication between check and append."""
        other = (operator + 1) % len(self.publishers)

        def publish_rival() -> None:
            if rival is not None:
                self._publish(other, rival, None)

        self._publish(operator, edit, fate, publish_rival)

    def _publish(
        self,
        operator: int,
        edit: Edit,
        fate: logs.Fate | None,
        publish_rival: typing.Callable[[], None] = _do_nothing,
    ) -> None:

        def before_append() -> None:
            publish_rival()
            self.log.attempted.clear()
            self.log.fates[_STREAM] = [fate] if fate else []

        self.log.before_append = before_append
        self.log.attempted.clear()
        try:
            accepted = self.publishers[operator].publish(
                folder.Sections.from_values(edit.sets, 'edit.ini'),
                edit.removed,
                operator=f'operator {operator}',
                message='a change',
            )
        except errors.PublicationRejectedError as rejected:
            result = self._results_of(self._attempted_id())[0]
            assert result.rejection.section in rejected.detail
            assert str(result.rejection.winner) in rejected.detail
            assert ' by operator ' in rejected.detail
        except errors.OutcomeUnknownError as unknown:
            results = self._results_of(unknown.publication_id)
            assert not results or self.log.down
        except (ExceptionGroup, errors.RecordsExpiredError):
            assert not self.log.attempted
        except errors.PlatformUnavailableError as failure:
            if self.log.attempted:
                assert not failure.sent
                assert not self._results_of(self._attempted_id())
        else:
            if accepted.id:
                result = self._results_of(accepted.id)[0]
                assert result.accepted
                assert result.state.revision == accepted.revision
        finally:
            self.log.before_append = _do_nothing
            self.log.fates[_STREAM] = []

    @stateful.rule(payload=st.binary(max_size=9))
    def append_junk(self, payload: bytes) -> None:
        """Append a malformed record to the stream."""
        self.log.land(_STREAM, [payload])

    @stateful.rule()
    def release(self) -> None:
        """Apply delayed appends."""
        self.log.release()

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        """Start or end an outage of the log."""
        self.log.down = down

    @stateful.rule(share=st.floats(0, 1))
    def expire(self, share: float) -> None:
        """Expire the oldest records."""
        end = len(self.log.payloads[_STREAM])
        self.log.expire(_STREAM, int(share * end))

    @stateful.rule(share=st.floats(0, 1))
    def expire_snapshots(self, share: float) -> None:
        """Expire the oldest snapshots."""
        end = len(self.log.payloads[records.SNAPSHOT_STREAM])
        self.log.expire(records.SNAPSHOT_STREAM, int(share * end))

    @stateful.rule(number=_FOLLOWERS)
    def snapshot(self, number: int) -> None:
        """Append a snapshot as one of several entries, without a lease."""
        snapshotter = snapshots.Snapshotter(
            self.log,
            every=1,
            age=10,
            now=lambda: 0,
        )
        current = self.followers[number].current
        try:
            snapshotter.append_if_due(current)
        except errors.PlatformUnavailableError:
            assert self.log.down
        self.paused.append(snapshots.Snapshot(current, 0))

    @stateful.precondition(lambda self: self.paused)
    @stateful.rule(data=st.data())
    def late_snapshot(self, data: st.DataObject) -> None:
        """Append an old snapshot, as a writer that was paused."""
        paused = data.draw(st.sampled_from(self.paused))
        self.log.land(records.SNAPSHOT_STREAM, [paused.encode()])

    @stateful.rule(number=_FOLLOWERS)
    def poll(self, number: int) -> None:
        """Poll a follower."""
        try:
            self.followers[number].poll()
        except errors.PlatformUnavailableError:
            assert self.log.down

    @stateful.rule(number=_FOLLOWERS, other=_FOLLOWERS)
    def adopt(self, number: int, other: int) -> None:
        """Send a state from one peer to another, as bytes."""
        payload = self.followers[other].current.encode()
        self.followers[number].adopt(state.State.decode(payload))

    @stateful.rule(number=_FOLLOWERS)
    def replace(self, number: int) -> None:
        """Replace an instance; its process loses all state."""
        self.followers[number] = follower.Follower(self.log)
        self.last_seen_states[number] = state.State()

    def _newest_provable_revision(self) -> int:
        """Return the newest revision computable from retained records."""
        oldest = self.log.oldest[_STREAM]
        retained = self.log.payloads[records.SNAPSHOT_STREAM]
        retained = retained[self.log.oldest[records.SNAPSHOT_STREAM] :]
        decoded = [snapshots.Snapshot.decode(payload) for payload in retained]
        newest = max((found.state.revision for found in decoded), default=0)
        return newest if newest < oldest else len(self.log.payloads[_STREAM])

    @stateful.invariant()
    def followers_agree(self) -> None:
        """All followers agree on each revision, and no revision decreases."""
        self._fold_expected()
        for number, current in enumerate(f.current for f in self.followers):
            assert current == self.expected_results[current.revision].state
            assert current.revision >= self.last_seen_states[number].revision
            self.last_seen_states[number] = current

    @stateful.invariant()
    def references_are_valid(self) -> None:
        """No race leaves a dangling reference or a key with two owners."""
        in_force = {
            name: values
            for name, values in self.expected_results[-1]
            .state.values_by_section()
            .items()
            if not name.startswith('team-key ')
        }
        checks.check(folder.Sections.from_values(in_force, 'in force'))

    def teardown(self) -> None:
        """Check that followers reach the log's end or report expired records."""
        self.log.down = False
        self.log.release()
        self._fold_expected()
        end = len(self.log.payloads[_STREAM])
        provable_revision = self._newest_provable_revision()
        for reader in self.followers:
            for _ in range(_TRIES):
                reader.poll()
            has_hole = reader.trouble is follower.Trouble.HOLE
            assert has_hole == (
                reader.current.revision < self.log.oldest[_STREAM]
            )
            assert has_hole or reader.current.revision == end
            assert reader.current.revision >= provable_revision


RacesTest = Races.TestCase
RacesTest.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
