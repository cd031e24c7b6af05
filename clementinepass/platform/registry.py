"""Decode the records that endpoints write about themselves.

The endpoints' topic is also open to other writers.  A record is accepted only
if all required fields of the endpoints' protocol are present and of the right
type; any other record is malformed, whatever else it contains.
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
_MS_PER_SECOND = 1000
#: Length of the longest IPv4 address with a colon and a port.
_MAX_ADDRESS_LENGTH = 21


class _CamelStruct(msgspec.Struct, rename='camel'):
    """A JSON body with camel-case names; unknown fields are ignored."""


class Model(_CamelStruct):
    name: decoding.Name
    version: decoding.Count = 0


class Layers(msgspec.Struct, rename={'first': 'from', 'end': 'target'}):
    """Half-open range of the loaded layers, and their version."""

    first: decoding.LayerNumber = 0
    end: decoding.LayerNumber = 0
    version: decoding.Count = 0


class _EndpointRecord(_CamelStruct):
    service: decoding.Name
    address: typing.Annotated[str, msgspec.Meta(max_length=_MAX_ADDRESS_LENGTH)]
    zone: decoding.Name
    slots: decoding.PositiveCount
    state: typing.Literal['ready', 'draining']
    #: Increases with each heartbeat since the endpoint's start. The field of
    #: the same name in an engine's report counts orders.
    sequence: decoding.Counter
    #: Unix time of the endpoint's start; older writers omit it.
    born: decoding.UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET
    models: list[Model] = []
    layers: Layers | list[Layers] | None = None
    #: Milliseconds for which the endpoint stays cold.
    cold_left_ms: decoding.Milliseconds = 0
    #: ``version`` is not used. It is declared since a value of another type
    #: shows that the record is not an endpoint's.
    version: str = ''


def decode_record(record: records.Record) -> endpoints.Listing | None:
    """Decode an endpoint's record; ``None`` if the record was removed.

    :raises MalformedMessageError: the record does not describe an endpoint.
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
        cold_left=endpoint.cold_left_ms / _MS_PER_SECOND,
    )


def start_time(born: int | msgspec.UnsetType) -> int:
    """Return a start in Unix milliseconds; ``UNKNOWN_START`` if omitted."""
    if isinstance(born, msgspec.UnsetType):
        return incarnations.UNKNOWN_START
    return born


def loaded_weights(
    models: list[Model],
    layers: Layers | list[Layers] | None,
) -> endpoints.Weights:
    """Return the weights that an engine has loaded.

    Of several ranges of layers, the first counts. Without layers, the version
    is that of the first model.
    """
    if isinstance(layers, list):
        layers = layers[0] if layers else None
    if layers is not None:
        return endpoints.Weights(layers.version, layers.first, layers.end)
    version = models[0].version if models else 0
    return endpoints.Weights(version, 0, 0)
