"""Decode the JSON settings file that the platform writes for each process.

The deploy file defines the file's content; its names are the platform's.
"""

from __future__ import annotations

import pathlib
import resource

import msgspec

from clementinepass import errors
from clementinepass.direct import node

#: Name of the environment variable that holds the file's path.
PATH_VARIABLE = 'CLEMENTINEPASS_SETTINGS'
_MS_PER_SECOND = 1000
_BYTES_PER_MEGABYTE = 1000000
_STEP = 'read settings'
#: Descriptors that are for files, so that sockets can't use them.
_FILE_DESCRIPTORS = 200
#: Sockets used in any case, so that a process with few descriptors serves.
_MIN_SOCKETS = 64


class _CamelStruct(msgspec.Struct, rename='camel'):
    """A JSON object with camel-case names; unknown fields are ignored."""


class _Listen(_CamelStruct):
    #: Address on which an entry accepts callers' requests.
    front: str = ''
    #: Address on which the platform probes readiness.
    ready: str = ''
    #: Address on which callers fetch the list of entries.
    directory: str = ''


class _Bounds(msgspec.Struct):
    """Bounds that the platform sets; names mix camel case and snake case."""

    #: Milliseconds after which an endpoint that announced its drain gets no
    #: requests.
    drainMs: float = 2000  # noqa: N815
    #: Milliseconds for which the bounds do not apply to a process that has
    #: started or whose links were disturbed.
    stableWindowMs: float = 3000  # noqa: N815
    #: Seconds from SIGTERM to SIGKILL.
    graceS: float = 8  # noqa: N815
    #: Retries per request, over all entries and in each window.
    budgetRatio: float = 0.2  # noqa: N815
    #: Length of that window in seconds.
    budgetWindowS: float = 10  # noqa: N815
    #: Retries in a window beyond that ratio, over all entries.
    budgetSlack: float = 100  # noqa: N815
    #: Milliseconds after which no request starts on an older version.
    version_ms: float = 8000
    #: Factor by which the requests to a cold endpoint in one second may exceed
    #: its rate, and the requests that may come on top of that.
    coldOverrun: float = 1  # noqa: N815
    coldSlack: float = 0  # noqa: N815
    #: Maximum number of seconds for which callers cache a list of entries.
    ttl_max_s: float = 5


class _Platform(_CamelStruct):
    address: str


class _Limits(_CamelStruct):
    #: Bandwidth of the machine's link in megabits per second.
    link_mbps: float = 1000
    #: Memory in megabytes above which the process is killed; 0 if not limited.
    memory_mb: float = 0
    #: Descriptors of the process; 0 for those that the kernel allows.
    max_fds: int = 0


class _Settings(_CamelStruct):
    node_name: str
    ip: str
    zone: str
    region: str
    platform: _Platform
    zones: dict[str, str] = {}
    listen: _Listen | None = None
    internal_ports: list[int] = []
    #: Addresses of other processes. Their ports belong to a kind of listener
    #: that this project does not use, so only the IP addresses matter.
    seeds: list[str] = []
    bounds: _Bounds | None = None
    limits: _Limits | None = None
    #: The address of the endpoint on this machine.
    app: str = ''
    service: str = ''


def read(path: str) -> node.Node:
    """Read the settings file.

    :raises SettingsError: the file is missing or malformed.
    """
    try:
        settings = msgspec.json.decode(
            pathlib.Path(path).read_bytes(),
            type=_Settings,
        )
    except (OSError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(
            str(error),
            file=path,
            line=0,
            key=_STEP,
        ) from error
    return _node(settings)


def _node(settings: _Settings) -> node.Node:
    listen = settings.listen or _Listen()
    ports = settings.internal_ports or [7700]
    limits = settings.limits or _Limits()
    return node.Node(
        name=settings.node_name,
        ip=settings.ip,
        domain=settings.zone,
        region=settings.region,
        regions_by_domain=settings.zones,
        first_port=ports[0],
        store=settings.platform.address,
        duties=_duties(settings.bounds or _Bounds()),
        callers=listen.front,
        readiness=listen.ready,
        directory=listen.directory,
        link_mbps=limits.link_mbps,
        memory_bytes=int(limits.memory_mb * _BYTES_PER_MEGABYTE),
        sockets=_sockets(limits.max_fds),
        endpoint=settings.app,
        service=settings.service,
        seeds=tuple(seed.rpartition(':')[0] for seed in settings.seeds),
    )


def _sockets(max_descriptors: int) -> int:
    """Return how many sockets the process may have open; 0 if not limited."""
    if not max_descriptors:
        max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if max_descriptors == resource.RLIM_INFINITY:
        return 0
    return max(max_descriptors - _FILE_DESCRIPTORS, _MIN_SOCKETS)


def _duties(bounds: _Bounds) -> node.SystemLimits:
    return node.SystemLimits(
        drain=bounds.drainMs / _MS_PER_SECOND,
        grace=bounds.graceS,
        budget_share=bounds.budgetRatio,
        budget_window=bounds.budgetWindowS,
        budget_surplus=bounds.budgetSlack,
        version=bounds.version_ms / _MS_PER_SECOND,
        settling=bounds.stableWindowMs / _MS_PER_SECOND,
        cold_overrun=bounds.coldOverrun,
        cold_slack=bounds.coldSlack,
        longest_offer=bounds.ttl_max_s,
    )
