"""Choose when a process that has just started reads the store itself.

Load: all processes start at the same moment, after a loss of power.  Harm: each
of 300 read the whole store, those of a region over one link, which was full for
four seconds; nobody there knew a configuration until then.

So the seeds, which are in the settings of all, read at once, and the others ask
them.  Where no seed answers, each reads after a time drawn at random: the first
of them has it when most still wait, and tells them.  Records come from a peer
of the own region where there is one, as the links between regions are narrow.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random

#: Seconds after its start in which a process that isn't a seed reads the store
#: unless a peer has told it what is there. A seed has read it after 0.1 s and
#: may have started 0.3 s later. The span is for a hundred processes of a
#: region, of which the first two or three are to be done before the next.
_EARLIEST = 0.6
_LATEST = 2.0
#: Seconds in which only entries of the own region are asked.
_NEAR_ONLY = 0.4


def delay(
    own_ip: str,
    seeds: typing.Collection[str],
    rng: random.Random,
) -> float:
    """Return the seconds until a process reads the store by itself."""
    others = [ip for ip in seeds if ip != own_ip]
    if own_ip in seeds or not others:
        return 0
    return rng.uniform(_EARLIEST, _LATEST)


def may_ask(*, is_near: bool, since_start: float) -> bool:
    """Tell whether to take the first records from a peer.

    :param is_near: whether it is an entry of the own region.
    """
    return is_near or since_start >= _NEAR_ONLY
