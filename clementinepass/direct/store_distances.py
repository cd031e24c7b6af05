"""How far each region is from the store, as the entries measure it."""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Mapping

#: Resolution of the measured times in seconds. Differences below it are due to
#: the scheduling of processes, not to the network.
_RESOLUTION_SECONDS = 0.0005


class StoreDistances:
    """The shortest time to open a connection to the store, by region.

    Entries exchange these times in heartbeats. As each keeps the shortest ones,
    all agree on the nearest region.

    :param local_region: the region of this process.
    """

    __slots__ = ('_local_region', '_seconds_by_region', 'measure')

    def __init__(self, local_region: str) -> None:
        self._local_region = local_region
        self._seconds_by_region: dict[str, float] = {}
        #: Returns the shortest time measured by this process; infinite before
        #: its first connection to the store.
        self.measure: Callable[[], float] = lambda: math.inf

    @property
    def seconds_by_region(self) -> dict[str, float]:
        """Return the shortest known time of each region."""
        measured = self.measure()
        if math.isfinite(measured):
            self.update({self._local_region: _rounded(measured)})
        return self._seconds_by_region

    @property
    def nearest_region(self) -> str | None:
        """Return the region nearest to the store; ``None`` if unknown."""
        return min(
            self.seconds_by_region.items(),
            key=lambda pair: (pair[1], pair[0]),
            default=(None,),
        )[0]

    @property
    def is_local_nearest(self) -> bool:
        """Return whether no other region is known to be nearer."""
        return self.nearest_region in {None, self._local_region}

    def update(self, seconds_by_region: Mapping[str, float]) -> None:
        """Apply times that were measured here or by a peer."""
        for region, seconds in seconds_by_region.items():
            self._seconds_by_region[region] = min(
                seconds, self._seconds_by_region.get(region, math.inf)
            )


def _rounded(seconds: float) -> float:
    return round(seconds / _RESOLUTION_SECONDS) * _RESOLUTION_SECONDS
