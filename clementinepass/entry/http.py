"""The HTTP interface for callers, on cheroot's threads."""

from __future__ import annotations

import concurrent.futures
import threading
import typing
import urllib.parse

import msgspec

from clementinepass import errors
from clementinepass.entry import (
    callers,
    direct,
    dispatcher,
    instruments,
    responses,
)
from clementinepass.entry import outbox as outboxes
from clementinepass.http import threaded
from clementinepass.requests import (
    claim_records,
    claims,
    identity,
    problem,
)

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from clementinepass import clock as clocks
    from clementinepass.entry import entry as entries
    from clementinepass.requests import claim_service
    from clementinepass.wire import bridge as bridges

#: Connections that the operating system holds until accepted.
_BACKLOG = 512
#: Seconds that a caller may take for its headers or between its requests.
_CALLER_TIMEOUT = 10
#: Seconds to wait beyond the deadline for the dispatcher's final word.
_MARGIN = 5.0
#: Seconds after which a caller refused for lack of a thread may ask again.
_FULL_RETRY = 1.0
#: Seconds that a request waits for its claim to be read back.
_CLAIM_PATIENCE = 3.0


class Limits(typing.NamedTuple):
    """Bounds of the interface."""

    #: Threads that serve callers.
    threads: int
    #: Most requests in progress; below the threads, so that a refusal finds
    #: a thread at once however many answers are being streamed.
    streams: int
    #: Bytes of a request's body.
    body: int
    #: Seconds for which callers may keep the list of entries.
    max_age: float


class _EntryAddress(msgspec.Struct, frozen=True):
    address: str
    failure_domain: str
    region: str


class _EntryList(msgspec.Struct, frozen=True):
    entries: tuple[_EntryAddress, ...]
    max_age: float


