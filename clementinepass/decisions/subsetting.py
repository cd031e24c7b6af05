"""Subset of the engines that an entry uses, and interval of load reports.

With hundreds of entries and engines, each entry needs the present load of the
engines. If the entries sent one another the counts of their requests, the
counts would be seconds old, or their cost would grow with the number of
entries. By outdated counts all entries choose the same engine, which gets a
queue while others are idle.

Therefore each entry uses a stable subset of the engines: some of its own
failure domain and a few others for the time when these are full. The agent of
an engine reports its load only to the entries that use it. Neither the size of
the subset nor the rate of reports grows with the number of entries or engines.
"""

from __future__ import annotations

import typing

from clementinepass.decisions import rendezvous

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Maximum number of engines of its own failure domain that an entry uses.
_MAX_SAME_DOMAIN_ENGINES = 16
#: Engines of other failure domains that an entry uses; more if it needs them
#: to reach the minimum.
_OTHER_DOMAIN_ENGINES = 4
#: Minimum number of engines that an entry uses, if there are that many. In a
#: small fleet an entry uses all engines, as its failure domain may have only
#: one healthy engine.
_MIN_ENGINES = 12
#: Minimum seconds between two load reports of an engine. Between reports an
#: entry adds its own requests to the reported load, but does not know those of
#: other entries.
_MIN_INTERVAL_SECONDS = 0.1
#: Maximum seconds between two load reports of an engine. Within a second an
#: engine finishes half of its requests, so that an older report has no value.
_MAX_INTERVAL_SECONDS = 0.5
#: Load reports that one agent sends per second to all entries together.
_REPORTS_PER_SECOND = 240


def subset(
    entry_ip: str,
    same_domain: Iterable[str],
    other_domains: Iterable[str],
) -> list[str]:
    """Return the engines that an entry uses, by rendezvous hashing.

    An engine that is added or removed changes at most one member of the
    subset, and all engines are used by about the same number of entries.

    :param entry_ip: IP address of the entry.
    :param same_domain: addresses of the engines in its failure domain.
    :param other_domains: addresses of the engines in other failure domains.
    :returns: addresses, those of the same failure domain first.
    """
    chosen = rendezvous.top_ranked(
        entry_ip, same_domain, _MAX_SAME_DOMAIN_ENGINES
    )
    return chosen + rendezvous.top_ranked(
        entry_ip,
        other_domains,
        max(_OTHER_DOMAIN_ENGINES, _MIN_ENGINES - len(chosen)),
    )


def report_interval(subscribers: int) -> float:
    """Return the seconds between two reports of an engine's load.

    :param subscribers: number of entries that receive the reports.
    """
    seconds = subscribers / _REPORTS_PER_SECOND
    return min(max(seconds, _MIN_INTERVAL_SECONDS), _MAX_INTERVAL_SECONDS)
