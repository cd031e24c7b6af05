"""Section kinds of the configuration, with their keys and references."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.ini import values

TEAM = 'team'
MODEL = 'model'
VERSION = 'version'
PROMISE = 'promise'
SERVICE = 'service'
#: Kind of the sections that record which team owns a key; derived by the
#: publisher, never written by operators. Sorts after ``team``, so that a
#: rejection names the conflicting team section first.
KEY_OWNER = 'team-key'

#: Separates the kind from the name in a section's header.
SEPARATOR = ' '
#: Separates the team from the target in a promise's name.
TARGET_SEPARATOR = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key that sections of a kind may have."""

    value_type: values.ValueType[typing.Any]
    #: The default, as written in a file; ``None`` for a required key.
    default: str | None = None
    #: Kind of the section that the value refers to; empty for none.
    references: str = ''


KEYS_BY_KIND: dict[str, dict[str, Key]] = {
    TEAM: {
        'key_sha256': Key(values.SHA256),
        'class': Key(values.choice('interactive', 'batch'), 'interactive'),
    },
    MODEL: {
        'version': Key(values.NAME, references=VERSION),
        'wave': Key(values.PERCENTAGE, '25%'),
    },
    VERSION: {
        'model': Key(values.NAME, references=MODEL),
        'manifest': Key(values.SHA256),
    },
    PROMISE: {
        'concurrency': Key(values.POSITIVE),
        'first_token': Key(values.DURATION),
    },
    SERVICE: {
        'idempotent': Key(values.BOOLEAN, 'no'),
        'retry_after': Key(values.DURATION, '1s'),
    },
}


def kind_of(section: str) -> str:
    """Return the kind in a section's header."""
    return section.partition(SEPARATOR)[0]


def name_of(section: str) -> str:
    """Return the name in a section's header, without the kind."""
    return section.partition(SEPARATOR)[2]


def header(kind: str, name: str) -> str:
    """Return the header of a section of the given kind and name."""
    return f'{kind}{SEPARATOR}{name}'


def promise_parts(name: str) -> tuple[str, str]:
    """Split a promise's name into team and target."""
    team, _, target = name.partition(TARGET_SEPARATOR)
    return team, target


def is_name(kind: str, name: str) -> bool:
    """Return whether a name is valid for sections of the given kind."""
    parts = promise_parts(name) if kind == PROMISE else (name,)
    return all(_is_plain_name(part) for part in parts)


def _is_plain_name(name: str) -> bool:
    try:
        values.NAME.parse(name)
    except ValueError:
        return False
    return True