class CallersServer:
    """Serve callers over HTTP."""

    def __init__(
        self,
        host: str,
        port: int,
        app: App,
        limits: Limits,
    ) -> None:
        self._server = threaded.Server(
            'callers',
            (host, port),
            app,
            max_body_bytes=limits.body,
            numthreads=limits.threads,
            request_queue_size=_BACKLOG,
            timeout=_CALLER_TIMEOUT,
        )
        self._server.set_gateway(direct.Gateway)

    @property
    def port(self) -> int:
        """Return the port that was bound."""
        return self._server.port

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving; blocks, so not to be called on the event loop."""
        self._server.close()


class App:
    """The WSGI application; each request runs in one thread."""

    def __init__(
        self,
        entry: entries.Entry,
        bridge: bridges.Bridge,
        claimer: claim_service.ClaimService,
        limits: Limits,
        clock: clocks.Clock,
        metrics: instruments.Instruments,
    ) -> None:
        self._entry = entry
        self._bridge = bridge
        self._claimer = claimer
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._reader = callers.Reader(entry.id, clock)
        self._places = threading.BoundedSemaphore(limits.streams)
        self._lock = threading.Lock()
        self._in_progress = 0
        self._is_cut_off = False
        self._served_by_request: dict[
            str, concurrent.futures.Future[dispatcher.Served]
        ] = {}

    @property
    def in_progress(self) -> int:
        """Return the number of requests that were taken and not answered."""
        return self._in_progress

    def cut_off(self) -> None:
        """End all requests in progress; their callers are told."""
        with self._lock:
            self._is_cut_off = True
            for served in self._served_by_request.values():
                served.cancel()

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: responses.StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        responder = responses.Responder(
            start_response,
            environ[direct.ENVIRON_KEY],
            self._told,
        )
        caller = callers.CallerRequest(
            identity.new_request_id(),
            environ['REQUEST_METHOD'],
            _raw_path(environ),
            environ.get('QUERY_STRING', ''),
            _headers(environ),
            b'',
        )
        try:
            return self._route(environ, caller, responder)
        except callers.RefusedError as error:
            return responder.refuse(error.problem)

    def _route(
        self,
        environ: dict[str, typing.Any],
        caller: callers.CallerRequest,
        responder: responses.Responder,
    ) -> Iterable[bytes]:
        if caller.path == '/v1/entries':
            return self._list_entries(environ, caller, responder)
        if caller.path == '/v1/status':
            return self._show_status(responder)
        known = caller.path in callers.MODEL_PATHS
        if known or caller.path.startswith(callers.SERVICES_PREFIX):
            return self._serve(environ, caller, responder)
        raise self._reader.refused(
            caller,
            problem.Reason.UNKNOWN_TARGET,
            f'there is no {caller.path}',
            'path',
        )

    def _list_entries(
        self,
        environ: dict[str, typing.Any],
        caller: callers.CallerRequest,
        responder: responses.Responder,
    ) -> Iterable[bytes]:
        address = str(environ.get('REMOTE_ADDR', ''))
        name = f'{address} {caller.headers.get("authorization", "")}'
        ranked = self._entry.ranked_entries(name)
        if not ranked:
            # An entry that has not read the instance list yet. Callers would
            # keep an empty list and have nowhere to go.
            raise self._starting(caller)
        answer = _EntryList(
            tuple(
                _EntryAddress(one.address, one.failure_domain, one.region)
                for one in ranked
            ),
            self._limits.max_age,
        )
        age = f'max-age={int(self._limits.max_age)}'
        return responder.json(answer, ('Cache-Control', age))

    def _show_status(self, responder: responses.Responder) -> Iterable[bytes]:
        status = self._bridge.submit(_status(self._entry))
        return responder.json(status.result(_MARGIN))

    def _serve(
        self,
        environ: dict[str, typing.Any],
        caller: callers.CallerRequest,
        responder: responses.Responder,
    ) -> Iterable[bytes]:
        catalogue = self._entry.catalogue
        team = self._entry.team_of(callers.bearer_key(caller.headers))
        if team is not None:
            responder.sender = instruments.Sender(team.name)
        elif not self._entry.ready:
            # Without a configuration no key is known; "unauthorized" would
            # have callers with a good key give up for good.
            raise self._starting(caller)
        body = self._body(environ, caller)
        caller = msgspec.structs.replace(caller, body=body)
        request = self._reader.read(caller, catalogue, team)
        responder.sender = instruments.Sender.of(request)
        if not self._places.acquire(blocking=False):
            # Load: more requests than places. Harm: a refusal that waits for
            # a thread behind streams of half a minute. Threads beyond the
            # places exist only to say this at once.
            raise self._overloaded(request, problem.Reason.OVERLOADED)
        self._count(1)
        # Counted before the check: a drain that ended between the two would
        # not wait for the request.
        if not self._entry.leaving.accepts_requests(self._clock.now()):
            self._release()
            raise self._overloaded(request, problem.Reason.LEAVING)
        return self._serve_admitted(request, responder)

    def _count(self, change: int) -> None:
        with self._lock:
            self._in_progress += change

    def _release(self) -> None:
        self._count(-1)
        self._places.release()

    def _serve_admitted(
        self,
        request: identity.Request,
        responder: responses.Responder,
    ) -> Iterable[bytes]:
        began = self._clock.now()
        answer: Iterator[bytes] | None = None
        try:
            answer = self._answer(request, responder)
            first = next(answer, b'')
        except BaseException:
            self._release()
            raise
        return responses.Body(
            first, answer, lambda: self._ended(request, began)
        )

    def _ended(self, request: identity.Request, began: float) -> None:
        self._release()
        self._bridge.post(
            self._metrics.ended,
            request,
            self._clock.now() - began,
        )

    def _told(
        self,
        sender: instruments.Sender,
        final: problem.Problem,
    ) -> None:
        self._bridge.post(self._metrics.told, sender, final)

    def _answer(
        self,
        request: identity.Request,
        responder: responses.Responder,
    ) -> Iterator[bytes]:
        held = None
        if request.needs_claim:
            held = self._claimer.claim(
                request.team,
                request.idempotency_key,
                request.fingerprint(),
            )
            decision = self._claimer.decide(held, _CLAIM_PATIENCE)
            if decision.verdict is not claims.Verdict.RUN:
                yield from self._claimed(request, decision, responder)
                return
        yield from self._run(request, held, responder)

    def _claimed(
        self,
        request: identity.Request,
        decision: claims.Decision,
        responder: responses.Responder,
    ) -> Iterator[bytes]:
        if decision.answer is not None:
            kept = decision.answer
            yield responder.whole(
                request,
                outboxes.Head(kept.status, kept.content_type),
                kept.body,
            )
            return
        yield from responder.refuse(
            claims.problem_of(
                decision,
                request_id=request.id,
                peer=self._entry.id,
            ),
        )

    def _run(
        self,
        request: identity.Request,
        held: claim_service.Held | None,
        responder: responses.Responder,
    ) -> Iterator[bytes]:
        outbox = outboxes.Outbox()
        work = dispatcher.Work(request, self._permit(request, held))
        served = self._submit(work, outbox)
        if served is None:
            if held is not None:
                self._claimer.settle(held, errors.Execution.NOT_RUN)
            raise self._overloaded(request, problem.Reason.LEAVING)
        ended = False
        try:
            yield from self._relay(request, outbox, responder)
            ended = True
        finally:
            if not ended:
                # The caller went away in the middle of its answer; nobody
                # else waits for it.
                served.cancel()
            self._conclude(request, held, served)

    def _conclude(
        self,
        request: identity.Request,
        held: claim_service.Held | None,
        served: concurrent.futures.Future[dispatcher.Served],
    ) -> None:
        with self._lock:
            del self._served_by_request[request.id]
        if held is not None:
            self._settle(held, served)

    def _submit(
        self,
        work: dispatcher.Work,
        outbox: outboxes.Outbox,
    ) -> concurrent.futures.Future[dispatcher.Served] | None:
        """Have a request served; ``None`` once requests were cut off.

        A task that is cancelled before its first step could not end the answer.
        """
        with self._lock:
            if self._is_cut_off:
                return None
            served = self._bridge.submit(
                self._entry.dispatcher.serve(work, outbox),
            )
            self._served_by_request[work.request.id] = served
            return served

    def _permit(
        self,
        request: identity.Request,
        held: claim_service.Held | None,
    ) -> Callable[[], float]:
        if held is None:
            return lambda: request.deadline - self._clock.now()
        return lambda: self._claimer.may_dispatch(held)

    def _relay(
        self,
        request: identity.Request,
        outbox: outboxes.Outbox,
        responder: responses.Responder,
    ) -> Iterator[bytes]:
        head: outboxes.Head | None = None
        while True:
            left = request.deadline - self._clock.now() + _MARGIN
            event = self._next_event(request, outbox, max(left, _MARGIN))
            if isinstance(event, outboxes.Head):
                head = event
            elif isinstance(event, outboxes.Part):
                yield responder.part(request, head, event.payload)
                responder.hand_over(request, outbox)
            elif isinstance(event, outboxes.Rest):
                responder.write_rest(event.payload)
                responder.hand_over(request, outbox)
            else:
                yield from responder.end(
                    request,
                    head,
                    event.problem,
                    outbox.relayed,
                )
                return

    def _next_event(
        self,
        request: identity.Request,
        outbox: outboxes.Outbox,
        timeout: float,
    ) -> outboxes.Event:
        try:
            return outbox.get(timeout)
        except TimeoutError:
            # The dispatcher ends each request by its deadline; should it
            # ever fail to, the caller must still get a final answer.
            return outboxes.End(
                problem.Problem.of(
                    problem.Reason.INTERNAL,
                    errors.Execution.MAY_HAVE_RUN,
                    step='relay',
                    peer=self._entry.id,
                    request_id=request.id,
                ),
            )

    def _settle(
        self,
        held: claim_service.Held,
        served: concurrent.futures.Future[dispatcher.Served],
    ) -> None:
        try:
            result = served.result(_MARGIN)
        except (
            concurrent.futures.CancelledError,
            concurrent.futures.TimeoutError,
        ):
            self._claimer.settle(held, errors.Execution.MAY_HAVE_RUN)
            return
        answer = None
        exchange = result.exchange
        # A streamed answer went out as it came and is not held, so there is
        # nothing to keep: an empty body would pass for the answer.
        streamed = exchange is not None and exchange.request.stream
        if exchange is not None and exchange.head is not None and not streamed:
            answer = claim_records.kept(
                exchange.head.status,
                exchange.head.content_type,
                exchange.body,
            )
        self._claimer.settle(held, result.execution, answer)

    def _starting(
        self,
        caller: callers.CallerRequest,
    ) -> callers.RefusedError:
        return callers.RefusedError(
            problem.Problem.not_run(
                problem.Reason.STARTING,
                step='accept',
                peer=self._entry.id,
                request_id=caller.id,
                retry_after=_FULL_RETRY,
            ),
        )

    def _overloaded(
        self,
        request: identity.Request,
        reason: problem.Reason,
    ) -> callers.RefusedError:
        return callers.RefusedError(
            problem.Problem.not_run(
                reason,
                step='accept',
                peer=self._entry.id,
                request_id=request.id,
                retry_after=_FULL_RETRY,
            ),
        )

    def _body(
        self,
        environ: dict[str, typing.Any],
        caller: callers.CallerRequest,
    ) -> bytes:
        length = environ.get('CONTENT_LENGTH') or ''
        limit = self._limits.body
        if length.startswith('-'):
            # The server takes any integer; a negative one would read until
            # the caller closes, and then fail as a fault of ours.
            raise self._reader.refused(
                caller,
                problem.Reason.MALFORMED,
                'a length below zero',
                'Content-Length',
            )
        if length and int(length) > limit:
            raise self._too_large(caller)
        if not length and 'HTTP_TRANSFER_ENCODING' not in environ:
            return b''
        wanted = int(length) if length else limit + 1
        body: bytes = environ['wsgi.input'].read(wanted)
        if len(body) > limit:
            raise self._too_large(caller)
        if length and len(body) < wanted:
            # The caller was cut off while sending: half a dispatch must not
            # be filed as if it were the whole.
            raise self._reader.refused(
                caller,
                problem.Reason.MALFORMED,
                f'{len(body)} bytes of {wanted}',
                'body',
            )
        return body

    def _too_large(
        self,
        caller: callers.CallerRequest,
    ) -> callers.RefusedError:
        return self._reader.refused(
            caller,
            problem.Reason.BODY_TOO_LARGE,
            f'more than {self._limits.body} bytes',
            'body',
        )


class _Status(msgspec.Struct, frozen=True):
    entry: str
    revision: int
    leaving: bool
    in_progress: int
    entries: tuple[typing.Any, ...]
    agents: tuple[typing.Any, ...]


async def _status(entry: entries.Entry) -> _Status:
    return _Status(
        entry.id,
        entry.revision(),
        entry.leaving.is_announced,
        entry.in_progress,
        entry.view.entries(),
        entry.agent_status(),
    )


def _raw_path(environ: dict[str, typing.Any]) -> str:
    """Return the path as the caller wrote it.

    The server's own is unquoted: passed on, ``a%3Fb`` would become a query
    and ``%25`` be lost, and a service would see another request.
    """
    path, _, _ = str(environ['REQUEST_URI']).partition('?')
    if '://' in path:
        path = urllib.parse.urlsplit(path).path
    return path or '/'


def _headers(environ: dict[str, typing.Any]) -> dict[str, str]:
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers['content-type'] = content_type
    return headers
