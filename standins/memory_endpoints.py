"""In-memory fakes of the endpoints, for tests without sockets."""

from __future__ import annotations

import collections
import hashlib
import threading
import typing

import msgspec

from clementinepass import errors
from clementinepass.endpoints import protocols
from standins import http, service, tokens

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_PEER = 'memory'
_JSON = 'application/json'
_EVENTS = 'text/event-stream'


class MemoryAnswer:
    """An answer that is made part by part as it is read."""

    __slots__ = ('_closed', '_parts', 'head')

    def __init__(
        self,
        parts: Iterable[bytes],
        status: int = 200,
        content_type: str = _JSON,
    ) -> None:
        #: Status and type.
        self.head = protocols.AnswerHead(status, content_type)
        self._parts = parts
        self._closed = False

    def parts(self) -> Iterator[bytes]:
        """Yield the body; fail once the answer was given up."""
        for part in self._parts:
            if self._closed:
                raise _failed('answer', errors.Execution.MAY_HAVE_RUN)
            yield part

    def close(self) -> None:
        """Give the answer up."""
        self._closed = True


class MemoryEndpoint:
    """Counts runs, and shows faults on demand."""

    __slots__ = ('failures', 'runs_by_id')

    def __init__(self) -> None:
        #: How often each request was run.
        self.runs_by_id: collections.Counter[str] = collections.Counter()
        #: What the next calls fail with, in order.
        self.failures: collections.deque[errors.Execution] = collections.deque()

    def is_healthy(self) -> bool:
        """Tell whether the endpoint answers at all."""
        return not self.failures

    def is_gone(self) -> bool:
        """Tell whether the next call would be refused."""
        refused = errors.Execution.NOT_RUN
        return bool(self.failures) and self.failures[0] is refused

    def _begin(self, request_id: str) -> None:
        """Count a run, or fail as ordered; only a refusal has no run."""
        failure = self.failures.popleft() if self.failures else None
        if failure is not errors.Execution.NOT_RUN:
            self.runs_by_id[request_id] += 1
        if failure is not None:
            raise _failed('call', failure)


class MemoryService(MemoryEndpoint):
    """A plain service that names the request it ran."""

    __slots__ = ()

    def call(self, call: protocols.Call) -> MemoryAnswer:
        """Run a request."""
        self._begin(call.request_id)
        answer = service.ServiceAnswer(
            method=call.method,
            path=call.path.partition('?')[0],
            request_id=call.request_id,
            run=self.runs_by_id[call.request_id],
            received=len(call.body),
        )
        return MemoryAnswer((msgspec.json.encode(answer),))

    def cancel(self, request_id: str) -> None:
        """Leave the request alone: plain services have no such order."""


class MemoryEngine(MemoryEndpoint):
    """A model engine whose tokens are made as they are read.

    :param checks_fencing: whether it refuses an order with an old number.
    """

    __slots__ = (
        '_checks_fencing',
        '_digest',
        '_fencing',
        '_running',
        '_version',
        'serves_other',
    )

    def __init__(self, *, checks_fencing: bool = True) -> None:
        super().__init__()
        self._checks_fencing = checks_fencing
        self._version = ''
        self._digest = ''
        self._fencing = 0
        self._running: dict[str, threading.Event] = {}
        #: How many of the next orders report success and are not obeyed.
        self.serves_other = 0

    def call(self, call: protocols.Call) -> MemoryAnswer:
        """Begin a request on the version that is served now."""
        try:
            body = _decode(call)
        except msgspec.MsgspecError as error:
            return _refusal(400, str(error))
        if not self._version:
            return _refusal(503, 'no version is served')
        self._begin(call.request_id)
        rendering = tokens.Rendering(
            request_id=call.request_id,
            prompt=body.text(),
            version=self._version,
            count=body.max_tokens,
            chat=isinstance(body, tokens.ChatBody),
        )
        if not body.stream:
            return MemoryAnswer((msgspec.json.encode(rendering.whole()),))
        cancelled = threading.Event()
        self._running[call.request_id] = cancelled
        return MemoryAnswer(
            self._stream(rendering, cancelled),
            content_type=_EVENTS,
        )

    def cancel(self, request_id: str) -> None:
        """Stop a request; unknown ones are ignored."""
        cancelled = self._running.get(request_id)
        if cancelled is not None:
            cancelled.set()

    def status(self) -> protocols.EngineStatus:
        """Read back what is served now."""
        return protocols.EngineStatus(
            version=self._version,
            digest=self._digest,
            fencing=self._fencing,
            running=len(self._running),
            waiting=0,
            capacity=16,
        )

    def load(
        self,
        version: str,
        digest: str,
        fencing: int,
        size: int,
        parts: Iterable[bytes],
    ) -> None:
        """Serve a version, if it is whole and the order is not too old."""
        if self._checks_fencing and fencing < self._fencing:
            raise errors.StaleOrderError(
                'fencing number too old',
                step='load',
                peer=_PEER,
            )
        content = b''.join(parts)
        if len(content) != size:
            raise errors.ManifestError(
                f'the weights are not {size} bytes long',
                step='load',
                peer=_PEER,
            )
        if hashlib.sha256(content).hexdigest() != digest:
            raise _failed('load', errors.Execution.MAY_HAVE_RUN)
        if self._checks_fencing:
            self._fencing = fencing
        if self.serves_other:
            self.serves_other -= 1
            return
        self._version = version
        self._digest = digest

    def _stream(
        self,
        rendering: tokens.Rendering,
        cancelled: threading.Event,
    ) -> Iterator[bytes]:
        """Yield an event for each token; fail when cancelled."""
        try:
            for index in range(rendering.count):
                if cancelled.is_set():
                    raise _failed('answer', errors.Execution.MAY_HAVE_RUN)
                yield rendering.event(index)
            yield tokens.frame(tokens.DONE)
        finally:
            self._running.pop(rendering.request_id, None)


def _decode(
    call: protocols.Call,
) -> tokens.CompletionBody | tokens.ChatBody:
    if call.path == '/v1/chat/completions':
        return msgspec.json.decode(call.body, type=tokens.ChatBody)
    return msgspec.json.decode(call.body, type=tokens.CompletionBody)


def _refusal(status: int, error: str) -> MemoryAnswer:
    encoded = msgspec.json.encode(http.Problem(error))
    return MemoryAnswer((encoded,), status=status)


def _failed(step: str, execution: errors.Execution) -> errors.EndpointError:
    return errors.EndpointError(
        'fault ordered',
        step=step,
        peer=_PEER,
        execution=execution,
    )
