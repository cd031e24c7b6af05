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

#: Publications in log order, each with its arguments and the reason, section
#: and winner of its rejection, or ``None`` if it is accepted.
_SCENARIOS: dict[str, list[tuple[dict[str, typing.Any], typing.Any]]] = {
    'the first of two changes wins': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 0}, 'sets': ('a',)}, ('changed', 'a', 1)),
        ({'expected': {'a': 1}, 'sets': ('a',), 'checked_at': 1}, None),
    ],
    'a changed dependency leads to rejection': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1}, 'sets': ('a',), 'checked_at': 1}, None),
        (
            {'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1},
            ('changed', 'a', 2),
        ),
    ],
    'a new dependency prevents removal': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1}, None),
        (
            {'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 1},
            ('relied_on', 'a', 2),
        ),
        ({'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 3}, None),
    ],
    'publications with one dependency do not conflict': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1, 'b': 0}, 'sets': ('b',), 'checked_at': 1}, None),
        ({'expected': {'a': 1, 'c': 0}, 'sets': ('c',), 'checked_at': 1}, None),
    ],
    'a late append does not restore a removed section': [
        ({'expected': {'a': 0}, 'sets': ('a',)}, None),
        ({'expected': {'a': 1}, 'removed': ('a',), 'checked_at': 1}, None),
        ({'expected': {'a': 0}, 'sets': ('a',)}, ('changed', 'a', 2)),
        ({'expected': {'a': 0}, 'sets': ('a',), 'checked_at': 2}, None),
    ],
    'a check at a future revision is malformed': [
        (
            {'expected': {'a': 0}, 'sets': ('a',), 'checked_at': 1},
            ('malformed', '', 0),
        ),
    ],
}


def _fold_all(payloads: list[bytes]) -> list[fold.FoldResult]:
    current = state.State()
    results = []
    for offset, payload in enumerate(payloads):
        results.append(fold.fold(current, protocols.Record(offset, payload)))
        current = results[-1].state
    return results


class FoldTest(testtools.TestCase):
    """The fold accepts publications without conflicts, in log order."""

    def test_scenarios(self) -> None:
        """Each publication is accepted or rejected with its conflict."""
        for scenario, publications in _SCENARIOS.items():
            payloads = [
                samples.publication(str(number), **arguments).encode()
                for number, (arguments, _) in enumerate(publications)
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
            self.assertEqual(
                [outcome for _, outcome in publications], found, scenario
            )

    def test_duplicate_record(self) -> None:
        """A record that is appended twice is applied once.

        The network duplicates an append, and another operator removes the
        section in between: the duplicate must not restore it.
        """
        duplicate = samples.publication('x', {'a': 0}, sets=('a',)).encode()
        removal = samples.publication(
            'y',
            {'a': 1},
            removed=('a',),
            checked_at=1,
        ).encode()
        last_result = _fold_all([duplicate, removal, duplicate])[-1]
        self.assertEqual({}, last_result.state.sections_by_name)
        self.assertEqual(3, last_result.state.revision)

    def test_horizon(self) -> None:
        """A late append does not restore a section after the horizon.

        An append is delayed for thousands of revisions, until the section's
        removal is forgotten: it must then be rejected as too old.
        """
        delayed = samples.publication('x', {'a': 0}, sets=('a',)).encode()
        removal = samples.publication(
            'y',
            {'a': 1},
            removed=('a',),
            checked_at=1,
        ).encode()
        for record_count, reason in (
            (fold.HORIZON - 2, fold.Reason.CHANGED),
            (fold.HORIZON - 1, fold.Reason.TOO_OLD),
            (fold.HORIZON, fold.Reason.TOO_OLD),
        ):
            last_result = _fold_all(
                [delayed, removal, *([b''] * record_count), delayed]
            )[-1]
            self.assertEqual(reason, last_result.rejection.reason)
        self.assertEqual({}, last_result.state.removed_at_by_name)

    def test_malformed(self) -> None:
        """A malformed record changes only the revision."""
        valid = samples.publication('x', {'a': 0}, sets=('a',))
        invalid_payloads = [
            b'',
            b'\xff',
            b'[]',
            b'{}',
            valid.encode()[:-1],
            valid.encode().replace(b'"format":1', b'"format":2'),
            valid.encode().replace(b'{', b'{"extra":1,', 1),
            msgspec.json.encode(
                msgspec.structs.asdict(valid) | {'expected_by_section': {}},
            ),
            msgspec.json.encode(
                msgspec.structs.asdict(valid) | {'removed': ['a']},
            ),
            msgspec.json.encode(
                msgspec.structs.asdict(valid) | {'set_by_section': {}},
            ),
        ]
        for payload in invalid_payloads:
            result = _fold_all([payload])[0]
            self.assertEqual(fold.Reason.MALFORMED, result.rejection.reason)
            self.assertEqual(state.State(1), result.state)


class DecodersTest(testtools.TestCase):
    """Decoders raise only ``MalformedMessageError``."""

    @given(st.binary(max_size=80))
    def test_any_bytes(self, payload: bytes) -> None:
        """Arbitrary bytes are decoded or rejected with the typed error."""
        self._decode_all(payload)

    @given(st.data())
    def test_mutations(self, data: st.DataObject) -> None:
        """Mutated valid messages are decoded or rejected."""
        valid = data.draw(
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
        start = data.draw(st.integers(0, len(valid)))
        length = data.draw(st.integers(0, 8))
        replacement = data.draw(
            st.binary(max_size=8) | st.sampled_from(_REPLACEMENTS)
        )
        self._decode_all(valid[:start] + replacement + valid[start + length :])

    def test_deep_nesting(self) -> None:
        """Very deep nesting is rejected."""
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
        """Decoding an encoded state yields an equal state."""
        original = state.State(9, by_name, {'gone': 4})
        self.assertEqual(original, state.State.decode(original.encode()))

    def _decode_all(self, payload: bytes) -> None:
        for message_type in (
            records.Publication,
            state.State,
            snapshots.Snapshot,
        ):
            try:
                message_type.decode(payload)
            except errors.MalformedMessageError:
                continue


_REPLACEMENTS = [
    b'null',
    b'-1',
    b'1e999',
    b'9' * 40,
    b'""',
    b'{}',
    b'"\\ud800"',
]
