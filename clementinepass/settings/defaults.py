"""The table of all settings, from which checks and reference derive.

Each section is a class and each key a field; a new key is one more field.
"""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.ini import values
from clementinepass.platform import protocols

_METADATA_KEY = 'setting'
#: What a key has in place of a default when it must be written.
REQUIRED = None


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """What the table says of one key."""

    value_type: values.ValueType[typing.Any]
    #: The default as a file would write it; ``REQUIRED`` for none.
    default: str | None
    description: str


def setting(
    value_type: values.ValueType[typing.Any],
    default: str | None,
    description: str,
) -> typing.Any:
    """Return a field for one key of a section."""
    declared_setting = Setting(value_type, default, description)
    return dataclasses.field(metadata={_METADATA_KEY: declared_setting})


def setting_of(field: dataclasses.Field[typing.Any]) -> Setting:
    """Return what the table says of a section's field."""
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
    """The process itself."""

    role: protocols.Role = setting(_ROLE, REQUIRED, 'What the process does.')
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
        'Where other processes of the system connect.',
    )
    metrics_listen: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Where metrics and health are served.',
    )
    drain_grace: float = setting(
        values.DURATION,
        # As long as the longest deadline that a request may have, so that a
        # graceful shutdown cuts off nothing.
        '10min',
        'How long a shutdown waits for requests in progress.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Addresses of the platform's services."""

    log: values.Address = setting(values.ADDRESS, REQUIRED, 'Log service.')
    instance_list: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Instance list.',
    )
    weight_store: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Weight store.',
    )
    origin: values.Address = setting(values.ADDRESS, REQUIRED, 'Origin.')
    timeout: float = setting(
        values.DURATION,
        '2s',
        'Longest silence of a service before a call to it fails.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """The HTTP interface for callers."""

    listen: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Where callers connect.',
    )
    threads: int = setting(
        values.POSITIVE,
        '440',
        'Threads that serve callers; more than streams, so that a refusal '
        'never waits behind them.',
    )
    streams: int = setting(
        values.POSITIVE,
        '400',
        'Most requests in progress at once.',
    )
    body_limit: int = setting(
        values.SIZE,
        '1MB',
        'Largest request body taken.',
    )
    max_age: float = setting(
        values.DURATION,
        '10s',
        'How long callers may keep the list of entries.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """The endpoint that the agent stands before."""

    kind: str = setting(_KIND, REQUIRED, 'What the endpoint is.')
    address: values.Address = setting(
        values.ADDRESS,
        REQUIRED,
        'Where the endpoint takes HTTP.',
    )
    serves: str = setting(
        values.NAME,
        REQUIRED,
        'Name of the model or service that it serves.',
    )
    capacity: int = setting(
        values.POSITIVE,
        '16',
        'Most requests that run at once.',
    )
    queue: int = setting(
        values.COUNT,
        '32',
        'Most requests that wait at the gate.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """Connections between processes of the system."""

    heartbeat: float = setting(
        values.DURATION,
        '1s',
        'Time between heartbeats.',
    )
    silence: float = setting(
        values.DURATION,
        '2s',
        'Silence after which a connection is given up.',
    )
    coalesce: float = setting(
        values.DURATION,
        '4ms',
        'Longest wait to send several frames in one message.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Weights:
    """Transfer of weights."""

    memory_limit: int = setting(
        values.SIZE,
        '8GB',
        'Memory set aside for weights.',
    )
    upload_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Most bytes a second sent to other agents; 0 for no limit.',
    )
    download_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Most bytes a second taken from other agents; 0 for no limit.',
    )
    origin_rate: int = setting(
        values.RATE,
        '0MB/s',
        'Most bytes a second that all agents together read from the origin; '
        '0 for no limit.',
    )
    yield_share: float = setting(
        values.PERCENTAGE,
        '90%',
        'Part of upload_rate used while requests are in progress.',
    )
    slice_bytes: int = setting(
        values.SIZE,
        '256KiB',
        'Most that one call between agents carries.',
    )
    downloads: int = setting(
        values.POSITIVE,
        '16',
        'Most chunks on their way from other agents at once.',
    )
    patience: float = setting(
        values.DURATION,
        '2s',
        'Wait for other agents before reading their part from the origin.',
    )
    stall_timeout: float = setting(
        values.DURATION,
        '3s',
        'Silence after which a call between agents has stalled.',
    )
    gather: float = setting(
        values.DURATION,
        '200ms',
        'Time for which new chunks are gathered before others are told.',
    )
    wave_patience: float = setting(
        values.DURATION,
        '30s',
        'Wait for a loading or stuck replica before the wave passes it.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Logging:
    """The daemon's own log."""

    level: str = setting(_LEVEL, 'INFO', 'Least severe level written.')
    format: str = setting(_FORMAT, 'text', 'How an event is written.')


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Snapshots of the configuration."""

    snapshot_every: int = setting(
        values.POSITIVE,
        '200',
        'Records after which an entry appends a snapshot.',
    )
    snapshot_age: float = setting(
        values.DURATION,
        '30min',
        'Age after which a snapshot is written anew; far below the time '
        'for which the log service keeps records.',
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SectionType:
    """One section of the table."""

    record: type[typing.Any]
    #: The roles whose settings have the section.
    roles: frozenset[protocols.Role]

    def settings_by_key(self) -> dict[str, Setting]:
        """Return the section's rows by key, in the table's order."""
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
