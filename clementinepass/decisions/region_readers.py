"""Choose which entries of a region read the store; the others are told by them.

Load: a configuration of 50 KB, and a change each quarter of a second.  Harm:
each of thirteen entries of a region read each change over the one link to the
store's region, 24 Mbit/s over a link of 12.  Configurations, requests and
heartbeat messages that cross it were late by seconds, and callers got 404 on
routes that had been added.

A few entries of each region read, those first in order among the ones heard of
lately.  Two, since one that is killed is noticed only after a while.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds in which an entry was heard of that others rely on. Three heartbeat
#: messages; a reader that fell silent has to be replaced, and the change read
#: and passed on, within the two seconds in which it has to be in force.
MAX_SILENCE_SECONDS = 1.2
#: Entries of a region that read the store.
_READERS_PER_REGION = 2
#: Entries of a region up to which all read: their reads are few.
_MAX_ALL_READERS = 3


def is_reader(local_ip: str, peer_ips: Iterable[str]) -> bool:
    """Tell whether an entry reads the store itself.

    :param others: the IP numbers of the other entries of its region that were
        heard of lately and aren't about to end.
    """
    region_ips = [local_ip, *peer_ips]
    if len(region_ips) <= _MAX_ALL_READERS:
        return True
    return local_ip in sorted(region_ips)[:_READERS_PER_REGION]
