"""HTTP plumbing shared by the stand-ins: routes, JSON answers, faults."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import http
import logging
import os
import re
import signal
import socket
import sys
import threading
import typing
import urllib.parse

import msgspec
from cheroot import wsgi

from standins import faults

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from types import FrameType, TracebackType

_CONNECTION = 'standins.connection'
_JSON = 'application/json'
_PIECE = 65536
_BACKLOG = 512
_CLIENT_TIMEOUT = 60
_DEFAULT_THREADS = 64
_CONTROL = '/control/'


class Listening(msgspec.Struct, frozen=True):
    """The line that a stand-in prints once it listens."""

    listening: str


class Problem(msgspec.Struct, frozen=True):
    """The body of an answer that is no success."""

    error: str


@dataclasses.dataclass(slots=True)
class Request:
    """One request, with its body still on the connection."""

    environ: dict[str, typing.Any]
    method: str
    path: str
    params: dict[str, str]

    def header(self, name: str, default: str = '') -> str:
        """Return a header's value."""
        key = 'HTTP_{0}'.format(name.upper().replace('-', '_'))
        return str(self.environ.get(key, default))

    def query(self, name: str, default: str = '') -> str:
        """Return a query argument's first value."""
        arguments = urllib.parse.parse_qs(self.environ['QUERY_STRING'])
        return arguments.get(name, [default])[0]

    def pieces(self) -> Iterator[bytes]:
        """Yield the body piece by piece.

        :raises ValueError: the body is shorter than its head says.
        """
        reader = self.environ['wsgi.input']
        missing = int(self.environ.get('CONTENT_LENGTH') or 0)
        while piece := reader.read(_PIECE):
            missing -= len(piece)
            yield piece
        # A sender that died in the middle of a body must not have its half
        # taken for the whole.
        if missing > 0:
            raise ValueError(f'{missing} bytes of the body are missing')

    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.pieces())

    def discard(self) -> None:
        """Read the body and keep nothing of it."""
        # A sender that died half-way has nothing more to be read.
        with contextlib.suppress(ValueError):
            collections.deque(self.pieces(), maxlen=0)

    def drop(self) -> None:
        """Close the connection under the request."""
        connection = self.environ[_CONNECTION]
        try:
            connection.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            """The other end was quicker."""


@dataclasses.dataclass(slots=True)
class Response:
    """One answer; without a length its body is sent in chunks."""

    parts: Iterable[bytes]
    status: int = 200
    content_type: str = _JSON
    length: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


type_handler = typing.Callable[[Request], Response]


class Route:
    """A method and a path such as ``/v1/chunks/{digest}``."""

    __slots__ = ('handler', 'method', 'pattern')

    def __init__(self, method: str, path: str, handler: type_handler) -> None:
        self.method = method
        self.pattern = re.compile(
            re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', path),
        )
        self.handler = handler


