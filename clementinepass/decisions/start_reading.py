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

import itertools
import typing

if typing.TYPE_CHECKING:
    import random

#: Seconds after its start in which a process that isn't a seed reads the store
#: unless a peer has told it what is there. A seed has read it after 0.1 s and
#: may have started 0.3 s later. The span is for a hundred processes of a
#: region, of which the first two or three are to be done before the next.
_MIN_DELAY_SECONDS = 0.6
_MAX_DELAY_SECONDS = 2.0
#: Seconds until a process that knows nothing asks for the second time, and by
#: how much longer it waits each time after that.
_FIRST_PAUSE_SECONDS = 0.1
_BACKOFF_FACTOR = 1.5
_MAX_PAUSE_SECONDS = 0.4
#: Seconds in which only entries of the own region are asked.
_SAME_REGION_SECONDS = 0.4


def read_delay(
    local_ip: str,
    seeds: typing.Collection[str],
    rng: random.Random,
) -> float:
    """Return the seconds until a process reads the store by itself."""
    other_seeds = [ip for ip in seeds if ip != local_ip]
    if local_ip in seeds or not other_seeds:
        return 0
    return rng.uniform(_MIN_DELAY_SECONDS, _MAX_DELAY_SECONDS)


def may_request(*, is_same_region: bool, uptime_seconds: float) -> bool:
    """Tell whether to take the first records from a peer.

    :param is_near: whether it is an entry of the own region.
    """
    return is_same_region or uptime_seconds >= _SAME_REGION_SECONDS


class SeedPolling:
    """Which seeds a process that knows nothing asks, and how often.

    Load: 300 processes that start together and three seeds.  Harm: with each
    asking all seeds ten times a second, to hear and to answer them takes more
    than the processor time that a seed has.

    All seeds are asked once, so that the first to know can tell; after that
    one at a time, with a backoff, in case a question or its answer was lost.

    :param seeds: IP numbers; the own one is passed over.
    """

    __slots__ = ('_batch_size', '_pause_seconds', '_seed_cycle')

    def __init__(
        self,
        local_ip: str,
        seeds: typing.Collection[str],
        rng: random.Random,
    ) -> None:
        other_seeds = [ip for ip in seeds if ip != local_ip]
        rng.shuffle(other_seeds)
        self._seed_cycle = itertools.cycle(other_seeds)
        #: How many are asked next.
        self._batch_size = len(other_seeds)
        self._pause_seconds = _FIRST_PAUSE_SECONDS

    def next_seeds(self) -> list[str]:
        """Return the seeds to ask now."""
        seeds = list(itertools.islice(self._seed_cycle, self._batch_size))
        self._batch_size = 1
        return seeds

    def next_pause(self) -> float:
        """Return the seconds until the next question, longer each time."""
        seconds = self._pause_seconds
        self._pause_seconds = min(seconds * _BACKOFF_FACTOR, _MAX_PAUSE_SECONDS)
        return seconds
