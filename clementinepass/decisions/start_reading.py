"""Choose when a process that has just started reads the store itself.

After a power loss all processes start at the same moment. When each of 300 read
the complete store, those of a region over one link, that link was full for four
seconds, and no process in the region had a configuration until then.

So the seeds, which are in the settings of all processes, read the store at
once, and the others request the records from them. If no seed answers, each
process reads the store after a random delay: the first one has the records
while most others still wait, and sends them on. Records are requested from a
peer of the same region where there is one, as the links between regions are
narrow.
"""

from __future__ import annotations

import itertools
import typing

if typing.TYPE_CHECKING:
    import random

#: Range of seconds after its start in which a process that is not a seed reads
#: the store unless a peer has sent it the records. A seed has read the store
#: after 0.1 s and may have started 0.3 s later. The range is for a hundred
#: processes in a region, of which the first two or three are to finish before
#: the next one starts to read.
_MIN_DELAY_SECONDS = 0.6
_MAX_DELAY_SECONDS = 2.0
#: Seconds until a process without records asks for the second time, the factor
#: by which each later pause is longer, and the longest pause in seconds.
_FIRST_PAUSE_SECONDS = 0.1
_BACKOFF_FACTOR = 1.5
_MAX_PAUSE_SECONDS = 0.4
#: Seconds after its start in which a process asks entries of its region only.
_SAME_REGION_SECONDS = 0.4


def read_delay(
    local_ip: str,
    seeds: typing.Collection[str],
    rng: random.Random,
) -> float:
    """Return the seconds until a process reads the store by itself.

    :param seeds: IP numbers of all seeds.
    """
    other_seeds = [ip for ip in seeds if ip != local_ip]
    if local_ip in seeds or not other_seeds:
        return 0
    return rng.uniform(_MIN_DELAY_SECONDS, _MAX_DELAY_SECONDS)


def may_request(*, is_same_region: bool, uptime_seconds: float) -> bool:
    """Return whether to request the first records from a peer.

    :param is_same_region: whether the peer is an entry of the same region.
    :param uptime_seconds: time since the start of this process.
    """
    return is_same_region or uptime_seconds >= _SAME_REGION_SECONDS


class SeedPolling:
    """Choose which seeds a process without records asks, and how often.

    When 300 processes that start together each ask three seeds ten times a
    second, receiving and answering the requests takes more processor time than
    a seed has.

    All seeds are asked once, so that the first one with the records can answer.
    After that one seed at a time is asked, with a backoff, in case a request or
    its answer was lost.

    :param seeds: IP numbers; the local one is ignored.
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
        #: Number of seeds to ask next.
        self._batch_size = len(other_seeds)
        self._pause_seconds = _FIRST_PAUSE_SECONDS

    def next_seeds(self) -> list[str]:
        """Return the seeds to ask now."""
        seeds = list(itertools.islice(self._seed_cycle, self._batch_size))
        self._batch_size = 1
        return seeds

    def next_pause(self) -> float:
        """Return the seconds until the next request, longer each time."""
        seconds = self._pause_seconds
        self._pause_seconds = min(seconds * _BACKOFF_FACTOR, _MAX_PAUSE_SECONDS)
        return seconds
