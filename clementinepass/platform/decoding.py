"""Strict decoding of bodies and records from untrusted writers."""

from __future__ import annotations

import ipaddress
import re
import typing

import msgspec

from clementinepass import errors
from clementinepass.wire import addresses

#: Longest error text in characters; decoding errors may quote the input.
_MAX_ERROR_LENGTH = 200
#: Ids and names are copied into request heads, heartbeats and log lines.
_ID = re.compile('[!-~]{1,128}')
_IP_VERSION = 4
_MAX_INT32 = 2**31 - 1
_MAX_INT64 = 2**63 - 1

#: Non-negative 32-bit integer.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT32)]
#: Positive 32-bit integer.
PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT32)]
#: Non-negative 64-bit integer, for values that only increase.
Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
#: Unix time in milliseconds.
UnixMilliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT64)]
#: Milliseconds of up to a day.
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]
#: Number of a model's layer; heartbeats encode it in 16 bits.
LayerNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

_T = typing.TypeVar('_T')


def decode(payload: bytes, body_type: type[_T], step: str, peer: str) -> _T:
    """Decode JSON of any origin into ``body_type``.

    msgspec reports JSON nested 100,000 levels deep as a ``RecursionError``,
    also in a field that ``body_type`` does not have. Without catching it, one
    such record would stop the decoding of all records read with it.

    :raises MalformedMessageError: the payload is not JSON of ``body_type``.
    """
    try:
        return msgspec.json.decode(payload, type=body_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise malformed_error(str(error), step, peer) from error


def check_id(text: str, step: str) -> None:
    """Check that an id can be sent to other processes and in headers.

    :raises MalformedMessageError: the id is empty, longer than 128 characters
        or not printable ASCII.
    """
    if _ID.fullmatch(text) is None:
        raise malformed_error(f'{text!r} is not a valid id', step, 'id')


def check_address(text: str, step: str) -> None:
    """Check that a connection can be opened to an address.

    :raises MalformedMessageError: the address is not ``host:port`` with a
        unicast IPv4 address as the host.
    """
    try:
        address = addresses.Address.from_text(text)
    except errors.MalformedMessageError as error:
        raise malformed_error(error.detail, step, 'address') from error
    host_ip = ipaddress.ip_address(address.host)
    is_unicast = not (
        host_ip.is_unspecified or host_ip.is_multicast or host_ip.is_reserved
    )
    if host_ip.version != _IP_VERSION or not is_unicast:
        raise malformed_error(
            f'{text!r} is not a unicast IPv4 address', step, 'address'
        )


def malformed_error(
    detail: str,
    step: str,
    peer: str,
) -> errors.MalformedMessageError:
    """Return an error whose texts are truncated to a bounded length."""
    return errors.MalformedMessageError(
        detail[:_MAX_ERROR_LENGTH],
        step=step,
        peer=peer[:_MAX_ERROR_LENGTH],
    )
