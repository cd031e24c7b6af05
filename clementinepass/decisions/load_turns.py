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
_LAST_LOAD_SECONDS = 1.0


class LoadingEngine(typing.NamedTuple):
    """An engine that takes up the version."""

    address: str
    domain: str


def delay(
    local_engine: LoadingEngine,
    engines: Iterable[LoadingEngine],
    seconds_left: float,
) -> float:
    """Return the seconds until the own engine's turn.

    :param left: seconds until older versions may not be used.
    """
    ordered = _interleave_domains({local_engine, *engines})
    if len(ordered) == 1:
        return 0
    window = max(seconds_left - _LAST_LOAD_SECONDS, 0)
    return window * ordered.index(local_engine) / (len(ordered) - 1)


def _interleave_domains(
    engines: Iterable[LoadingEngine],
) -> list[LoadingEngine]:
    """Return engines so that neighbours are of different domains."""
    by_domain: dict[str, list[LoadingEngine]] = {}
    for engine in sorted(engines):
        by_domain.setdefault(engine.domain, []).append(engine)
    ranked: list[tuple[int, LoadingEngine]] = []
    for domain_engines in by_domain.values():
        ranked.extend(enumerate(domain_engines))
    return [peer for _, peer in sorted(ranked, key=_position_and_domain)]


def _position_and_domain(ranked: tuple[int, LoadingEngine]) -> tuple[int, str]:
    position, engine = ranked
    return position, engine.domain
