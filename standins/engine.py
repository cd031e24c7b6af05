"""Stand-in for a model engine, run as a program."""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import os
import threading
import time
import typing
import uuid

import cyclopts
import msgspec

from clementinepass.endpoints import protocols
from standins import batching, faults, http, tokens

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

_EVENTS = 'text/event-stream'
_MOST_TOKENS = 100_000
_CRASHED = 70
_MS_PER_SECOND = 1000
#: Threads for orders and status beside those for requests.
_SPARE_THREADS = 16
_ORDER_PATH = '/v1/weights'


class Fencing(enum.Enum):
    """Whether the engine heeds fencing numbers."""

    CHECK = 'check'
    IGNORE = 'ignore'


class RunsAnswer(msgspec.Struct, frozen=True):
    """How often each request was begun, by its id."""

    runs: dict[str, int]


class ServedBody(msgspec.Struct, frozen=True):
    """A version to serve from now on, without an order."""

    version: str
    digest: str


class StaleOrder(Exception):  # noqa: N818
    """An order's fencing number is older than one seen before."""


class Served:
    """The version that is served, and the fencing number behind it."""

    __slots__ = ('_batch', '_digest', '_fencing', '_lock', '_mode', '_version')

    def __init__(self, batch: batching.Batch, mode: Fencing) -> None:
        self._batch = batch
        self._mode = mode
        self._version = ''
        self._digest = ''
        self._fencing = 0
        self._lock = threading.Lock()

    def heed(self, fencing: int) -> None:
        """Note an order's number.

        :raises StaleOrder: a higher one has been seen.
        """
        if self._mode is Fencing.IGNORE:
            return
        with self._lock:
            if fencing < self._fencing:
                raise StaleOrder
            self._fencing = fencing

    def swap(self, version: str, digest: str) -> None:
        """Begin new requests on another version."""
        with self._lock:
            self._version = version
            self._digest = digest
            self._batch.serve(version)

    def status(self, load: batching.Load) -> protocols.EngineStatus:
        """Return what the engine says of itself."""
        with self._lock:
            return protocols.EngineStatus(
                version=self._version,
                digest=self._digest,
                fencing=self._fencing,
                running=load.running,
                waiting=load.waiting,
                capacity=self._batch.capacity,
            )


class LaggingLoad:
    """Load figures as they were some time ago.

    :param lag: seconds by which the figures lag.
    """

    __slots__ = ('_batch', '_lag', '_samples')

    def __init__(self, batch: batching.Batch, lag: float) -> None:
        self._batch = batch
        self._lag = lag
        self._samples: collections.deque[tuple[float, batching.Load]] = (
            collections.deque([(0, batching.Load(0, 0))])
        )

    def figures(self) -> batching.Load:
        """Return the newest figures that are old enough."""
        if not self._lag:
            return self._batch.load()
        due = time.monotonic() - self._lag
        while len(self._samples) > 1 and self._samples[1][0] <= due:
            self._samples.popleft()
        return self._samples[0][1]

    def start(self) -> None:
        """Take samples in a thread of their own."""
        if self._lag:
            threading.Thread(target=self._sample, daemon=True).start()

    def _sample(self) -> None:
        while True:
            self._samples.append((time.monotonic(), self._batch.load()))
            time.sleep(self._lag / 8)


