"""Numbered frames of an answer: the sender's buffer, the receiver's order.

Neither side holds a lock; each is used by one task or under its owner's
lock.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import typing

import msgspec

from clementinepass import errors

#: Bytes of frames kept for a receiver that has not confirmed them.
DEFAULT_BUFFER_LIMIT = 1 << 20
_TOTAL_BYTES = 8


class FrameKind(enum.Enum):
    """What a frame carries."""

    HEAD = 'head'
    PART = 'part'
    END = 'end'
    FAILED = 'failed'


_CLOSING = frozenset((FrameKind.END, FrameKind.FAILED))


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the payload of a failed frame says."""

    detail: str
    #: The crash that the endpoint died of, the same for all requests in
    #: flight at that moment; empty when the endpoint lives.
    crash: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class Frame:
    """One numbered piece of an answer."""

    request_id: str
    attempt: int
    #: Contiguous from 0 for each attempt.
    sequence: int
    kind: FrameKind
    #: A head's content type, a part's bytes, an end's total of part bytes,
    #: a failed frame's :class:`Failure` as JSON.
    payload: bytes = b''
    #: A head's HTTP status.
    status: int = 0
    #: What a failed frame says of the execution.
    execution: errors.Execution = errors.Execution.MAY_HAVE_RUN

    def failure(self) -> Failure:
        """Return what a failed frame says.

        :raises MalformedMessageError: the payload can't be decoded.
        """
        try:
            return msgspec.json.decode(self.payload, type=Failure)
        except msgspec.MsgspecError as error:
            raise errors.MalformedMessageError(
                str(error),
                step='decode a failed frame',
                peer=self.request_id,
            ) from error


class StreamBuffer:
    """The sender's side: keep frames until the receiver has confirmed them.

    A receiver that confirms nothing for long, because its caller is slow or
    its connection silent, must not take the sender's memory: past ``limit``
    bytes the stream fails.  The frames already kept stay, then comes one
    failed frame, so the receiver sees a truncated answer and no gap.
    """

    __slots__ = (
        '_attempt',
        '_closed',
        '_first',
        '_frames',
        '_kept',
        '_limit',
        '_overflowed',
        '_request_id',
        '_total',
    )

    def __init__(
        self,
        request_id: str,
        attempt: int,
        limit: int = DEFAULT_BUFFER_LIMIT,
    ) -> None:
        self._request_id = request_id
        self._attempt = attempt
        self._limit = limit
        self._frames: collections.deque[Frame] = collections.deque()
        self._first = 0
        self._kept = 0
        self._total = 0
        self._closed = False
        self._overflowed = False

    @property
    def next(self) -> int:
        """Return the sequence number that the next frame will get."""
        return self._first + len(self._frames)

    @property
    def closed(self) -> bool:
        """Tell whether the last frame was appended."""
        return self._closed

    @property
    def overflowed(self) -> bool:
        """Tell whether the stream failed because its buffer was full.

        The owner then cancels the request at the endpoint.
        """
        return self._overflowed

    @property
    def drained(self) -> bool:
        """Tell whether the receiver has confirmed the last frame."""
        return self._closed and not self._frames

    def head(self, status: int, content_type: str) -> None:
        """Append the answer's head."""
        self._append(FrameKind.HEAD, content_type.encode(), status=status)

    def part(self, payload: bytes) -> None:
        """Append a piece of the answer's body."""
        if self._closed:
            return
        if self._kept + len(payload) > self._limit:
            self._overflowed = True
            self.fail(
                errors.Execution.MAY_HAVE_RUN,
                Failure('the receiver is too slow'),
            )
            return
        self._total += len(payload)
        self._append(FrameKind.PART, payload)

    def end(self) -> None:
        """Append the end mark with the total."""
        self._append(
            FrameKind.END,
            self._total.to_bytes(_TOTAL_BYTES, 'big'),
        )

    def fail(self, execution: errors.Execution, failure: Failure) -> None:
        """Append a failure as the last frame."""
        self._append(
            FrameKind.FAILED,
            msgspec.json.encode(failure),
            execution=execution,
        )

    def since(self, sequence: int) -> tuple[Frame, ...]:
        """Return the frames kept from ``sequence`` on.

        :raises StreamLostError: that frame was confirmed and dropped, or
            was never appended.
        """
        if not self._first <= sequence <= self.next:
            raise errors.StreamLostError(
                f'frame {sequence} is not kept',
                step='resume',
                peer=self._request_id,
            )
        skipped = sequence - self._first
        return tuple(
            frame
            for position, frame in enumerate(self._frames)
            if position >= skipped
        )

    def acknowledge(self, sequence: int) -> None:
        """Drop the frames below ``sequence``: the receiver has them."""
        while self._frames and self._first < sequence:
            self._kept -= len(self._frames.popleft().payload)
            self._first += 1

    def _append(
        self,
        kind: FrameKind,
        payload: bytes,
        *,
        status: int = 0,
        execution: errors.Execution = errors.Execution.MAY_HAVE_RUN,
    ) -> None:
        if self._closed:
            return
        frame = Frame(
            request_id=self._request_id,
            attempt=self._attempt,
            sequence=self.next,
            kind=kind,
            payload=payload,
            status=status,
            execution=execution,
        )
        self._frames.append(frame)
        self._kept += len(payload)
        self._closed = kind in _CLOSING


