"""Choose when an engine takes up a version that lies ready.

Load: all agents have a new version within the same second.  Harm: an engine
takes nothing new until what runs has ended, a second or more, and if all do
that together nobody serves.  So the engines take turns over the time that is
left until older versions may not be used; the turns go round the failure
domains.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds before that bound at which the last engine begins: it finishes what
#: runs, and loads, while the first ones serve the new version already.
_LAST_BEFORE = 1.0


class Peer(typing.NamedTuple):
    """An engine that takes up the version."""

    address: str
    domain: str


def delay(own: Peer, endpoints: Iterable[Peer], left: float) -> float:
    """Return the seconds until the own engine's turn.

    :param left: seconds until older versions may not be used.
    """
    ordered = _round_domains({own, *endpoints})
    if len(ordered) == 1:
        return 0
    window = max(left - _LAST_BEFORE, 0)
    return window * ordered.index(own) / (len(ordered) - 1)


def _round_domains(endpoints: Iterable[Peer]) -> list[Peer]:
    """Return engines so that neighbours are of different domains."""
    by_domain: dict[str, list[Peer]] = {}
    for endpoint in sorted(endpoints):
        by_domain.setdefault(endpoint.domain, []).append(endpoint)
    ranked: list[tuple[int, Peer]] = []
    for members in by_domain.values():
        ranked.extend(enumerate(members))
    return [member for _, member in sorted(ranked, key=_place_and_domain)]


def _place_and_domain(ranked: tuple[int, Peer]) -> tuple[int, str]:
    place, member = ranked
    return place, member.domain
