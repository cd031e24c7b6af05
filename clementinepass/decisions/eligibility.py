"""Decide in which failure domains a request may run.

The operator restricts requests in two ways: routes and teams name the regions
in which their requests may run, as their contents must not leave them, and
failure domains are evacuated for maintenance. Both hold however little room is
left elsewhere, so that nothing here weighs them against load.
"""

from __future__ import annotations

import enum
import typing

#: The allowed regions of a request; ``None`` if it may run in any region, and
#: empty if it may run in none.
Regions = frozenset[str] | None


class Exclusion(enum.Enum):
    """Why a request may run at no endpoint of its service."""

    #: None is in a region where the request may run.
    REGION = 'region'
    #: All of those are in failure domains that are evacuated.
    EVACUATION = 'evacuation'


class Location(typing.NamedTuple):
    """Where an endpoint runs."""

    domain: str
    region: str


def common_regions(route_regions: Regions, team_regions: Regions) -> Regions:
    """Return the regions that both the route and the team allow.

    The result is empty if they have no region in common: the request may run
    nowhere then.
    """
    if route_regions is None:
        return team_regions
    if team_regions is None:
        return route_regions
    return route_regions & team_regions


def is_eligible(
    location: Location,
    allowed_regions: Regions,
    evacuated_domains: typing.Collection[str],
) -> bool:
    """Tell whether a request may be sent to an endpoint at a location."""
    if location.domain in evacuated_domains:
        return False
    return is_allowed_region(location.region, allowed_regions)


def exclusion(
    locations: typing.Iterable[Location],
    allowed_regions: Regions,
    evacuated_domains: typing.Collection[str],
) -> Exclusion | None:
    """Return why a request may run at none of some endpoints.

    :param locations: of the endpoints of a service.
    :returns: ``None`` if it may run at one, or if the service has none and the
        request is not restricted.
    """
    allowed = [
        location
        for location in locations
        if is_allowed_region(location.region, allowed_regions)
    ]
    if not allowed:
        return None if allowed_regions is None else Exclusion.REGION
    is_evacuated = all(
        location.domain in evacuated_domains for location in allowed
    )
    return Exclusion.EVACUATION if is_evacuated else None


def is_allowed_region(region: str, allowed_regions: Regions) -> bool:
    """Tell whether a request may run in a region."""
    return allowed_regions is None or region in allowed_regions