class EngineHandlers:
    """The HTTP side of the engine."""

    __slots__ = (
        '_batch',
        '_board',
        '_crash_on',
        '_figures',
        '_load_seconds',
        'served',
    )

    def __init__(
        self,
        batch: batching.Batch,
        *,
        fencing: Fencing = Fencing.CHECK,
        load_seconds: float = 0,
        load_lag: float = 0,
        crash_on: str = '',
    ) -> None:
        self._batch = batch
        self._board = faults.FaultBoard()
        self._crash_on = crash_on
        self._figures = LaggingLoad(batch, load_lag)
        self._load_seconds = load_seconds
        #: The version that is served.
        self.served = Served(batch, fencing)

    def application(self) -> http.Application:
        """Start the steps and return the application with its routes."""
        self._batch.start()
        self._figures.start()
        return http.Application(
            (
                http.Route('POST', '/v1/completions', self._complete),
                http.Route('POST', '/v1/chat/completions', self._chat),
                http.Route('DELETE', '/v1/requests/{id}', self._cancel),
                http.Route('GET', '/v1/status', self._status),
                http.Route('GET', '/v1/runs', self._runs),
                http.Route('PUT', _ORDER_PATH, self._load),
                http.Route('POST', '/control/serve', self._serve),
            ),
            board=self._board,
        )

    def _complete(self, request: http.Request) -> http.Response:
        body = request.body()
        return self._run(
            request,
            msgspec.json.decode(body, type=tokens.CompletionBody),
        )

    def _chat(self, request: http.Request) -> http.Response:
        body = request.body()
        return self._run(
            request,
            msgspec.json.decode(body, type=tokens.ChatBody),
        )

    def _run(
        self,
        request: http.Request,
        body: tokens.CompletionBody | tokens.ChatBody,
    ) -> http.Response:
        """Let a request wait for its turn and answer with its tokens."""
        if self._crash_on and self._crash_on in body.text():
            os._exit(_CRASHED)
        if not 1 <= body.max_tokens <= _MOST_TOKENS:
            return http.answer_problem(400, 'max_tokens out of range')
        if not self.served.status(batching.Load(0, 0)).version:
            return http.answer_problem(503, 'no version is served')
        job = batching.Job(
            request_id=request.header('X-Request-Id') or uuid.uuid4().hex,
            count=body.max_tokens,
            priority=int(request.header('X-Priority', '0')),
        )
        if not self._batch.submit(job):
            headers = {'Retry-After': '1'}
            return http.answer_problem(429, 'queue full', headers=headers)
        if body.stream:
            return http.Response(self._stream(job, body), content_type=_EVENTS)
        return _whole(job, body)

    def _stream(
        self,
        job: batching.Job,
        body: tokens.CompletionBody | tokens.ChatBody,
    ) -> Iterator[bytes]:
        """Yield an event for each token; no end mark when cancelled."""
        try:
            yield from _events(job, body)
        except batching.JobCancelled:
            yield b'data: {"error":"cancelled"}\n\n'
            return
        finally:
            self._batch.give_up(job)
        yield tokens.frame(tokens.DONE)

    def _cancel(self, request: http.Request) -> http.Response:
        if self._batch.cancel(request.params['id']):
            return http.answer_bytes(b'{}')
        return http.answer_problem(404, 'no such request')

    def _status(self, request: http.Request) -> http.Response:
        status = self.served.status(self._figures.figures())
        return http.answer_json(status)

    def _runs(self, request: http.Request) -> http.Response:
        return http.answer_json(RunsAnswer(self._batch.runs_by_id()))

    def _serve(self, request: http.Request) -> http.Response:
        body = msgspec.json.decode(request.body(), type=ServedBody)
        self.served.swap(body.version, body.digest)
        return http.answer_json(body)

    def _load(self, request: http.Request) -> http.Response:
        """Take a whole version piece by piece, then serve it."""
        version = request.query('version')
        digest = request.query('digest')
        fencing = int(request.query('fencing', '0'))
        received = hashlib.sha256()
        try:
            self.served.heed(fencing)
        except StaleOrder:
            request.discard()
            return http.answer_problem(409, 'fencing number too old')
        for piece in request.pieces():
            received.update(piece)
        if received.hexdigest() != digest:
            return http.answer_problem(422, 'digest does not match')
        time.sleep(self._load_seconds)
        try:
            self.served.heed(fencing)
        except StaleOrder:
            return http.answer_problem(409, 'overtaken by a newer order')
        self._obey(request, version, digest)
        return http.answer_json(ServedBody(version, digest))

    def _obey(
        self,
        request: http.Request,
        version: str,
        digest: str,
    ) -> None:
        """Serve what was ordered, or something else where told to."""
        kinds = (faults.Kind.SERVE_OTHER,)
        if self._board.take(request.method, request.path, kinds) is None:
            self.served.swap(version, digest)
            return
        other = hashlib.sha256(digest.encode()).hexdigest()
        self.served.swap(f'{version}-other', other)


def _whole(
    job: batching.Job,
    body: tokens.CompletionBody | tokens.ChatBody,
) -> http.Response:
    """Wait for the last token and answer with the whole text."""
    try:
        collections.deque(job.tokens(), maxlen=0)
    except batching.JobCancelled:
        return http.answer_problem(409, 'cancelled')
    return http.answer_json(_rendering(job, body).whole())


def _events(
    job: batching.Job,
    body: tokens.CompletionBody | tokens.ChatBody,
) -> Iterator[bytes]:
    """Yield an event for each token."""
    rendering = None
    for index in job.tokens():
        # The version is known only from the first step on.
        rendering = rendering or _rendering(job, body)
        yield rendering.event(index)


def _rendering(
    job: batching.Job,
    body: tokens.CompletionBody | tokens.ChatBody,
) -> tokens.Rendering:
    return tokens.Rendering(
        request_id=job.request_id,
        prompt=body.text(),
        version=job.version,
        count=job.count,
        chat=isinstance(body, tokens.ChatBody),
    )


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(slots=True)
class Settings:
    """What the program is started with.

    :param step_ms: how long a step takes; each running request gets a token.
    :param capacity: how many requests run at once.
    :param waiting: how many requests may wait for their turn.
    :param fencing: whether orders with an old fencing number are refused.
    :param load_seconds: how long it takes to load a version.
    :param load_lag: seconds by which the load figures lag.
    :param crash_on: a text in a prompt that ends the process.
    :param serves: the version to serve from the start.
    :param digest: the digest of that version.
    :param threads: how many calls are served at once; 0 to fit.
    """

    step_ms: float = 7
    capacity: int = 16
    waiting: int = 64
    fencing: Fencing = Fencing.CHECK
    load_seconds: float = 0
    load_lag: float = 0
    crash_on: str = ''
    serves: str = ''
    digest: str = ''
    threads: int = 0


def main(
    *,
    listen: str = '127.0.0.1:0',
    settings: Settings | None = None,
) -> None:
    """Serve a model.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    """
    chosen = settings or Settings()
    handlers = EngineHandlers(
        batching.Batch(
            chosen.step_ms / _MS_PER_SECOND,
            chosen.capacity,
            chosen.waiting,
        ),
        fencing=chosen.fencing,
        load_seconds=chosen.load_seconds,
        load_lag=chosen.load_lag,
        crash_on=chosen.crash_on,
    )
    handlers.served.swap(chosen.serves, chosen.digest)
    fitting = chosen.capacity + chosen.waiting + _SPARE_THREADS
    threads = chosen.threads or fitting
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
