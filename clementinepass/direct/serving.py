"""One admitted request on its way: what was tried and what came of it."""

from __future__ import annotations

import asyncio
import enum
import math
import typing

from clementinepass import errors
from clementinepass.direct import events
from clementinepass.requests import outcome

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, routing
    from clementinepass.http import channel, messages, replies


#: Seconds after which a caller may ask again when nothing says how long it
#: will take: an entry that starts knows its configuration by then.
_COME_BACK = 0.4


class Ending(enum.Enum):
    """Why a request gets an answer of the system's own, or none."""

    #: No configuration is known yet.
    STARTING = 'starting'
    MALFORMED = 'malformed'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    #: It would wait too long.
    OVERLOAD = 'overload'
    #: The configuration sends it to a service that it lacks.
    NO_SERVICE = 'no_service'
    #: No endpoint of its service is there, or all of them are leaving.
    NO_ENDPOINT = 'no_endpoint'
    #: Endpoints are there, and none has whole weights that may be used.
    NO_WEIGHTS = 'no_weights'
    #: All endpoints that were tried turned it away.
    TURNED_AWAY = 'turned_away'
    #: The endpoint broke off or spoiled its answer.
    BROKEN = 'broken'
    #: The endpoint ran it and failed; its own answer is passed on.
    ENDPOINT_FAILED = 'endpoint_failed'
    #: The time that its caller gave it is over.
    DEADLINE = 'deadline'
    #: The time that its route gives it is over.
    ROUTE_TIME = 'route_time'
    #: The same while its caller had yet to read what was sent.
    SLOW_READER = 'slow_reader'
    #: This entry ends before the request would.
    LEAVING = 'leaving'
    #: A fault of this process.
    OWN_FAULT = 'own_fault'


#: Endings of requests whose time is over, or that of the entry.
LATE = frozenset(
    (
        Ending.DEADLINE,
        Ending.ROUTE_TIME,
        Ending.SLOW_READER,
        Ending.LEAVING,
    ),
)


class Tried(enum.Enum):
    """What became of one attempt."""

    #: The caller has the whole answer.
    ANSWERED = 'answered'
    #: The endpoint did not run the request.
    NOT_RUN = 'not_run'
    #: It may have run; there is no answer, or only a part of it.
    BROKEN = 'broken'
    #: It ran and failed; the answer to that is whole.
    FAILED = 'failed'


class Outcome(enum.Enum):
    """What became of an attempt that failed."""

    #: The endpoint said that it did not run it.
    TURNED_AWAY = 'turned_away'
    #: Another endpoint, or another version, was there; it did not run it.
    MISDIRECTED = 'misdirected'
    #: No connection was opened.
    UNREACHABLE = 'unreachable'
    #: The connection was reset, or the kernel gave it up.
    LOST = 'lost'
    #: The endpoint ended the connection before its answer was whole.
    ENDED = 'ended'
    #: Nothing came for too long.
    SILENT = 'silent'
    #: What came was no answer, or none to this request.
    SPOILT = 'spoilt'
    #: The engine took up weights when it cut its answer.
    LOADING = 'loading'
    #: It had not begun when the weights there were about to be too old.
    TOO_OLD = 'too_old'
    #: It ran, and failed.
    FAILED = 'failed'


class Failure(typing.NamedTuple):
    """An endpoint's whole answer that it failed."""

    status: int
    pairs: list[messages.Pair]
    body: bytes


class Serving:
    """One admitted request.

    :param final_at: monotonic seconds by which the final answer is due.
    """

    __slots__ = (
        'attempts',
        'begin_by',
        'begun_at',
        'channel',
        'decision',
        'call',
        'ends_early',
        'failure',
        'final_at',
        'come_back',
        'first_event_at',
        'noted',
        'outcomes',
        'reply',
        'route',
        'service',
        'splitter',
        'team',
        'tried_ids',
    )

    def __init__(
        self,
        call: calls.Call,
        reply: replies.Reply,
        route: routing.Route,
        service: routing.Service,
        team: routing.Team | None,
        final_at: float,
    ) -> None:
        self.call = call
        self.reply = reply
        self.route = route
        self.service = service
        self.team = team
        self.final_at = final_at
        #: Whether that is the time of this entry's own end.
        self.ends_early = False
        self.attempts: list[outcome.Attempt] = []
        #: When the newest of them began, and its connection once it has one.
        self.begun_at: float = 0
        self.channel: channel.Channel | None = None
        #: What became of those that failed, in order, and whether it was to
        #: be sent once more after the last of them.
        self.outcomes: list[Outcome] = []
        self.decision = ''
        #: Whether a line was written of it, so that one has to say its end.
        self.noted = False
        #: Endpoints that it was sent to.
        self.tried_ids: set[str] = set()
        #: An endpoint's answer to fall back on.
        self.failure: Failure | None = None
        #: When the first piece of the answer went to the caller.
        self.first_event_at: float | None = None
        #: Monotonic seconds by which the attempt must have begun, since the
        #: weights there are old.
        self.begin_by = math.inf
        #: Seconds after which its caller may find room.
        self.come_back = _COME_BACK
        #: Follows the events of a stream over all attempts.
        self.splitter = events.Splitter(call.resume_after)

    @property
    def resume_after(self) -> int | None:
        """Return the last event that the caller has."""
        return self.splitter.last

    @property
    def late(self) -> Ending:
        """Return whose time it is that is over at ``final_at``."""
        if self.ends_early:
            return Ending.LEAVING
        if self.reply.is_blocked:
            return Ending.SLOW_READER
        patience = self.call.patience
        if patience is not None and patience <= self.route.timeout:
            return Ending.DEADLINE
        return Ending.ROUTE_TIME

    def end_by(self, when: float) -> bool:
        """Have it end by a time, as this entry does; tell if that is sooner."""
        if self.final_at <= when:
            return False
        self.final_at = when
        self.ends_early = True
        return True

    def silent(self, now: float) -> float | None:
        """Return the seconds for which the endpoint has sent nothing.

        :returns: ``None`` if the request was sent to none.
        """
        if not self.attempts:
            return None
        since = self.begun_at
        if self.channel is not None:
            since = max(since, self.channel.last_received_at)
        return now - since

    @property
    def runs(self) -> int:
        """Return the attempts that ran, or may have."""
        return sum(
            attempt.execution is not errors.Execution.NOT_RUN
            for attempt in self.attempts
        )

    @property
    def not_run(self) -> bool:
        """Tell whether it is known that no endpoint ran the request."""
        return not self.runs

    def begin_attempt(self, endpoint_id: str) -> outcome.Attempt:
        """Begin another attempt."""
        attempt = outcome.Attempt(
            self.call.id,
            len(self.attempts) + 1,
            endpoint_id,
        )
        self.attempts.append(attempt)
        self.begun_at = asyncio.get_running_loop().time()
        self.channel = None
        self.tried_ids.add(endpoint_id)
        # What one endpoint left unfinished is no beginning of what the next
        # one sends.
        self.splitter = events.Splitter(self.splitter.last)
        return attempt
