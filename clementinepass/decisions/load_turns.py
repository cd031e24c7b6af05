"""Choose when an engine loads a new version that its agent has ready.

All agents have a new version within the same second. An engine that is to load
it accepts no request until its running ones have finished, which takes a second
or more, and if all engines did so together none would serve. So the engines
take turns over the time that is left until older versions may not be used any
more, and consecutive turns are in different failure domains.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Seconds before older versions may not be used any more at which the last
#: engine begins its turn. It finishes its running requests and loads while the
#: first engines already serve the new version.
_LAST_LOAD_SECONDS = 1.0


class LoadingEngine(typing.NamedTuple):
    """An engine that is to load the version."""

    address: str
    domain: str


def turn_delay(
    local_engine: LoadingEngine,
    engines: Iterable[LoadingEngine],
    seconds_left: float,
) -> float:
    """Return the seconds until the turn of the local engine.

    :param engines: all engines that load the version.
    :param seconds_left: time until older versions may not be used any more.
    """
    ordered = _interleave_domains({local_engine, *engines})
    if len(ordered) == 1:
        return 0
    window = max(seconds_left - _LAST_LOAD_SECONDS, 0)
    return window * ordered.index(local_engine) / (len(ordered) - 1)


def _interleave_domains(
    engines: Iterable[LoadingEngine],
) -> list[LoadingEngine]:
    """Return engines ordered so that failure domains alternate."""
    by_domain: dict[str, list[LoadingEngine]] = {}
    for engine in sorted(engines):
        by_domain.setdefault(engine.domain, []).append(engine)
    ranked: list[tuple[int, LoadingEngine]] = []
    for domain_engines in by_domain.values():
        ranked.extend(enumerate(domain_engines))
    return [
        loading_engine
        for _, loading_engine in sorted(ranked, key=_position_and_domain)
    ]


def _position_and_domain(ranked: tuple[int, LoadingEngine]) -> tuple[int, str]:
    position, engine = ranked
    return position, engine.domain
