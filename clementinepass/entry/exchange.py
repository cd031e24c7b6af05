"""One attempt as the entry sees it: from the agent's frames to the caller."""

from __future__ import annotations

import asyncio
import time
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.entry import outbox as outboxes
from clementinepass.requests import identity, outcome, streams

if typing.TYPE_CHECKING:
    from collections.abc import Callable


class Exchange:
    """Relay one attempt's answer.

    A streamed answer goes out part by part; any other is held until it is
    whole, so that a failure before its end can still be retried.

    :param on_gap: told the seconds between two parts of a stream.
    """

    def __init__(
        self,
        request: identity.Request,
        attempt: outcome.Attempt,
        outbox: outboxes.Outbox,
        on_gap: Callable[[identity.Request, float], None],
    ) -> None:
        #: The request being served.
        self.request = request
        #: What is known of the attempt.
        self.attempt = attempt
        #: What identifies the attempt.
        self.key = identity.AttemptKey(request.id, attempt.number)
        #: Puts the answer's frames in order and drops copies.
        self.reassembly = streams.Reassembly(request.id, attempt.number)
        #: Set once nothing more can change.
        self.finished = asyncio.Event()
        #: Set with the first piece of the answer.
        self.answering = asyncio.Event()
        #: Unix seconds at which the attempt was sent.
        self.sent_at = time.time()
        #: The crash that ended the attempt; empty for none.
        self.crash = ''
        #: Why the gate refused; empty where it did not.
        self.refusal = ''
        #: What went wrong, for the caller's problem.
        self.detail = ''
        #: The answer's head and body, for requests with a claim.
        self.head: outboxes.Head | None = None
        self._outbox = outbox
        self._on_gap = on_gap
        self._part_at: float = 0
        self._held: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Return the whole body of an answer that was not streamed."""
        return b''.join(self._held)

    def accept(self, frame: streams.Frame) -> streams.Arrival:
        """Take one frame; only the next in order reaches the caller."""
        arrival = self.reassembly.accept(frame)
        if arrival is streams.Arrival.TAKEN:
            self._take(frame)
        elif arrival is streams.Arrival.CONTRADICTION:
            self.detail = 'the answer contradicts itself'
            self.attempt.failed(errors.Execution.MAY_HAVE_RUN)
        self.settle()
        return arrival

    def settle(self) -> None:
        """Set :attr:`finished` if the attempt has come to its end."""
        if self.attempt.finished:
            self.finished.set()

    def _take(self, frame: streams.Frame) -> None:
        self.answering.set()
        if frame.kind is streams.FrameKind.HEAD:
            self._take_head(frame)
        elif frame.kind is streams.FrameKind.PART:
            self._take_part(frame.payload)
        elif frame.kind is streams.FrameKind.END:
            self._release()
            self.attempt.ended()
        else:
            self._take_failure(frame)

    def _take_head(self, frame: streams.Frame) -> None:
        self.attempt.head_seen()
        content_type = frame.payload.decode(errors='replace')
        self.head = outboxes.Head(frame.status, content_type)

    def _take_part(self, payload: bytes) -> None:
        if not self.request.stream:
            self._held.append(payload)
            return
        now = time.monotonic()
        if self.attempt.relayed:
            self._on_gap(self.request, now - self._part_at)
        self._part_at = now
        if not self.attempt.relayed and self.head is not None:
            self.attempt.relayed = True
            self._outbox.put(self.head)
        if not self._outbox.put(outboxes.Part(payload)):
            # A slow caller must not take the entry's memory; its stream ends
            # as truncated and the endpoint is told to stop.
            self.detail = 'the caller is gone or reads too slowly'
            self.attempt.given_up()

    def _release(self) -> None:
        if self.head is not None and not self.attempt.relayed:
            self.attempt.relayed = True
            self._outbox.put(self.head)
        if not self.request.stream:
            self._outbox.put_whole(self.body)

    def _take_failure(self, frame: streams.Frame) -> None:
        failure = frame.failure()
        self.detail = failure.detail
        self.crash = failure.crash
        self.attempt.failed(frame.execution, crashed=bool(failure.crash))
        logger.bind(
            request_id=frame.request_id,
            attempt=frame.attempt,
            team=self.request.team,
            peer=self.attempt.peer,
            step='answer',
        ).warning('attempt failed: {}', failure.detail)
