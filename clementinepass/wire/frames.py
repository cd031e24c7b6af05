"""Frames of answers, read from and written to Cap'n Proto."""

from __future__ import annotations

import typing

from clementinepass import errors
from clementinepass.requests import streams

if typing.TYPE_CHECKING:
    from collections.abc import Sequence


def read_frame(reader: typing.Any) -> streams.Frame:
    """Read one frame."""
    return streams.Frame(
        request_id=reader.requestId,
        attempt=reader.attempt,
        sequence=reader.sequence,
        kind=streams.FrameKind(str(reader.kind)),
        payload=bytes(reader.payload),
        status=reader.status,
        execution=errors.Execution(reader.execution),
    )


def write_frames(
    frames: Sequence[streams.Frame],
    builder: typing.Any,
) -> None:
    """Write frames into a list builder of the same length."""
    for index, frame in enumerate(frames):
        slot = builder[index]
        slot.requestId = frame.request_id
        slot.attempt = frame.attempt
        slot.sequence = frame.sequence
        slot.kind = frame.kind.value
        slot.payload = frame.payload
        slot.status = frame.status
        slot.execution = frame.execution.value
