"""Decode what endpoints write of themselves."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import endpoints

if typing.TYPE_CHECKING:
    from clementinepass.direct import records

_DRAINING = 'draining'


class _Camel(msgspec.Struct, rename='camel'):
    """A body in the endpoints' spelling; unknown fields are passed over."""


class Model(_Camel):
    name: str
    version: int = 0


class Layers(msgspec.Struct, rename={'first': 'from', 'end': 'target'}):
    """Layers loaded: from the first up to, but without, the end."""

    first: int = 0
    end: int = 0
    version: int = 0


class _Entry(_Camel):
    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: str = 'ready'
    #: Grows with each heartbeat; says nothing of orders, unlike the field of
    #: the same name in a report.
    sequence: int = 0
    models: list[Model] = []
    layers: Layers | list[Layers] | None = None


def read(record: records.Record) -> endpoints.Listing | None:
    """Decode an endpoint's own record; ``None`` where it was removed.

    :raises MalformedMessageError: the record can't be decoded.
    """
    if record.payload is None:
        return None
    try:
        entry = msgspec.json.decode(record.payload, type=_Entry)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(
            str(error),
            step='decode',
            peer=f'endpoint record {record.key}',
        ) from error
    return endpoints.Listing(
        id=record.key,
        service=entry.service,
        address=entry.address,
        domain=entry.zone,
        slots=max(entry.slots, 1),
        draining=entry.state == _DRAINING,
        heartbeat=entry.sequence,
        weights=weights(entry.models, entry.layers),
    )


def weights(
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
