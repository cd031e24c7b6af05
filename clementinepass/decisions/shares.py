"""Division of a team's promised slots among the entries.

The callers of a team may use some entries much more than others. With fixed
shares the team would get less than its promise at the busy entries. If each
entry computed its share from the reported demand, all of them would claim the
same unused slots, and with outdated reports the sum of the shares would exceed
the promise by far.

Therefore slots move between entries only by transfers, as in a bounded
counter. Each entry starts with an equal share and keeps, for each peer, the
total that it has given to it. Only the giver raises this total, and only by
slots that it holds; the receiver counts a transfer when the total arrives.
Totals only grow, so reports may be lost, duplicated or delayed: the sum of all
shares never exceeds the promise, and falls short of it by the transfers in
transit.

The bound holds for entries that agree on the promise and the list of entries.
While their views differ (until all have read the present instance list), an
entry with an old view may use its old share beside the new equal shares, so
the sum is at most twice the promise. As requests occupy whole slots, a share
of 0.3 admits one request, which adds less than one slot for each entry.
"""

from __future__ import annotations

import dataclasses
import typing

#: Smaller numbers of slots are not transferred.
_MIN_TRANSFER = 0.01


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Report of an entry to its peers about the share of one team."""

    #: Name of the reporting entry.
    entry: str
    #: Identifies the entry's view of the promise and of the list of entries;
    #: see :meth:`PromiseShare.from_view`.
    epoch: str
    #: Slots that the team could use at the entry now.
    demand: float
    #: Slots of the team's promise that the entry holds.
    held: float
    #: Total of the slots given to each peer in this epoch.
    given_by_entry: typing.Mapping[str, float]
    #: Total of the slots received from each peer in this epoch.
    received_by_entry: typing.Mapping[str, float]


class Share(typing.Protocol):
    """Interface of an entry's share of one team's promise."""

    def held_slots(self) -> float:
        """Return the slots of the promise that this entry holds."""

    def receive(self, report: Report) -> None:
        """Apply a peer's report; outdated and duplicate ones are harmless."""

    def report(self, demand: float) -> Report:
        """Transfer unneeded slots to peers and return the report to send."""


class EqualShare:
    """Baseline: each entry holds the same fixed number of slots."""

    __slots__ = ('_entry', '_slots')

    def __init__(self, entry: str, promise: float, entries: int) -> None:
        self._entry = entry
        self._slots = promise / entries

    def held_slots(self) -> float:
        """Return the fixed number of slots."""
        return self._slots

    def receive(self, report: Report) -> None:
        """Ignore the report."""

    def report(self, demand: float) -> Report:
        """Return a report without transfers."""
        return Report(self._entry, '', demand, self._slots, {}, {})


