"""Types of values, with units, in settings and configuration files."""

from __future__ import annotations

import dataclasses
import ipaddress
import re
import typing

T = typing.TypeVar('T')

_NUMBER = re.compile(r'([0-9]{1,12}(?:\.[0-9]{1,9})?) ?([A-Za-z%/]*)')
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,99}')
_SHA256 = re.compile('[0-9a-f]{64}')
_COUNT = re.compile('[0-9]{1,12}')
_MAX_PORT = 65535
_PERCENT = 100
_SECONDS_BY_UNIT = {'ms': 0.001, 's': 1, 'min': 60, 'h': 3600}
_BYTES_BY_UNIT = {
    'B': 1,
    'KB': 1000,
    'MB': 1000**2,
    'GB': 1000**3,
    'KiB': 1024,
    'MiB': 1024**2,
    'GiB': 1024**3,
}
_BYTES_PER_SECOND_BY_UNIT = {
    f'{unit}/s': factor for unit, factor in _BYTES_BY_UNIT.items()
}
_BOOLEAN_BY_WORD = {
    'yes': True,
    'true': True,
    'on': True,
    'no': False,
    'false': False,
    'off': False,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``, with brackets for IPv6."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class ValueType(typing.Generic[T]):
    """A type of values: its name, its notation and its parser."""

    #: The name of the type in pages and faults, such as ``a duration``.
    name: str
    #: An example of the notation.
    example: str
    #: Return the value of a text; raise ``ValueError`` if it is invalid.
    parse: typing.Callable[[str], T]

    def expected(self) -> str:
        """Return a phrase that describes the expected notation."""
        return f'expected {self.name} such as {self.example}'


def parse_address(text: str) -> Address:
    """Return the address in a text ``host:port``.

    Host names are rejected, as a lookup may block and its result may change.
    """
    host, _, port = text.rpartition(':')
    if not _COUNT.fullmatch(port) or int(port) > _MAX_PORT:
        raise ValueError('no valid port')
    bracketed = host.startswith('[') and host.endswith(']')
    parsed_host = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if bracketed != (parsed_host.version == 6):
        raise ValueError('brackets are for IPv6')
    return Address(str(parsed_host), int(port))


def choice(*options: str) -> ValueType[str]:
    """Return a type whose values are the given options."""
    return ValueType(
        f'one of {", ".join(options)}', options[0], _Choice(options)
    )


def _build_number_parser(
    units: dict[str, float],
) -> typing.Callable[[str], float]:
    def parse(text: str) -> float:
        match = _NUMBER.fullmatch(text)
        if match is None or match.group(2) not in units:
            raise ValueError('no number with a unit')
        return float(match.group(1)) * units[match.group(2)]

    return parse


def _build_integer_parser(
    units: dict[str, int],
) -> typing.Callable[[str], int]:
    parse_number = _build_number_parser({**units})

    def parse(text: str) -> int:
        return round(parse_number(text))

    return parse


def _build_pattern_parser(
    pattern: re.Pattern[str],
) -> typing.Callable[[str], str]:
    def parse(text: str) -> str:
        if pattern.fullmatch(text) is None:
            raise ValueError('does not match')
        return text

    return parse


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    options: tuple[str, ...]

    def __call__(self, text: str) -> str:
        if text not in self.options:
            raise ValueError('is none of the options')
        return text


def _parse_boolean(text: str) -> bool:
    if text not in _BOOLEAN_BY_WORD:
        raise ValueError('neither yes nor no')
    return _BOOLEAN_BY_WORD[text]


def _parse_count(text: str) -> int:
    return int(_build_pattern_parser(_COUNT)(text))


def _parse_positive(text: str) -> int:
    number = _parse_count(text)
    if number < 1:
        raise ValueError('below 1')
    return number


def _parse_percentage(text: str) -> float:
    fraction = _build_number_parser({'%': 1 / _PERCENT})(text)
    if not 0 < fraction <= 1:
        raise ValueError('outside 0% to 100%')
    return fraction


#: A time in seconds, written ``250ms``, ``4s``, ``2min`` or ``1h``.
DURATION = ValueType(
    'a duration', '250ms', _build_number_parser(_SECONDS_BY_UNIT)
)
#: A size in bytes, written ``64MB`` or ``64MiB``.
SIZE = ValueType('a size', '64MB', _build_integer_parser(_BYTES_BY_UNIT))
#: A rate in bytes a second, written ``100MB/s``.
RATE = ValueType(
    'a rate', '100MB/s', _build_integer_parser(_BYTES_PER_SECOND_BY_UNIT)
)
#: A share above 0 and up to 1, written ``25%``.
PERCENTAGE = ValueType('a percentage', '25%', _parse_percentage)
#: A whole number from 0.
COUNT = ValueType('a whole number', '16', _parse_count)
#: A whole number from 1.
POSITIVE = ValueType('a whole number from 1', '16', _parse_positive)
#: ``yes`` or ``no``.
BOOLEAN = ValueType('a boolean', 'yes', _parse_boolean)
#: An IP address and a port.
ADDRESS = ValueType('an IP address and port', '127.0.0.1:7000', parse_address)
#: A name of letters, digits, dots, dashes and underscores.
NAME = ValueType('a name', 'kigali-1', _build_pattern_parser(_NAME))
#: A SHA-256 digest in lower-case hexadecimal.
SHA256 = ValueType(
    'a SHA-256 in 64 lower-case hexadecimal digits',
    '9f86d081...',
    _build_pattern_parser(_SHA256),
)