def answer_json(
    message: object,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> Response:
    """Answer with a message encoded as JSON."""
    return answer_bytes(
        msgspec.json.encode(message),
        status=status,
        headers=headers,
    )


def answer_bytes(
    content: bytes,
    status: int = 200,
    content_type: str = _JSON,
    headers: dict[str, str] | None = None,
) -> Response:
    """Answer with bytes as they are."""
    return Response(
        parts=[content],
        status=status,
        content_type=content_type,
        length=len(content),
        headers=headers or {},
    )


def answer_problem(
    status: int,
    error: str,
    headers: dict[str, str] | None = None,
) -> Response:
    """Answer with a failure that names its cause."""
    return answer_json(Problem(error), status=status, headers=headers)


class Application:
    """A WSGI application of routes, with faults in front of them."""

    __slots__ = ('_routes', 'board', 'fallback')

    def __init__(
        self,
        routes: Iterable[Route],
        fallback: type_handler | None = None,
        board: faults.FaultBoard | None = None,
    ) -> None:
        self._routes = [
            *routes,
            Route('POST', '/control/faults', self._set_faults),
        ]
        #: The faults in force.
        self.board = board or faults.FaultBoard()
        #: What handles a request that no route is for.
        self.fallback = fallback or _not_found

    def __call__(
        self,
        environ: dict[str, typing.Any],
        start_response: Callable[..., typing.Any],
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ['PATH_INFO']
        request = Request(environ, environ['REQUEST_METHOD'], path, {})
        response = self._respond(request)
        headers = [('Content-Type', response.content_type)]
        headers.extend(response.headers.items())
        if response.length is not None:
            headers.append(('Content-Length', str(response.length)))
        phrase = http.HTTPStatus(response.status).phrase
        start_response(f'{response.status} {phrase}', headers)
        return response.parts

    def _respond(self, request: Request) -> Response:
        """Answer a request, or show the fault that is in force for it."""
        if request.path.startswith(_CONTROL):
            return self._handle(request)
        if self.board.outage:
            request.discard()
            return answer_problem(503, 'outage')
        fault = self.board.take(request.method, request.path, faults.BEFORE)
        if fault is not None and fault.kind is not faults.Kind.DELAY:
            return self._fail_before(request, fault)
        if fault is not None:
            self.board.keep_silent(fault.seconds)
        response = self._handle(request)
        fault = self.board.take(request.method, request.path, _AFTER)
        if fault is None:
            return response
        return self._fail_after(request, response, fault)

    def _handle(self, request: Request) -> Response:
        """Find the route of a request and let it answer."""
        handler = self._find(request)
        try:
            return handler(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return answer_problem(400, str(error))

    def _find(self, request: Request) -> type_handler:
        for route in self._routes:
            match = route.pattern.fullmatch(request.path)
            if match and route.method == request.method:
                request.params = match.groupdict()
                return route.handler
        return self.fallback

    def _set_faults(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body(), type=faults.FaultOrder)
        self.board.apply(order)
        return answer_json(order)

    def _fail_before(self, request: Request, fault: faults.Fault) -> Response:
        """Fail a call that has had no effect."""
        request.discard()
        if fault.kind is faults.Kind.STATUS:
            return answer_problem(
                fault.status,
                'fault ordered',
                headers={'Retry-After': str(int(fault.seconds))},
            )
        if fault.kind is faults.Kind.SILENCE_BEFORE:
            self.board.keep_silent(fault.seconds)
        request.drop()
        return Response(parts=())

    def _fail_after(
        self,
        request: Request,
        response: Response,
        fault: faults.Fault,
    ) -> Response:
        """Spoil the answer of a call that has taken effect."""
        if fault.kind in {faults.Kind.DROP_AFTER, faults.Kind.SILENCE_AFTER}:
            _consume(response)
            if fault.kind is faults.Kind.SILENCE_AFTER:
                self.board.keep_silent(fault.seconds)
            request.drop()
            return Response(parts=())
        if fault.kind is faults.Kind.REPLACE:
            _consume(response)
            return answer_bytes(fault.body.encode(), status=response.status)
        if fault.kind is faults.Kind.CORRUPT:
            response.parts = map(_corrupt, response.parts)
        else:
            self._cut(request, response, fault)
        return response

    def _cut(
        self,
        request: Request,
        response: Response,
        fault: faults.Fault,
    ) -> None:
        """End the body of an answer before its end mark."""
        if fault.kind is faults.Kind.WRONG_LENGTH:
            whole = b''.join(response.parts)
            response.length = len(whole) + 1
            response.parts = self._cut_parts(request, [whole, b''], 1, fault)
            return
        response.parts = self._cut_parts(
            request,
            response.parts,
            fault.parts,
            fault,
        )

    def _cut_parts(
        self,
        request: Request,
        parts: Iterable[bytes],
        count: int,
        fault: faults.Fault,
    ) -> Iterator[bytes]:
        """Yield ``count`` parts, then close or fall silent."""
        for index, part in enumerate(parts):
            if index == count:
                break
            yield part
        if fault.kind is faults.Kind.STALL:
            self.board.keep_silent(fault.seconds)
        request.drop()


_AFTER = frozenset(faults.Kind) - faults.BEFORE - {faults.Kind.SERVE_OTHER}


def _not_found(request: Request) -> Response:
    request.discard()
    return answer_problem(404, f'nothing at {request.method} {request.path}')


def _consume(response: Response) -> None:
    """Produce a body that nobody receives."""
    for _ in response.parts:
        """The work behind each part has been done."""


def _corrupt(part: bytes) -> bytes:
    """Change the byte in the middle of a part."""
    middle = len(part) // 2
    changed = bytes(byte ^ 1 for byte in part[middle : middle + 1])
    return part[:middle] + changed + part[middle + 1 :]


class _Gateway(wsgi.Gateway_10):
    """Let the application reach the connection under a request."""

    def get_environ(self) -> typing.Any:
        """Return the environment with the connection added."""
        environ = super().get_environ()
        environ[_CONNECTION] = self.req.conn
        return environ


class _WsgiServer(wsgi.Server):
    """Report faults, but not each connection that was dropped."""

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Print what the HTTP server has to say of faults."""
        if level > logging.INFO:
            print(msg, file=sys.stderr, flush=True)


class Server:
    """Serve an application, in this thread or in one of its own."""

    __slots__ = ('_application', '_server', '_thread')

    def __init__(
        self,
        application: Application,
        listen: str = '127.0.0.1:0',
        threads: int = _DEFAULT_THREADS,
    ) -> None:
        host, _, port = listen.rpartition(':')
        self._application = application
        self._server = _WsgiServer(
            (host, int(port)),
            application,
            numthreads=threads,
            request_queue_size=_BACKLOG,
            timeout=_CLIENT_TIMEOUT,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._thread: threading.Thread | None = None

    def __enter__(self) -> Server:
        """Serve in a thread of its own."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop serving and release calls that are held silent."""
        self._application.board.release()
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    @property
    def address(self) -> str:
        """Where it listens, ``host:port``."""
        host, port = self._server.bind_addr[:2]
        return f'{host}:{port}'

    def run(self) -> None:
        """Print the address and serve until the process is told to end."""
        signal.signal(signal.SIGTERM, _end)
        signal.signal(signal.SIGINT, _end)
        self._server.prepare()
        line = msgspec.json.encode(Listening(self.address)).decode()
        print(line, flush=True)
        self._server.serve()


def _end(signum: int, frame: FrameType | None) -> None:
    """End at once: a stand-in keeps nothing that would have to be saved."""
    os._exit(0)
