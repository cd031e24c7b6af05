"""Encode and decode the frames of responses as Cap'n Proto."""

from __future__ import annotations

import typing

from clementinepass import errors
from clementinepass.requests import streams

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Frame kinds in the order of the schema's enumeration.
_KINDS_BY_NUMBER = tuple(streams.FrameKind)


def read_frame(reader: typing.Any) -> streams.Frame:
    """Decode one frame.

    Nearly all frames are parts, thousands per second. Only the fields that a
    part uses are decoded for them.
    """
    kind = _KINDS_BY_NUMBER[reader.kind.raw]
    if kind is streams.FrameKind.PART:
        return streams.Frame(
            reader.requestId,
            reader.attempt,
            reader.sequence,
            kind,
            reader.payload,
        )
    return streams.Frame(
        request_id=reader.requestId,
        attempt=reader.attempt,
        sequence=reader.sequence,
        kind=kind,
        payload=reader.payload,
        status=reader.status,
        execution=errors.Execution(reader.execution),
    )


def write_frames(
    frames: Sequence[streams.Frame],
    builder: typing.Any,
) -> None:
    """Encode frames into a list builder of the same length."""
    for index, frame in enumerate(frames):
        slot = builder[index]
        slot.requestId = frame.request_id
        slot.attempt = frame.attempt
        slot.sequence = frame.sequence
        slot.kind = frame.kind.value
        slot.payload = frame.payload
        if frame.kind is not streams.FrameKind.PART:
            slot.status = frame.status
            slot.execution = frame.execution.value
