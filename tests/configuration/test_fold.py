"""Tests of the fold and of the decoders that feed it."""

from __future__ import annotations

import typing

import msgspec
import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass import errors
from clementinepass.configuration import fold, records, snapshots, state
from clementinepass.platform import protocols
from tests.configuration import samples

#: Publications in log order, each as (arguments of a publication, the
#: reason, section and winner of its rejection or ``None``).
_STORIES: dict[str, list[tuple[dict[str, typing.Any], typing.Any]]] = {
    'the first of two changes wins': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 0}, 'sets': ('a',)}, ('changed', 'a', 1)),
        ({'expected': {'a': 1}, 'sets': ('a',), 'checked_at': 1}, None),
    ],
    'what is relied on must not have changed': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1}, 'sets': ('a',), 'checked_at': 1}, None),
        (
            {'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1},
            ('changed', 'a', 2),
        ),
    ],
    'what others have begun to rely on stays': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1}, None),
        (
            {'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 1},
            ('relied_on', 'a', 2),
        ),
        ({'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 3}, None),
    ],
    'two that rely on one section do not conflict': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1}, None),
        ({'expected': {'a': 1, 'c': 0}, 'sets': ('c',), 'checked_at': 1}, None),
    ],
    'a late append does not bring back what was removed': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 1}, None),
        ({'expected': {'a': 0}, 'sets': ('a',)}, ('changed', 'a', 2)),
        ({'expected': {'a': 0}, 'sets': ('a',), 'checked_at': 2}, None),
    ],
    'a check of the future is malformed': [
        (
            {'expected': {'a': 0}, 'sets': ('a',), 'checked_at': 1},
            ('malformed', '', 0),
        ),
    ],
}


def _fold_all(payloads: list[bytes]) -> list[fold.FoldResult]:
    current = state.State()
    folded = []
    for offset, payload in enumerate(payloads):
        folded.append(fold.fold(current, protocols.Record(offset, payload)))
        current = folded[-1].state
    return folded


class FoldTest(testtools.TestCase):
    """The fold accepts what was checked against the present, in log order."""

    def test_stories(self) -> None:
        """Each publication is accepted, or told what it lost to."""
        for story, steps in _STORIES.items():
            payloads = [
                samples.publication(str(number), **arguments).encode()
                for number, (arguments, _) in enumerate(steps)
            ]
            found = [
                result.rejection
                and (
                    result.rejection.reason.value,
                    result.rejection.section,
                    result.rejection.winner,
                )
                for result in _fold_all(payloads)
            ]
            self.assertEqual([outcome for _, outcome in steps], found, story)

    def test_doubled_record(self) -> None:
        """An append that lands twice is applied once.

        The network repeats an append while another operator removes the
        section in between: callers must not see the section come back.
        """
        once = samples.publication('x', {'a': 0}, sets=('a',)).encode()
        gone = samples.publication(
            'y',
            {'a': 1},
            removed=('a',),
            checked_at=1,
        ).encode()
        last = _fold_all([once, gone, once])[-1]
        self.assertEqual({}, last.state.sections_by_name)
        self.assertEqual(3, last.state.revision)

    def test_horizon(self) -> None:
        """Traces of removed sections are forgotten only when harmless.

        An append held up for thousands of revisions lands after the trace
        is gone; it must still not bring the removed section back.
        """
        late = samples.publication('x', {'a': 0}, sets=('a',)).encode()
        gone = samples.publication(
            'y',
            {'a': 1},
            removed=('a',),
            checked_at=1,
        ).encode()
        for noise, reason in (
            (fold.HORIZON - 2, fold.Reason.CHANGED),
            (fold.HORIZON - 1, fold.Reason.TOO_OLD),
            (fold.HORIZON, fold.Reason.TOO_OLD),
        ):
            last = _fold_all([late, gone, *([b''] * noise), late])[-1]
            self.assertEqual(reason, last.rejection.reason)
        self.assertEqual({}, last.state.removed_at_by_name)

    def test_malformed(self) -> None:
        """A record that is no publication changes the revision alone."""
        sound = samples.publication('x', {'a': 0}, sets=('a',))
        broken = [
            b'',
            b'\xff',
            b'[]',
            b'{}',
            sound.encode()[:-1],
            sound.encode().replace(b'"format":1', b'"format":2'),
            sound.encode().replace(b'{', b'{"extra":1,', 1),
            msgspec.json.encode(
                msgspec.structs.asdict(sound) | {'expected_by_section': {}},
            ),
            msgspec.json.encode(
                msgspec.structs.asdict(sound) | {'removed': ['a']},
            ),
            msgspec.json.encode(
                msgspec.structs.asdict(sound) | {'set_by_section': {}},
            ),
        ]
        for payload in broken:
            result = _fold_all([payload])[0]
            self.assertEqual(fold.Reason.MALFORMED, result.rejection.reason)
            self.assertEqual(state.State(1), result.state)


class DecodersTest(testtools.TestCase):
    """Decoders raise their typed error only."""

    @given(st.binary(max_size=80))
    def test_any_bytes(self, payload: bytes) -> None:
        """Any bytes are decoded or refused by the typed error."""
        self._decode_all(payload)

    @given(st.data())
    def test_mutations(self, data: st.DataObject) -> None:
        """Sound messages with a part replaced are decoded or refused."""
        sound = data.draw(
            st.sampled_from(
                [
                    samples.publication('x', {'a': 0}, sets=('a',)).encode(),
                    state.State(
                        3, {'a': state.Section(1, {'k': 'v'})}
                    ).encode(),
                    snapshots.Snapshot(state.State(), 1.5).encode(),
                ],
            ),
        )
        start = data.draw(st.integers(0, len(sound)))
        length = data.draw(st.integers(0, 8))
        junk = data.draw(st.binary(max_size=8) | st.sampled_from(_JUNK))
        self._decode_all(sound[:start] + junk + sound[start + length :])

    def test_deep_nesting(self) -> None:
        """Nesting without end is refused."""
        self._decode_all(b'[' * 200_000)
        self._decode_all(b'{"id":' * 200_000)

    @given(
        st.dictionaries(
            st.text(max_size=5),
            st.builds(
                state.Section,
                st.integers(1, 9),
                st.dictionaries(st.text(max_size=3), st.text(max_size=3)),
            ),
            max_size=4,
        ),
    )
    def test_state_round_trip(self, by_name: dict[str, state.Section]) -> None:
        """A state survives encoding, whatever its texts."""
        original = state.State(9, by_name, {'gone': 4})
        self.assertEqual(original, state.State.decode(original.encode()))

    def _decode_all(self, payload: bytes) -> None:
        for kind in (records.Publication, state.State, snapshots.Snapshot):
            try:
                kind.decode(payload)
            except errors.MalformedMessageError:
                continue


_JUNK = [b'null', b'-1', b'1e999', b'9' * 40, b'""', b'{}', b'"\\ud800"']
