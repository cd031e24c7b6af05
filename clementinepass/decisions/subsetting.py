"""Choose which engines an entry uses, and how often their load is told to it.

Load: hundreds of entries in front of hundreds of engines, each of which needs
to know how full an engine is now.  Harm: where each entry hears of the requests
of all others, what it knows is seconds old, or costs more the more there are.
By old counts all choose the same engine: it gets a queue, while others idle.

So each entry uses a subset of the engines, the same for as long as it can:
those of its own failure domain, and some others for when these are full.  The
agent beside an engine tells how many requests it has to the entries that use
it.  Neither grows with the number of entries or engines.
"""

from __future__ import annotations

import typing
import zlib

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Engines of the own failure domain that an entry uses.
_MAX_SAME_DOMAIN = 16
#: Engines elsewhere that it uses.
_MAX_OTHER_DOMAINS = 4
#: Engines that it uses at least, if there are so many: in a small fleet all, as
#: a domain may have a single engine that works.
_MIN_ENGINES = 12
#: Seconds between two reports of an engine's load: at least. Requests that an
#: entry sends meanwhile are added by itself, and those of others are not known.
_MIN_INTERVAL_SECONDS = 0.1
#: The longest. Over a second an engine ends half of what it runs, and its last
#: report says nothing any more.
_MAX_INTERVAL_SECONDS = 0.5
#: Reports that one agent sends in a second, over all entries.
_REPORTS_PER_SECOND = 240


def subset(
    entry_ip: str,
    same_domain: Iterable[str],
    other_domains: Iterable[str],
) -> list[str]:
    """Return the engines that an entry uses, by rendezvous hashing.

    Engines that come or go change no more than their own place, and each is
    used by about as many entries as any other.

    :param near: addresses of the engines in its failure domain.
    :param far: those of the others.
    """
    chosen = _top_ranked(entry_ip, same_domain, _MAX_SAME_DOMAIN)
    return chosen + _top_ranked(
        entry_ip,
        other_domains,
        max(_MAX_OTHER_DOMAINS, _MIN_ENGINES - len(chosen)),
    )


def report_interval(subscribers: int) -> float:
    """Return the seconds between two reports of an engine's load.

    :param subscribers: entries that are told.
    """
    seconds = subscribers / _REPORTS_PER_SECOND
    return min(max(seconds, _MIN_INTERVAL_SECONDS), _MAX_INTERVAL_SECONDS)


def _top_ranked(
    entry_ip: str, addresses: Iterable[str], limit: int
) -> list[str]:
    return sorted(
        addresses,
        key=lambda address: zlib.crc32(f'{entry_ip} {address}'.encode()),
    )[:limit]