class PromiseShare:
    """Share that follows the demand by transfers between entries."""

    __slots__ = (
        '_demand',
        '_entries',
        '_entry',
        '_epoch',
        '_given_by_entry',
        '_promise',
        '_received_by_entry',
        '_reports_by_entry',
    )

    def __init__(
        self,
        entry: str,
        *,
        promise: float,
        entries: typing.Collection[str],
        epoch: str,
    ) -> None:
        self._entry = entry
        self._promise = promise
        self._entries = sorted(entries)
        self._epoch = epoch
        self._demand: float = 0
        self._reports_by_entry: dict[str, Report] = {}
        self._given_by_entry: dict[str, float] = {}
        self._received_by_entry: dict[str, float] = {}

    @classmethod
    def from_view(
        cls,
        entry: str,
        *,
        promise: float,
        entries: typing.Collection[str],
        revision: int,
    ) -> PromiseShare:
        """Create the share of ``entry`` among ``entries``.

        Transfers are counted only between entries of the same epoch, which is
        made of the revision, the promise and the names of the entries. A new
        share is needed when any of them changes.

        :param entry: name of this entry.
        :param promise: slots promised to the team.
        :param entries: names of the live entries, including ``entry``. As the
            totals of a new process start at 0, it must not reuse a name unless
            the revision has changed: use names of incarnations.
        :param revision: configuration revision that sets the promise.
        """
        names = ','.join(sorted(entries))
        return cls(
            entry,
            promise=promise,
            entries=entries,
            epoch=f'{revision}/{promise}/{names}',
        )

    @property
    def epoch(self) -> str:
        """Return the identifier of the view that this share belongs to."""
        return self._epoch

    def held_slots(self) -> float:
        """Return the slots of the promise that this entry holds."""
        received = sum(self._received_by_entry.values())
        given = sum(self._given_by_entry.values())
        return max(self._promise / len(self._entries) + received - given, 0)

    def receive(self, report: Report) -> None:
        """Apply a peer's report; outdated and duplicate ones are harmless."""
        if report.epoch != self._epoch or report.entry == self._entry:
            return
        self._reports_by_entry[report.entry] = report
        given = report.given_by_entry.get(self._entry, 0)
        known_received = self._received_by_entry.get(report.entry, 0)
        self._received_by_entry[report.entry] = max(given, known_received)

    def peer_reports(self) -> typing.Collection[Report]:
        """Return the newest report of each peer."""
        return self._reports_by_entry.values()

    def report(self, demand: float) -> Report:
        """Transfer unneeded slots to peers and return the report to send."""
        self._demand = demand
        self._transfer_surplus()
        return Report(
            self._entry,
            self._epoch,
            demand,
            self.held_slots(),
            dict(self._given_by_entry),
            dict(self._received_by_entry),
        )

    def _transfer_surplus(self) -> None:
        fair_slots_by_entry = self._fair_slots_by_entry()
        surplus = self.held_slots() - fair_slots_by_entry[self._entry]
        if surplus < _MIN_TRANSFER:
            return
        deficits_by_entry = {
            peer: max(
                fair_slots_by_entry[peer] - self._held_or_arriving(report), 0
            )
            for peer, report in self._reports_by_entry.items()
        }
        total_deficit = sum(deficits_by_entry.values())
        if total_deficit < _MIN_TRANSFER:
            return
        # Several entries may see the same deficit. Each of them covers the
        # fraction of it that corresponds to its fraction of the total surplus,
        # as the deficit would otherwise be covered several times.
        total_surplus = surplus + sum(
            max(report.held - fair_slots_by_entry[peer], 0)
            for peer, report in self._reports_by_entry.items()
        )
        transfer = surplus * min(total_deficit / total_surplus, 1)
        for peer, deficit in deficits_by_entry.items():
            given = self._given_by_entry.get(peer, 0)
            self._given_by_entry[peer] = (
                given + transfer * deficit / total_deficit
            )

    def _held_or_arriving(self, report: Report) -> float:
        """Return the slots that a peer holds or will receive from here."""
        given = self._given_by_entry.get(report.entry, 0)
        arrived = report.received_by_entry.get(self._entry, 0)
        return report.held + max(given - arrived, 0)

    def _fair_slots_by_entry(self) -> dict[str, float]:
        """Return the max-min fair allocation of slots to the entries.

        If the demand exceeds the promise, the largest demands are cut to the
        same level. Slots beyond the total demand are not allocated and stay
        with the entries that hold them.
        """
        demands: dict[str, float] = dict.fromkeys(self._entries, 0)
        for peer, report in self._reports_by_entry.items():
            demands[peer] = report.demand
        demands[self._entry] = self._demand
        remaining = self._promise
        fair_slots_by_entry: dict[str, float] = {}
        entries_by_demand = sorted(demands, key=demands.__getitem__)
        for index, entry in enumerate(entries_by_demand):
            equal_part = remaining / (len(entries_by_demand) - index)
            fair_slots_by_entry[entry] = min(demands[entry], equal_part)
            remaining -= fair_slots_by_entry[entry]
        return fair_slots_by_entry
