"""Encode and decode the messages between entries as Cap'n Proto."""

from __future__ import annotations

import typing

import msgspec

from clementinepass.decisions import shares

if typing.TYPE_CHECKING:
    from collections.abc import Mapping


class TargetShare(msgspec.Struct, frozen=True):
    """An entry's report on its share of a team's promise on one target."""

    team: str
    target: str
    report: shares.Report


class EntryState(msgspec.Struct, frozen=True):
    """State that an entry reports to the other entries."""

    sequence: int
    incarnation: int
    #: Whether the entry has announced that it is draining.
    leaving: bool
    #: The configuration revision in force.
    revision: int
    shares: tuple[TargetShare, ...]


def read_entry_state(reader: typing.Any) -> EntryState:
    """Decode an entry's state."""
    return EntryState(
        sequence=reader.sequence,
        incarnation=reader.incarnation,
        leaving=reader.leaving,
        revision=reader.revision,
        shares=tuple(_read_share(share) for share in reader.shares),
    )


def write_entry_state(state: EntryState, builder: typing.Any) -> None:
    """Encode an entry's state."""
    builder.sequence = state.sequence
    builder.incarnation = state.incarnation
    builder.leaving = state.leaving
    builder.revision = state.revision
    slots = builder.init('shares', len(state.shares))
    for share, slot in zip(state.shares, slots, strict=True):
        _write_share(share, slot)


def _read_share(reader: typing.Any) -> TargetShare:
    return TargetShare(
        team=reader.team,
        target=reader.target,
        report=shares.Report(
            entry='',
            epoch=reader.epoch,
            demand=reader.demand,
            held=reader.held,
            given_by_entry=_read_amounts(reader.given),
            received_by_entry=_read_amounts(reader.received),
        ),
    )


def _write_share(share: TargetShare, builder: typing.Any) -> None:
    report = share.report
    builder.team = share.team
    builder.target = share.target
    builder.epoch = report.epoch
    builder.demand = report.demand
    builder.held = report.held
    _write_amounts(builder, 'given', report.given_by_entry)
    _write_amounts(builder, 'received', report.received_by_entry)


def _read_amounts(reader: typing.Any) -> dict[str, float]:
    return {amount.entry: amount.slots for amount in reader}


def _write_amounts(
    builder: typing.Any,
    name: str,
    amounts_by_entry: Mapping[str, float],
) -> None:
    slots = builder.init(name, len(amounts_by_entry))
    for index, (entry, amount) in enumerate(amounts_by_entry.items()):
        slots[index].entry = entry
        slots[index].slots = amount
