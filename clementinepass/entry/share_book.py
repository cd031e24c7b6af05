"""This entry's part of every promise, kept in step with the other entries."""

from __future__ import annotations

import collections
import dataclasses
import typing

from clementinepass.decisions import entitlement, shares
from clementinepass.wire import entry_messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.configuration import catalogue as catalogues


class _Key(typing.NamedTuple):
    team: str
    target: str


class _Told(typing.NamedTuple):
    report: shares.Report
    #: The state in which it was told first.
    sequence: int


class ShareBook:
    """Divide the promises among the entries that see each other.

    :param process: a name that no other process of an entry has.
    :param demand: returns a team's requests at a target here.
    """

    def __init__(
        self,
        process: str,
        demand: Callable[[str, str], int],
    ) -> None:
        self._process = process
        self._demand = demand
        self._entries = frozenset((process,))
        self._catalogue: catalogues.Catalogue | None = None
        self._shares_by_key: dict[_Key, shares.PromiseShare] = {}
        self._told_by_key: dict[_Key, _Told] = {}

    def set_catalogue(self, catalogue: catalogues.Catalogue) -> None:
        """Take the promises of a newer configuration."""
        self._catalogue = catalogue
        self._renew()

    def set_entries(self, processes: frozenset[str]) -> None:
        """Take the processes of the other entries that are connected."""
        entries = processes | {self._process}
        if entries != self._entries:
            self._entries = entries
            self._renew()

    def receive(self, process: str, state: entry_messages.EntryState) -> None:
        """Take in what another entry reports."""
        for share in state.shares:
            own = self._shares_by_key.get(_Key(share.team, share.target))
            if own is not None:
                own.receive(dataclasses.replace(share.report, entry=process))

    def update(self, sequence: int) -> bool:
        """Give away what is not needed here; tell whether that is news.

        :param sequence: number of the state in which the news will be told.
        """
        news = False
        for key, share in self._shares_by_key.items():
            report = share.report(self._demand(key.team, key.target))
            told = self._told_by_key.get(key)
            if told is None or told.report != report:
                self._told_by_key[key] = _Told(report, sequence)
                news = True
        return news

    def reports_since(
        self,
        sequence: int,
    ) -> tuple[entry_messages.TargetShare, ...]:
        """Return the reports that are newer than a state.

        A report holds totals that only grow, so the newest replaces all
        before it and an unchanged one need not be sent again. Sent whole with
        each heartbeat they cost 494 bytes a second for each team and peer.
        """
        return tuple(
            entry_messages.TargetShare(key.team, key.target, told.report)
            for key, told in self._told_by_key.items()
            if told.sequence > sequence
        )

    def held_by_team(self) -> dict[str, dict[str, float]]:
        """Return the slots of each team here, by target."""
        by_target: dict[str, dict[str, float]] = collections.defaultdict(dict)
        for key, share in self._shares_by_key.items():
            by_target[key.target][key.team] = share.held_slots()
        return by_target

    def demands(
        self, target: str
    ) -> tuple[entitlement.Demand, entitlement.Demand]:
        """Return the demand for a target here and at the other entries."""
        own = entitlement.Demand(0, 0)
        others = own
        for key, share in self._shares_by_key.items():
            if key.target == target:
                demand = self._demand(key.team, key.target)
                own = _added(own, demand, share.held_slots())
                for report in share.peer_reports():
                    others = _added(others, report.demand, report.held)
        return own, others

    def _renew(self) -> None:
        if self._catalogue is None:
            return
        renewed = {}
        promises = self._catalogue.promises_by_team_and_target
        for name, promise in promises.items():
            key = _Key(name.team, name.target)
            share = shares.PromiseShare.from_view(
                self._process,
                promise=promise.concurrency,
                entries=self._entries,
                revision=promise.revision,
            )
            known = self._shares_by_key.get(key)
            if known is not None and known.epoch == share.epoch:
                share = known
            renewed[key] = share
        self._shares_by_key = renewed
        self._told_by_key = {
            key: told
            for key, told in self._told_by_key.items()
            if key in renewed
        }


def _added(
    sum_of_teams: entitlement.Demand, demand: float, held: float
) -> entitlement.Demand:
    return entitlement.Demand(
        sum_of_teams.total + demand,
        sum_of_teams.promised + min(demand, held),
    )
