"""The table of all settings.

The checks of settings files and the reference page are derived from it.  Each
section is a class and each key a field, so a new key needs only a new field.
"""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.ini import values
from clementinepass.platform import protocols

_METADATA_KEY = 'setting'
#: The default of a key that must be set.
REQUIRED = None


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """The definition of one key."""

    value_type: values.ValueType[typing.Any]
    #: The default in the notation of settings files, or ``REQUIRED``.
    default: str | None
    description: str


def setting(
    value_type: values.ValueType[typing.Any],
    default: str | None,
    description: str,
) -> typing.Any:
    """Return the dataclass field for one key of a section."""
    declared_setting = Setting(value_type, default, description)
    return dataclasses.field(metadata={_METADATA_KEY: declared_setting})


def setting_of(field: dataclasses.Field[typing.Any]) -> Setting:
    """Return the definition of the key that belongs to a field."""
    return typing.cast(Setting, field.metadata[_METADATA_KEY])


ENTRY = frozenset((protocols.Role.ENTRY,))
AGENT = frozenset((protocols.Role.AGENT,))
BOTH = ENTRY | AGENT

_ROLE = values.ValueType(
    'one of entry, agent',
    'entry',
    protocols.Role,
)
_KIND = values.choice('engine', 'service')
_LEVEL = values.choice('DEBUG', 'INFO', 'WARNING', 'ERROR')
_FORMAT = values.choice('text', 'json')


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """The process."""

    role: protocols.Role = setting(_ROLE, REQUIRED, 'Role of the process.')
    id: str = setting(values.NAME, REQUIRED, 'Unique name of the instance.')
    region: str = setting(values.NAME, REQUIRED, 'Region of the instance.')
    failure_domain: str = setting(
        values.NAME,
        REQUIRED,
        'Failure domain of the instance.',
    )
    listen: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Address for other processes of the system.',
    )
    metrics_listen: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Address for metrics and health checks.',
    )
    drain_grace: float = setting(
        values.DURATION,
        # Equal to the longest deadline of a request, so that a graceful
        # shutdown cuts off no request.
        '10min',
        'Longest time for which a shutdown waits for requests in progress.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the platform's services."""

    log: values.Address = setting(
        values.ADDRESS, REQUIRED, 'Address of the log service.'
    )
    instance_list: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Address of the instance list.',
    )
    weight_store: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Address of the weight store.',
    )
    origin: values.Address = setting(
        values.ADDRESS, REQUIRED, 'Address of the origin.'
    )
    timeout: float = setting(
        values.DURATION,
        '2s',
        'Time without data after which a request to a service fails.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The HTTP interface for callers."""

    listen: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Address for callers.',
    )
    threads: int = setting(
        values.POSITIVE,
        '440',
        'Number of threads that serve callers; more than streams, so that a '
        'refusal never waits for a stream to end.',
    )
    streams: int = setting(
        values.POSITIVE,
        '400',
        'Maximum number of requests in progress.',
    )
    body_limit: int = setting(
        values.SIZE,
        '1MB',
        'Maximum size of a request body.',
    )
    max_age: float = setting(
        values.DURATION,
        '10s',
        'Time for which callers may cache the list of entries.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The endpoint beside which the agent runs."""

    kind: str = setting(_KIND, REQUIRED, 'Kind of the endpoint.')
    address: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'HTTP address of the endpoint.',
    )
    serves: str = setting(
        values.NAME,
        REQUIRED,
        'Name of the model or service that the endpoint serves.',
    )
    capacity: int = setting(
        values.POSITIVE,
        '16',
        'Maximum number of requests that run at once.',
    )
    queue: int = setting(
        values.COUNT,
        '32',
        'Maximum number of requests that wait at the gate.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Connections between processes of the system."""

    heartbeat: float = setting(
        values.DURATION,
        '1s',
        'Interval between heartbeats.',
    )
    silence: float = setting(
        values.DURATION,
        '2s',
        'Time without a message after which a connection is closed.',
    )
    coalesce: float = setting(
        values.DURATION,
        '4ms',
        'Longest delay of a frame in order to send several in one message.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Transfer of weights."""

    memory_limit: int = setting(
        values.SIZE,
        '8GB',
        'Memory reserved for weights.',
    )
    upload_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Maximum rate of sending to other agents; 0 for no limit.',
    )
    download_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Maximum rate of receiving from other agents; 0 for no limit.',
    )
    origin_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Maximum rate at which all agents together read from the origin; 0 '
        'for no limit.',
    )
    yield_share: float = setting(
        values.PERCENTAGE,
        '90%',
        'Share of upload_rate used while requests are in progress.',
    )
    slice_bytes: int = setting(
        values.SIZE,
        '256KiB',
        'Maximum payload of one call between agents.',
    )
    downloads: int = setting(
        values.POSITIVE,
        '16',
        'Maximum number of concurrent chunk downloads from other agents.',
    )
    patience: float = setting(
        values.DURATION,
        '2s',
        'Time to wait for other agents before reading their share from the '
        'origin.',
    )
    stall_timeout: float = setting(
        values.DURATION,
        '3s',
        'Time without data after which a call between agents has stalled.',
    )
    gather: float = setting(
        values.DURATION,
        '200ms',
        'Time for which new chunks are collected before they are announced.',
    )
    wave_patience: float = setting(
        values.DURATION,
        '30s',
        'Time for which a wave waits for a loading or stuck replica before '
        'skipping it.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Logging:
    """The log of the daemon."""

    level: str = setting(_LEVEL, 'INFO', 'Least severe level that is written.')
    format: str = setting(_FORMAT, 'text', 'Format of log lines.')


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Snapshots of the configuration."""

    snapshot_every: int = setting(
        values.POSITIVE,
        '200',
        'Number of records after which an entry appends a snapshot.',
    )
    snapshot_age: float = setting(
        values.DURATION,
        '30min',
        'Age at which a snapshot is written again; far below the retention '
        'time of the log service.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SectionType:
    """The definition of one section."""

    record: type[typing.Any]
    #: The roles whose settings contain the section.
    roles: frozenset[protocols.Role]

    def settings_by_key(self) -> dict[str, Setting]:
        """Return the definitions by key, in the order of the table."""
        return {
            field.name: setting_of(field)
            for field in dataclasses.fields(self.record)
        }


#: All sections by name, in the order of the reference page.
SECTIONS_BY_NAME = {
    'daemon': SectionType(Daemon, BOTH),
    'platform': SectionType(Platform, BOTH),
    'callers': SectionType(Callers, ENTRY),
    'endpoint': SectionType(Endpoint, AGENT),
    'peers': SectionType(Peers, BOTH),
    'weights': SectionType(Weights, AGENT),
    'logging': SectionType(Logging, BOTH),
    'configuration': SectionType(Configuration, ENTRY),
}
