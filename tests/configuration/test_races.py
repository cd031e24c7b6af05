"""A search over schedules of operators, followers, snapshots and faults."""

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
    """One operator's change: sections to set and to remove."""

    sets: dict[str, dict[str, str]]
    removed: tuple[str, ...] = ()


#: Edits that operators try; few, so that they often meet.
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


def _nothing() -> None:
    """Let nobody slip in."""


class _TickingClock(clock.ManualClock):
    """Move on with each look, so that time limits are reached."""

    def now(self) -> float:
        self.advance(1)
        return super().now()


class Races(stateful.RuleBasedStateMachine):
    """Whatever the order of events, all readers agree and none goes back."""

    def __init__(self) -> None:
        super().__init__()
        self.log = logs.MemoryLog()
        self.publishers = [self._publisher() for _ in range(3)]
        self.followers = [follower.Follower(self.log) for _ in range(3)]
        self.seen = [state.State() for _ in self.followers]
        self.truth = [fold.FoldResult(state.State(), None, None)]
        self.paused: list[snapshots.Snapshot] = []

    def _publisher(self) -> publisher.Publisher:
        return publisher.Publisher(
            self.log,
            timeout=_TRIES,
            monotonic=_TickingClock(),
            sleep=lambda _: None,
        )

    def _fold_truth(self) -> None:
        payloads = self.log.payloads[_STREAM]
        while len(self.truth) <= len(payloads):
            offset = len(self.truth) - 1
            record = protocols.Record(offset, payloads[offset])
            self.truth.append(fold.fold(self.truth[-1].state, record))

    def _results(self, unique_id: str) -> list[fold.FoldResult]:
        self._fold_truth()
        return [
            result
            for result in self.truth
            if result.publication and result.publication.id == unique_id
        ]

    def _attempted_id(self) -> str:
        return records.Publication.decode(self.log.attempted[-1]).id

    @stateful.initialize(seeded=st.booleans())
    def seed(self, seeded: bool) -> None:
        """Begin with objects that others can build on, or with nothing."""
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
        """Publish; a rival slips in between the check and the append."""
        other = (operator + 1) % len(self.publishers)

        def slip_in() -> None:
            if rival is not None:
                self._publish(other, rival, None)

        self._publish(operator, edit, fate, slip_in)

    def _publish(
        self,
        operator: int,
        edit: Edit,
        fate: logs.Fate | None,
        slip_in: typing.Callable[[], None] = _nothing,
    ) -> None:

        def before_append() -> None:
            slip_in()
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
            result = self._results(self._attempted_id())[0]
            assert result.rejection.section in rejected.detail
            assert str(result.rejection.winner) in rejected.detail
            assert ' by operator ' in rejected.detail
        except errors.OutcomeUnknownError as unknown:
            known = self._results(unknown.publication_id)
            assert not known or self.log.down
        except (ExceptionGroup, errors.RecordsExpiredError):
            assert not self.log.attempted
        except errors.PlatformUnavailableError as failure:
            if self.log.attempted:
                assert not failure.sent
                assert not self._results(self._attempted_id())
        else:
            if accepted.id:
                result = self._results(accepted.id)[0]
                assert result.accepted
                assert result.state.revision == accepted.revision
        finally:
            self.log.before_append = _nothing
            self.log.fates[_STREAM] = []

    @stateful.rule(payload=st.binary(max_size=9))
    def append_junk(self, payload: bytes) -> None:
        """Let something foreign write to the stream."""
        self.log.land(_STREAM, [payload])

    @stateful.rule()
    def release(self) -> None:
        """Let appends that were held up arrive."""
        self.log.release()

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        """Begin or end an outage of the log."""
        self.log.down = down

    @stateful.rule(share=st.floats(0, 1))
    def expire(self, share: float) -> None:
        """Let the oldest records expire."""
        end = len(self.log.payloads[_STREAM])
        self.log.expire(_STREAM, int(share * end))

    @stateful.rule(share=st.floats(0, 1))
    def expire_snapshots(self, share: float) -> None:
        """Let the oldest snapshots expire."""
        end = len(self.log.payloads[records.SNAPSHOT_STREAM])
        self.log.expire(records.SNAPSHOT_STREAM, int(share * end))

    @stateful.rule(number=_FOLLOWERS)
    def snapshot(self, number: int) -> None:
        """Let one of several entries append a snapshot, without a lease."""
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
        """Let a writer that was paused append an old snapshot."""
        paused = data.draw(st.sampled_from(self.paused))
        self.log.land(records.SNAPSHOT_STREAM, [paused.encode()])

    @stateful.rule(number=_FOLLOWERS)
    def poll(self, number: int) -> None:
        """Let a follower read."""
        try:
            self.followers[number].poll()
        except errors.PlatformUnavailableError:
            assert self.log.down

    @stateful.rule(number=_FOLLOWERS, other=_FOLLOWERS)
    def adopt(self, number: int, other: int) -> None:
        """Pass a state between peers, as bytes."""
        payload = self.followers[other].current.encode()
        self.followers[number].adopt(state.State.decode(payload))

    @stateful.rule(number=_FOLLOWERS)
    def replace(self, number: int) -> None:
        """Replace an instance: its process keeps nothing."""
        self.followers[number] = follower.Follower(self.log)
        self.seen[number] = state.State()

    def _newest_provable(self) -> int:
        """Return the revision that the kept records and snapshots prove."""
        oldest = self.log.oldest[_STREAM]
        kept = self.log.payloads[records.SNAPSHOT_STREAM]
        kept = kept[self.log.oldest[records.SNAPSHOT_STREAM] :]
        decoded = [snapshots.Snapshot.decode(payload) for payload in kept]
        best = max((found.state.revision for found in decoded), default=0)
        return best if best < oldest else len(self.log.payloads[_STREAM])

    @stateful.invariant()
    def agree(self) -> None:
        """Each follower has the one state of its revision; none goes back."""
        self._fold_truth()
        for number, current in enumerate(f.current for f in self.followers):
            assert current == self.truth[current.revision].state
            assert current.revision >= self.seen[number].revision
            self.seen[number] = current

    @stateful.invariant()
    def sound(self) -> None:
        """No race leaves a reference dangling or a key with two owners."""
        in_force = {
            name: values
            for name, values in self.truth[-1].state.values_by_section().items()
            if not name.startswith('team-key ')
        }
        checks.check(folder.Sections.from_values(in_force, 'in force'))

    def teardown(self) -> None:
        """After the outage all followers arrive, or say why they can't."""
        self.log.down = False
        self.log.release()
        self._fold_truth()
        end = len(self.log.payloads[_STREAM])
        proved = self._newest_provable()
        for reader in self.followers:
            for _ in range(_TRIES):
                reader.poll()
            hole = reader.trouble is follower.Trouble.HOLE
            assert hole == (reader.current.revision < self.log.oldest[_STREAM])
            assert hole or reader.current.revision == end
            assert reader.current.revision >= proved


RacesTest = Races.TestCase
RacesTest.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
