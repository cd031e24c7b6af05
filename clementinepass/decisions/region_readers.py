"""Choose which entries of a region read the store and inform the others.

With a configuration of 50 KB and a change every quarter of a second, each of
thirteen entries of a region read each change over the one link to the store's
region: 24 Mbit/s over a link of 12. Configurations, requests and heartbeats
that cross it were late by seconds, and callers got 404 on routes that had been
added.

So a few entries of each region read the store, the first ones by address of
those heard from recently. There are two of them, since it takes a while to
notice that one was killed.

The operator's records are read in the region nearest to the store only, as the
store hands out whole configurations. The other regions get from an entry there
what has changed.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Longest time in seconds since the last heartbeat of an entry that others rely
#: on. This is three heartbeats: a reader that has stalled has to be replaced,
#: and the change to be read and passed on, within the two seconds after which
#: the change has to be in force.
MAX_SILENCE_SECONDS = 1.2
#: Entries of a region that read the store.
_READERS_PER_REGION = 2
#: Entries of a region that do not read and check that the readers do. Whoever
#: finds a change informs the other regions, too.
_WATCHERS_PER_REGION = 1
#: Number of entries in a region up to which all of them read, as their reads
#: are few.
_MAX_ALL_READERS = 3


def is_reader(local_ip: str, peer_ips: Iterable[str]) -> bool:
    """Return whether the local entry reads the store itself.

    :param peer_ips: IP numbers of the other entries of its region that were
        heard from recently and are not draining.
    """
    return local_ip in relays([local_ip, *peer_ips])


def rank(local_ip: str, peer_ips: Iterable[str]) -> int:
    """Return the position of the local entry in the order of its region.

    :param peer_ips: as for :func:`is_reader`.
    """
    return sum(ip < local_ip for ip in peer_ips)


def relays(region_ips: Iterable[str]) -> list[str]:
    """Return the entries of a region that get records from outside it.

    They read the store, or fetch its records from another region.

    :param region_ips: IP numbers of the region's entries that were heard from
        recently and are not draining.
    """
    ordered = sorted(region_ips)
    if len(ordered) <= _MAX_ALL_READERS:
        return ordered
    return ordered[:_READERS_PER_REGION]


def is_watcher(
    local_ip: str, peer_ips: Iterable[str], *, is_region_reading: bool
) -> bool:
    """Return whether the local entry checks that the readers are not behind.

    The store may turn away the few entries that read while it serves others,
    which then have to notice a change without them. So the first entry of each
    region that does not read asks it for the end of the topic only.

    :param peer_ips: as for :func:`is_reader`.
    :param is_region_reading: whether entries of this region read.
    """
    ordered = sorted([local_ip, *peer_ips])
    if is_region_reading:
        ordered = ordered[len(relays(ordered)) :]
    return local_ip in ordered[:_WATCHERS_PER_REGION]
