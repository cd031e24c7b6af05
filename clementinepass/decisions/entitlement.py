"""Division of a target's slots among entries that want more than there are.

Each entry learns first of the slots that its own requests free, and would fill
them again at once. While one entry has requests waiting, the others would never
find a free slot.
"""

from __future__ import annotations

import math
import typing


class Demand(typing.NamedTuple):
    """Requests of an entry, or of several, at one target.

    :param total: running and waiting requests.
    :param promised: those of them that teams' promises cover.
    """

    total: float
    promised: float


def fair_slots(usable_slots: int, own: Demand, others: Demand) -> int:
    """Return how many slots of a target this entry may fill.

    Promised requests come first, and the rest is divided by demand. Numbers are
    rounded up, so that the sum may exceed the slots by less than one for each
    entry; the endpoints refuse what is too much.
    """
    if own.total + others.total <= usable_slots:
        return usable_slots
    promised = own.promised + others.promised
    covered = min(usable_slots / promised, 1) if promised else 0
    unpromised = own.total + others.total - promised
    fair = own.promised * covered
    if unpromised:
        left = usable_slots - promised * covered
        fair += left * (own.total - own.promised) / unpromised
    return min(max(math.ceil(fair), 1), usable_slots)
