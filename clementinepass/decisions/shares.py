"""Divide each team's promise among the entries, by transfers.

Made for callers that crowd at some entries while others are idle. Harm: with
fixed parts a team gets less than its promise at the crowded entries; if each
entry computed its part from the demand it has heard of, all would count on
the same idle part, and reports that lag would let the sum run far beyond the
promise.

So parts move only by transfers, as in a bounded counter: each entry starts
with an equal part and keeps a row of totals that it has given to each peer.
Only the giver raises its row, and only by what it holds; the receiver counts
a transfer when the row arrives. Rows only grow, so reports may be lost,
doubled or late: the sum of all parts never exceeds the promise, whatever the
lag. It falls short by what is under way.

The bound speaks of entries that agree on promise and members. While views of
these differ (for as long as the instance list lags), an entry of the old
view may hold its old part beside the new equal parts, so the sum is at most
twice the promise. Whole slots are handed out, and a part of 0.3 admits one
request, which adds less than one slot for each entry.
"""

from __future__ import annotations

import dataclasses
import typing

#: Amounts below this are not worth a transfer.
_MIN_TRANSFER = 0.01


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """What an entry tells its peers about one team."""

    #: Name of the entry that speaks.
    entry: str
    #: Tells apart views of promise and members; see :class:`PromiseShare`.
    epoch: str
    #: Slots that the team could use at this entry now.
    demand: float
    #: Slots that are the team's own at this entry.
    held: float
    #: Totals ever given to each peer in this epoch.
    given_by_entry: typing.Mapping[str, float]
    #: Totals that have arrived from each peer in this epoch.
    received_by_entry: typing.Mapping[str, float]


class Share(typing.Protocol):
    """One entry's part of one team's promise."""

    def held_slots(self) -> float:
        """Return the slots that are the team's own at this entry."""

    def receive(self, report: Report) -> None:
        """Take in a peer's report; old and doubled ones do no harm."""

    def report(self, demand: float) -> Report:
        """Give away what is not needed, and return the report to send."""


class EqualShare:
    """The baseline: each entry has the same part for good."""

    __slots__ = ('_entry', '_slots')

    def __init__(self, entry: str, promise: float, entries: int) -> None:
        self._entry = entry
        self._slots = promise / entries

    def held_slots(self) -> float:
        """Return the equal part."""
        return self._slots

    def receive(self, report: Report) -> None:
        """Ignore the report."""

    def report(self, demand: float) -> Report:
        """Return a report that gives nothing."""
        return Report(self._entry, '', demand, self._slots, {}, {})


class PromiseShare:
    """A part that follows demand by transfers."""

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

        Transfers count only between entries of the same epoch, which names
        promise, revision and members. Make a new share when any of them
        changes.

        :param entries: names of the live entries, ``entry`` among them. A
            name must not come back with a new process, whose rows begin
            anew, unless the revision has changed: use incarnation names.
        :param revision: the configuration revision that sets the promise.
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
        """Return the view that this share belongs to."""
        return self._epoch

    def held_slots(self) -> float:
        """Return the slots that are the team's own at this entry."""
        received = sum(self._received_by_entry.values())
        given = sum(self._given_by_entry.values())
        return max(self._promise / len(self._entries) + received - given, 0)

    def receive(self, report: Report) -> None:
        """Take in a peer's report; old and doubled ones do no harm."""
        if report.epoch != self._epoch or report.entry == self._entry:
            return
        self._reports_by_entry[report.entry] = report
        given = report.given_by_entry.get(self._entry, 0)
        known_received = self._received_by_entry.get(report.entry, 0)
        self._received_by_entry[report.entry] = max(given, known_received)

    def report(self, demand: float) -> Report:
        """Give away what is not needed, and return the report to send."""
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
        # Several entries may see the same lack; each covers it in proportion
        # to its part of all surplus, or the lack would be filled many times.
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
        """Return what a peer holds or is about to receive from here."""
        given = self._given_by_entry.get(report.entry, 0)
        arrived = report.received_by_entry.get(self._entry, 0)
        return report.held + max(given - arrived, 0)

    def _fair_slots_by_entry(self) -> dict[str, float]:
        """Return the part that each entry should have, by max-min fairness.

        Demand beyond the promise is cut evenly; what nobody wants stays
        where it is.
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
