"""Decode what endpoints write of themselves.

Records may come from other writers.  One names an endpoint only if all that
the users' pages say of such a record is there and of its type; any other is
malformed, whatever else it holds.
"""

from __future__ import annotations

import typing

import msgspec

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints
from clementinepass.platform import decoding

if typing.TYPE_CHECKING:
    from clementinepass.direct import records

_STEP = 'decode'
_DRAINING = 'draining'
#: An address is an IP number, a colon and a port.
_MAX_ADDRESS_LENGTH = 21


class _CamelStruct(msgspec.Struct, rename='camel'):
    """A body in the endpoints' spelling; unknown fields are passed over."""


class Model(_CamelStruct):
    name: decoding.Name
    version: decoding.Count = 0


class Layers(msgspec.Struct, rename={'first': 'from', 'end': 'target'}):
    """Layers loaded: from the first up to, but without, the end."""

    first: decoding.LayerNumber = 0
    end: decoding.LayerNumber = 0
    version: decoding.Count = 0


class _EndpointRecord(_CamelStruct):
    service: decoding.Name
    address: typing.Annotated[str, msgspec.Meta(max_length=_MAX_ADDRESS_LENGTH)]
    zone: decoding.Name
    slots: decoding.Positive
    state: typing.Literal['ready', 'draining']
    #: Grows with each heartbeat of one start; says nothing of orders, unlike
    #: the field of the same name in a report.
    sequence: decoding.Counter
    #: Milliseconds of Unix time at its start; older writers don't tell it.
    born: decoding.UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET
    models: list[Model] = []
    layers: Layers | list[Layers] | None = None
    #: Of no use here; of another type they show another writer.
    version: str = ''
    cold_left_ms: float = 0


def read(record: records.Record) -> endpoints.Listing | None:
    """Decode an endpoint's own record; ``None`` where it was removed.

    :raises MalformedMessageError: the record names no endpoint.
    """
    if record.payload is None:
        return None
    decoding.check_id(record.key, _STEP)
    endpoint = decoding.decode(
        record.payload,
        _EndpointRecord,
        _STEP,
        f'endpoint record {record.key}',
    )
    decoding.check_address(endpoint.address, _STEP)
    return endpoints.Listing(
        id=record.key,
        service=endpoint.service,
        address=endpoint.address,
        domain=endpoint.zone,
        slots=endpoint.slots,
        draining=endpoint.state == _DRAINING,
        heartbeat=endpoint.sequence,
        weights=loaded_weights(endpoint.models, endpoint.layers),
        started_ms=start_time(endpoint.born),
        record_offset=record.offset,
    )


def start_time(born: int | msgspec.UnsetType) -> int:
    """Return when a process started, as far as it tells."""
    if isinstance(born, msgspec.UnsetType):
        return incarnations.UNKNOWN_START
    return born


def loaded_weights(
    models: list[Model],
    layers: Layers | list[Layers] | None,
) -> endpoints.Weights:
    """Return what weights an engine has loaded."""
    if isinstance(layers, list):
        layers = layers[0] if layers else None
    if layers is not None:
        return endpoints.Weights(layers.version, layers.first, layers.end)
    version = models[0].version if models else 0
    return endpoints.Weights(version, 0, 0)
