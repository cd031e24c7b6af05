"""An endpoint as entries meet it on the direct path, with faults on demand.

Speaks what endpoints speak to callers: it runs only what is meant for it,
echoes each request's id and stamps its answers.  A stream is so many events;
what goes wrong, and when, is set by whoever plays with it.
"""

from __future__ import annotations

import asyncio
import enum
import typing

from clementinepass.http import front, limits, messages, replies
from standins import cold_start

HOST = '127.0.0.1'
_OK = 200
_ERROR = 500
_UNAVAILABLE = 503
_MISDIRECTED = 421
_EVENT_STREAM = (b'Content-Type', b'text/event-stream')
#: A forwarded head is longer than the caller's.
_LIMITS = limits.Bounds(header_bytes=65536)
#: Seconds between two bytes of an answer that arrives little by little.
_TRICKLE_SECONDS = 0.1
#: How often a block of an answer without end is written at once.
_ENDLESS_BLOCKS = 1000


class Fault(enum.Enum):
    """What goes wrong with a request."""

    #: Turned away before it runs.
    FULL = 'full'
    #: Turned away before it runs, and asks for a time without requests.
    PAUSE = 'pause'
    #: Turned away, as at an address that is another's now.
    ANOTHER = 'another'
    #: Turned away, as the weights have another version.
    OTHER_VERSION = 'other_version'
    #: Runs, and fails.
    ERROR = 'error'
    #: Runs, and the connection is reset before the answer.
    LOST = 'lost'
    #: Runs, and crashes the process: all connections are reset, and new ones
    #: are refused.
    CRASH = 'crash'
    #: Sends an event, and crashes the process.
    CRASH_MIDWAY = 'crash_midway'
    #: Sends the head of a stream, and crashes the process.
    CRASH_AFTER_HEAD = 'crash_after_head'
    #: Sends the head of an answer that ends with its connection, and crashes
    #: the process.
    CRASH_UNFRAMED = 'crash_unframed'
    #: The same, after a part of an event.
    CRASH_INSIDE_EVENT = 'crash_inside_event'
    #: Answers with neither a length nor chunks, and closes the connection.
    UNFRAMED = 'unframed'
    #: The same, and the process ends.
    ENDS_AFTER_ANSWER = 'ends_after_answer'
    #: Runs, and the connection ends inside the head of an empty answer.
    HALF_HEAD = 'half_head'
    #: Runs, and the stream is cut in the middle of an event.
    CUT = 'cut'
    #: Runs, and nothing comes.
    MUTE = 'mute'
    #: Answered without what marks an endpoint's answer.
    UNSTAMPED = 'unstamped'
    #: Answered with an encoding that nobody asked for.
    ENCODED = 'encoded'
    #: Skips an event.
    GAP = 'gap'
    #: Runs, and is silent before its answer until it is let go.
    SILENT = 'silent'
    #: Runs, and is silent before its first event until it is let go.
    SILENT_AFTER_HEAD = 'silent_after_head'
    #: Runs, and is silent after its first event until it is let go.
    SILENT_MIDWAY = 'silent_midway'
    #: Runs, and the head of the answer has no end.
    ENDLESS_HEAD = 'endless_head'
    #: Runs, and the trailers after the last chunk have no end.
    ENDLESS_TRAILERS = 'endless_trailers'
    #: Runs, and sends a stream of comments that has no end.
    ENDLESS_COMMENTS = 'endless_comments'
    #: Runs, and a plain answer arrives little by little.
    TRICKLE = 'trickle'


#: Number of the event before which an endpoint is silent.
_SILENT_BEFORE_EVENT: dict[Fault | None, int] = {
    Fault.SILENT_AFTER_HEAD: 0,
    Fault.SILENT_MIDWAY: 1,
}


#: Start of an answer that has no end, after its status line and the headers of
#: an endpoint, and what follows again and again.
_ENDLESS_ANSWERS: dict[Fault | None, tuple[bytes, bytes]] = {
    Fault.ENDLESS_HEAD: (b'', b'X-Filler: %b\r\n' % (b'a' * 52)),
    Fault.ENDLESS_TRAILERS: (
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-Filler: %b\r\n' % (b'a' * 52),
    ),
    Fault.ENDLESS_COMMENTS: (
        b'Content-Type: text/event-stream\r\n\r\n',
        b': a\n\n',
    ),
}


#: Faults of answers whose end is not marked.
_PARTIAL_ANSWERS = frozenset(
    (
        Fault.CRASH_AFTER_HEAD,
        Fault.CRASH_UNFRAMED,
        Fault.CRASH_INSIDE_EVENT,
        Fault.UNFRAMED,
        Fault.ENDS_AFTER_ANSWER,
    ),
)


