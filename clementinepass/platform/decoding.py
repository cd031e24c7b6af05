"""Decode bodies and records that may come from any writer."""

from __future__ import annotations

import ipaddress
import re
import typing

import msgspec

from clementinepass import errors
from clementinepass.wire import addresses

#: Characters of an error that are kept: it may quote what was sent.
_MAX_ERROR_LENGTH = 200
#: Ids and names go into request heads, heartbeats and lines of the log.
_ID = re.compile('[!-~]{1,128}')
_IP_VERSION = 4
_MAX_INT32 = 2**31 - 1
_MAX_INT64 = 2**63 - 1

#: A number that counts things, from nothing on.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT32)]
#: A whole number that is at least one.
Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT32)]
#: A whole number that keeps growing.
Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
#: Milliseconds of Unix time.
UnixMilliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT64)]
#: Layers of a model; heartbeats carry 16 bits of them.
LayerNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

_T = typing.TypeVar('_T')


def decode(payload: bytes, body_type: type[_T], step: str, peer: str) -> _T:
    """Decode JSON of any origin.

    Failure: a record nested a hundred thousand deep in a field that nobody
    reads ended the reading of all records that came with it: the library
    reports that as a recursion error, not as malformed input.

    :raises MalformedMessageError: it is something else.
    """
    try:
        return msgspec.json.decode(payload, type=body_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise malformed_error(str(error), step, peer) from error


def check_id(text: str, step: str) -> None:
    """Check an id, which other processes and headers are to carry.

    :raises MalformedMessageError: it isn't short and printable.
    """
    if _ID.fullmatch(text) is None:
        raise malformed_error(f'{text!r} is no id', step, 'id')


def check_address(text: str, step: str) -> None:
    """Check an address that is to be connected to.

    :raises MalformedMessageError: it isn't ``host:port`` with the IP number,
        of version 4, of one machine.
    """
    try:
        address = addresses.Address.from_text(text)
    except errors.MalformedMessageError as error:
        raise malformed_error(error.detail, step, 'address') from error
    number = ipaddress.ip_address(address.host)
    is_unicast = not (
        number.is_unspecified or number.is_multicast or number.is_reserved
    )
    if number.version != _IP_VERSION or not is_unicast:
        raise malformed_error(f'{text!r} is no machine', step, 'address')


def malformed_error(
    detail: str,
    step: str,
    peer: str,
) -> errors.MalformedMessageError:
    """Return an error of bounded length."""
    return errors.MalformedMessageError(
        detail[:_MAX_ERROR_LENGTH],
        step=step,
        peer=peer[:_MAX_ERROR_LENGTH],
    )