class Arrival(enum.Enum):
    """What became of a frame that arrived."""

    #: The next in order: relay it.
    TAKEN = 'taken'
    #: Dropped: it is here already, or the stream has ended.
    LATE = 'late'
    #: Dropped: another request's or another attempt's.
    FOREIGN = 'foreign'
    #: Dropped: frames before it are missing; resume from ``next``.
    GAP = 'gap'
    #: Dropped: the end mark's total is wrong, or the head is misplaced.
    CONTRADICTION = 'contradiction'


class StreamState(enum.Enum):
    """How an answer stands at the receiver."""

    OPEN = 'open'
    #: The whole answer is here.
    COMPLETE = 'complete'
    #: The sender said that there will be no more.
    FAILED = 'failed'
    #: Given up before the end.
    TRUNCATED = 'truncated'


class Reassembly:
    """The receiver's side: pass on each frame of one attempt once, in order.

    Frames after a gap aren't kept: the sender still has them, and resuming
    from :attr:`next` brings them again.
    """

    __slots__ = ('_attempt', '_next', '_request_id', '_state', '_total')

    def __init__(self, request_id: str, attempt: int) -> None:
        self._request_id = request_id
        self._attempt = attempt
        self._next = 0
        self._total = 0
        self._state = StreamState.OPEN

    @property
    def next(self) -> int:
        """Return the sequence number that is wanted next."""
        return self._next

    @property
    def state(self) -> StreamState:
        """Return how the answer stands."""
        return self._state

    def accept(self, frame: Frame) -> Arrival:
        """Judge a frame; only a taken one may reach the caller."""
        arrival = self._judge(frame)
        if arrival is Arrival.TAKEN:
            self._take(frame)
        elif arrival is Arrival.CONTRADICTION:
            # An answer that contradicts itself is never passed off as whole.
            self._state = StreamState.TRUNCATED
        return arrival

    def cut(self) -> None:
        """Give the answer up; it stays visible as truncated."""
        if self._state is StreamState.OPEN:
            self._state = StreamState.TRUNCATED

    def _judge(self, frame: Frame) -> Arrival:
        if not self._is_own(frame):
            return Arrival.FOREIGN
        if self._state is not StreamState.OPEN or frame.sequence < self._next:
            return Arrival.LATE
        if frame.sequence > self._next:
            return Arrival.GAP
        if self._contradicts(frame):
            return Arrival.CONTRADICTION
        return Arrival.TAKEN

    def _is_own(self, frame: Frame) -> bool:
        return (
            frame.request_id == self._request_id
            and frame.attempt == self._attempt
        )

    def _contradicts(self, frame: Frame) -> bool:
        if frame.kind is FrameKind.FAILED:
            return False
        is_head = frame.kind is FrameKind.HEAD
        if is_head != (self._next == 0):
            return True
        if frame.kind is not FrameKind.END:
            return False
        return int.from_bytes(frame.payload, 'big') != self._total

    def _take(self, frame: Frame) -> None:
        self._next += 1
        if frame.kind is FrameKind.PART:
            self._total += len(frame.payload)
        elif frame.kind is FrameKind.END:
            self._state = StreamState.COMPLETE
        elif frame.kind is FrameKind.FAILED:
            self._state = StreamState.FAILED


def parts(frames: typing.Iterable[Frame]) -> bytes:
    """Return the body that the frames' parts make up."""
    return b''.join(
        frame.payload for frame in frames if frame.kind is FrameKind.PART
    )