class DirectEndpoint:
    """One endpoint.

    :param endpoint_id: the id that requests must name.
    :param events: events of each stream.
    """

    def __init__(self, endpoint_id: str, events: int = 3) -> None:
        self.id = endpoint_id
        self.events = events
        #: The ``Retry-After`` of requests that are turned away with a pause.
        self.retry_after = b'3'
        #: What each event has besides its number, and a plain answer at its
        #: end.
        self.filling = b''
        #: What goes wrong with the next requests, in order.
        self.faults: list[Fault] = []
        #: What goes wrong with a request by its id, one attempt after another.
        self.faults_by_request: dict[str, list[Fault]] = {}
        #: What goes wrong with each request by its body.
        self.faults_by_body: dict[bytes, Fault] = {}
        #: What goes wrong with each request by a part of its prompt; the last
        #: part is the request's own.
        self.faults_by_prompt_part: dict[bytes, Fault] = {}
        #: Ids of requests with what went wrong with them here.
        self.met: list[tuple[str, Fault]] = []
        #: Requests that ran.
        self.ran: list[messages.Request] = []
        #: Requests that came, those turned away included.
        self.came: list[messages.Request] = []
        #: Seconds after a crash for which connections are still accepted.
        self.seconds_listening_on: float = 0
        #: Bytes sent of answers that have no end.
        self.endless_bytes = 0
        #: Requests whose caller left while they ran.
        self.left = 0
        #: Streams wait here before each event while it isn't set.
        self.going = asyncio.Event()
        self.going.set()
        #: What silent requests wait for.
        self.let_go = asyncio.Event()
        #: Set when the process has crashed.
        self.crashed = asyncio.Event()
        self._crashing: asyncio.Task[None] | None = None
        self.port = 0
        #: Whether all answers say that the endpoint drains.
        self.is_draining = False
        #: The limit of requests a second that all answers name, if any.
        self.named_limit: bytes | None = None
        #: The version of the weights that all answers name, if any.
        self.weights_version: bytes | None = None
        #: What it takes while it is cold.
        self.cold = cold_start.ColdLimit()
        #: Milliseconds of Unix time of its start.
        self.born = 1
        #: Words of this start so far.
        self.heartbeat = 0
        self._front = front.Front(self._handle, lambda: _LIMITS)

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f'{HOST}:{self.port}'

    def entry(self, service: str, domain: str) -> dict[str, typing.Any]:
        """Return what the endpoint writes of itself into the list."""
        self.heartbeat += 1
        return {
            'service': service,
            'address': self.address,
            'zone': domain,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': self.heartbeat,
            'born': self.born,
        }

    async def crash(self) -> None:
        """End without a word; nobody listens at the address any more.

        The listening socket may be closed some time after the others.
        """
        self.crashed.set()
        if self.seconds_listening_on:
            for open_connection in list(self._front.connections):
                open_connection.abort_for_shutdown()
            await asyncio.sleep(self.seconds_listening_on)
        await self._front.close()

    async def restart(self) -> None:
        """Crash and start again under the same id and address.

        Connections to the start before are cut; its counts begin anew.
        """
        await self._front.close()
        self.is_draining = False
        self.named_limit = None
        self.born += 1
        self.heartbeat = 0
        self._front = front.Front(self._handle, lambda: _LIMITS)
        await self._front.listen(HOST, self.port)

    async def __aenter__(self) -> typing.Self:
        """Listen on a port of its own."""
        self.port = await self._front.listen(HOST, 0)
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Stop listening."""
        await self._front.close()

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        self.came.append(request)
        fault = self._fault(request)
        expected = request.headers.get(b'x-expect-instance')
        if fault is Fault.ANOTHER or expected != self.id.encode():
            pairs = [(b'X-Instance-Id', b'i-another')]
            reply.send(_MISDIRECTED, self._marked(request) + pairs, b'')
            return
        if fault is Fault.OTHER_VERSION:
            pairs = [(b'X-Instance-Id', self.id.encode())]
            reply.send(_MISDIRECTED, self._marked(request) + pairs, b'')
            return
        if self.cold.record(asyncio.get_running_loop().time()):
            await self._crash_by_request()
        if fault in {Fault.FULL, Fault.PAUSE}:
            pairs = [(b'X-Not-Executed', b'1')]
            if fault is Fault.PAUSE:
                pairs.append((b'Retry-After', self.retry_after))
            reply.send(_UNAVAILABLE, self._marked(request) + pairs, b'')
            return
        self.ran.append(request)
        try:
            await self._answer(request, reply, fault)
        except asyncio.CancelledError:
            self.left += 1
            raise

    def _fault(self, request: messages.Request) -> Fault | None:
        name = (request.headers.get(b'x-attempt-id') or b'').decode()
        lasting_fault = self.faults_by_body.get(request.body)
        if lasting_fault is not None:
            return lasting_fault
        for part in prompt_parts(request)[:-1]:
            lasting_fault = self.faults_by_prompt_part.get(part)
            if lasting_fault is not None:
                return lasting_fault
        faults = self.faults_by_request.get(name) or self.faults
        if not faults:
            return None
        fault = faults.pop(0)
        self.met.append((name, fault))
        return fault

    async def _answer(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        if fault in _ENDLESS_ANSWERS:
            await self._answer_without_end(request, reply, fault)
        if fault in {Fault.LOST, Fault.HALF_HEAD}:
            self._break_off(request, reply, fault)
        elif fault is Fault.CRASH:
            await self._crash_by_request()
        elif fault is Fault.MUTE:
            await asyncio.Event().wait()
        elif fault is Fault.ERROR:
            reply.send(_ERROR, self._marked(request), b'failed')
        else:
            await self._succeed(request, reply, fault)

    def _break_off(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        if fault is Fault.HALF_HEAD:
            pairs = [*self._marked(request), (b'Content-Length', b'0')]
            head = messages.encode_head(_OK, pairs)
            reply._connection.write(head.removesuffix(b'\r\n'))
        reply.abort()

    async def _answer_without_end(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        """Send bytes until the connection is closed, which ends this task."""
        connection = reply._connection
        head = messages.encode_head(_OK, self._marked(request))
        start, block = _ENDLESS_ANSWERS[fault]
        connection.write(head.removesuffix(b'\r\n') + start)
        while True:
            connection.write(block * _ENDLESS_BLOCKS)
            self.endless_bytes += len(block) * _ENDLESS_BLOCKS
            await connection.wait_writable()
            await asyncio.sleep(0)

    async def _crash_by_request(self) -> None:
        # The request's own task is cancelled with its connection.
        self._crashing = asyncio.create_task(self.crash())
        await asyncio.Event().wait()

    async def _answer_in_part(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        pairs = self._marked(request)
        body = b'by %b' % self.id.encode()
        if b'/stream/' in request.target:
            pairs.append(_EVENT_STREAM)
            body = b'id: 0\ndata: 0\n\n'
        connection = reply._connection
        if fault is Fault.CRASH_AFTER_HEAD:
            reply.start(_OK, pairs)
        else:
            connection.write(messages.encode_head(_OK, pairs))
        if fault in {Fault.UNFRAMED, Fault.ENDS_AFTER_ANSWER}:
            connection.write(body)
        if fault is Fault.CRASH_INSIDE_EVENT:
            connection.write(body[:-1])
        await asyncio.sleep(0.01)
        if fault is not Fault.UNFRAMED:
            await self._crash_by_request()
        reply.abort()

    async def _succeed(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        if fault is Fault.SILENT:
            await self.let_go.wait()
        if fault in _PARTIAL_ANSWERS:
            await self._answer_in_part(request, reply, fault)
        elif b'/stream/' in request.target:
            await self._stream(request, reply, fault)
        else:
            await self.going.wait()
            pairs = self._marked(request, fault)
            if fault is Fault.TRICKLE:
                await self._trickle(reply, pairs)
            else:
                text = b'by %b%b' % (self.id.encode(), self.filling)
                reply.send(_OK, pairs, text)

    async def _trickle(
        self, reply: replies.Reply, pairs: list[messages.Pair]
    ) -> None:
        reply.start(_OK, pairs)
        for byte in b'by %b' % self.id.encode():
            reply.write(bytes((byte,)))
            await asyncio.sleep(_TRICKLE_SECONDS)
        reply.end()

    async def _stream(
        self,
        request: messages.Request,
        reply: replies.Reply,
        fault: Fault | None,
    ) -> None:
        pairs = self._marked(request, fault)
        reply.start(_OK, [*pairs, _EVENT_STREAM])
        last = request.headers.get(b'last-event-id')
        first = 0 if last is None else int(last) + 1
        for number in range(first, self.events):
            await self.going.wait()
            if _SILENT_BEFORE_EVENT.get(fault) == number:
                await self.let_go.wait()
            if fault is Fault.GAP and number == 1:
                continue
            text = b'%d%b' % (number, self.filling)
            event = b'id: %d\ndata: %b\n\n' % (number, text)
            if fault is Fault.CUT and number == 1:
                reply.write(event[:-4])
                await asyncio.sleep(0)
                reply.abort()
                return
            reply.write(event)
            if fault is Fault.CRASH_MIDWAY:
                await asyncio.sleep(0.01)
                await self._crash_by_request()
        reply.end()

    def _marked(
        self,
        request: messages.Request,
        fault: Fault | None = None,
    ) -> list[messages.Pair]:
        pairs = [(b'X-Attempt-Id', request.headers.get(b'x-attempt-id') or b'')]
        if fault is not Fault.UNSTAMPED:
            pairs.append((b'X-Server-Stamp', b'stamp-%b' % self.id.encode()))
        if fault is Fault.ENCODED:
            pairs.append((b'Content-Encoding', b'gzip'))
        if self.is_draining:
            pairs.append((b'Server-Leaving', b'1'))
        if self.named_limit is not None:
            pairs.append((b'Server-Limit', self.named_limit))
        if self.weights_version is not None:
            pairs.append((b'X-Weight-Versions', self.weights_version))
        return pairs


def prompt_parts(request: messages.Request) -> list[bytes]:
    """Return the ids of the parts of a request's prompt, in order."""
    field = request.headers.get(b'x-prompt-prefix') or b''
    return [entry.partition(b':')[0] for entry in field.split(b',')]
