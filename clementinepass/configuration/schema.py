"""Kinds of sections in the configuration, with their keys and references."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.ini import values

TEAM = 'team'
MODEL = 'model'
VERSION = 'version'
PROMISE = 'promise'
SERVICE = 'service'
#: Derived by the publisher, never written by operators: who owns a key.
#: Sorts after the team itself, so that a loser is told of the team first.
KEY_OWNER = 'team-key'

#: Separates kind and name in a section's header.
SEPARATOR = ' '
#: Separates team and target in a promise's name.
TARGET_SEPARATOR = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """One key of a kind of section."""

    value_type: values.ValueType[typing.Any]
    #: The default as a file would write it; ``None`` when required.
    default: str | None = None
    #: The kind of section that the value names; empty for none.
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
    """Return the kind that a section's header names."""
    return section.partition(SEPARATOR)[0]


def name_of(section: str) -> str:
    """Return the name that follows the kind in a section's header."""
    return section.partition(SEPARATOR)[2]


def header(kind: str, name: str) -> str:
    """Return a section's header from kind and name."""
    return f'{kind}{SEPARATOR}{name}'


def promise_parts(name: str) -> tuple[str, str]:
    """Return team and target of a promise's name."""
    team, _, target = name.partition(TARGET_SEPARATOR)
    return team, target


def is_name(kind: str, name: str) -> bool:
    """Tell whether a section of this kind may have this name."""
    parts = promise_parts(name) if kind == PROMISE else (name,)
    return all(_is_plain_name(part) for part in parts)


def _is_plain_name(name: str) -> bool:
    try:
        values.NAME.parse(name)
    except ValueError:
        return False
    return True
