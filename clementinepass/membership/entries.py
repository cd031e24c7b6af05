"""Ranking of entries for callers, and draining of an entry."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from clementinepass.platform import protocols

#: Seconds for which a caller may cache the ranked entries.
DEFAULT_MAX_AGE = 10
#: Seconds after ``max-age`` for which a draining entry still accepts requests;
#: covers the transit of the ranking to the caller and clock drift.
DEFAULT_MARGIN = 5.0


class OfferedEntry(typing.NamedTuple):
    """Entry offered to a caller."""

    address: str
    failure_domain: str
    region: str


def rank(
    entries: typing.Iterable[protocols.Instance],
    *,
    caller: str,
    failure_domain: str,
    region: str,
) -> tuple[OfferedEntry, ...]:
    """Return the entries in the order in which a caller should try them.

    The nearest entries come first. Rendezvous hashing orders equally near
    entries differently for each caller, which spreads the callers among them.
    A caller's order changes only where an entry is added or removed, so a
    team's callers do not all move when one entry is replaced.

    :param caller: identifies the caller, for example by address and team.
    :param failure_domain: the caller's failure domain, or that of the entry
        that answers.
    :param region: the caller's region, or that of the entry that answers.
    """
    ranked = sorted(
        entries,
        key=lambda entry: (
            _distance(entry, failure_domain, region),
            xxhash.xxh64_intdigest(f'{caller}\n{entry.id}'.encode()),
            entry.id,
        ),
    )
    return tuple(
        OfferedEntry(
            entry.callers_address,
            entry.failure_domain,
            entry.region,
        )
        for entry in ranked
    )


@dataclasses.dataclass(slots=True)
class EntryDrain:
    """Period in which a draining entry still accepts requests.

    Callers that fetched the ranking just before the drain was announced may
    cache the entry's address for ``max_age``; rejecting them would fail
    requests needlessly.

    :param max_age: seconds for which callers may cache the ranking.
    :param margin: seconds added to ``max_age``.
    """

    max_age: float = DEFAULT_MAX_AGE
    margin: float = DEFAULT_MARGIN
    _announced_at: float | None = None

    @property
    def is_announced(self) -> bool:
        """Return whether the entry has announced that it drains."""
        return self._announced_at is not None

    def announce(self, now: float) -> None:
        """Record the time of the announcement; later calls have no effect."""
        if self._announced_at is None:
            self._announced_at = now

    def accepts_requests(self, now: float) -> bool:
        """Return whether the entry still accepts new requests."""
        if self._announced_at is None:
            return True
        return now < self._announced_at + self.max_age + self.margin


def _distance(
    entry: protocols.Instance,
    failure_domain: str,
    region: str,
) -> int:
    if entry.failure_domain == failure_domain:
        return 0
    return 1 if entry.region == region else 2
