"""Rank entries for a caller, and leave in step with kept answers."""

from __future__ import annotations

import dataclasses
import typing

import xxhash

from clementinepass.platform import protocols

#: Seconds for which a caller may keep the ranked entries.
DEFAULT_MAX_AGE = 10
#: Seconds beyond ``max-age`` for which a leaving entry goes on accepting:
#: covers the answer's way to the caller and clocks that run apart.
DEFAULT_MARGIN = 5.0


class OfferedEntry(typing.NamedTuple):
    """One address for a caller to use."""

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
    """Order entries: nearest first, callers spread among equally near ones.

    Rendezvous hashing gives each caller an order of its own that changes
    only where an entry comes or goes, so a team's callers don't all move
    when one entry is replaced.

    :param caller: what tells callers apart, such as address and team.
    :param failure_domain: the caller's, or that of the entry asked.
    :param region: likewise.
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
    """Tell how long a leaving entry still takes callers' requests.

    Callers that asked just before it announced its leaving may keep its
    address for ``max_age``; refusing them would fail requests for nothing.
    """

    max_age: float = DEFAULT_MAX_AGE
    margin: float = DEFAULT_MARGIN
    _announced_at: float | None = None

    @property
    def is_announced(self) -> bool:
        """Tell whether the entry has announced that it leaves."""
        return self._announced_at is not None

    def announce(self, now: float) -> None:
        """Announce it; a second announcement changes nothing."""
        if self._announced_at is None:
            self._announced_at = now

    def accepts_requests(self, now: float) -> bool:
        """Tell whether new requests are still taken."""
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
