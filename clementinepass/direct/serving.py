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
_RETRY_AFTER_SECONDS = 0.4


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
    REJECTED = 'turned_away'
    #: The endpoint broke off or spoiled its answer.
    BROKEN = 'broken'
    #: The endpoint ran it and failed; its own answer is passed on.
    ENDPOINT_FAILED = 'endpoint_failed'
    #: The time that its caller gave it is over.
    DEADLINE = 'deadline'
    #: The time that its route gives it is over.
    ROUTE_TIMEOUT = 'route_time'
    #: The same while its caller had yet to read what was sent.
    SLOW_READER = 'slow_reader'
    #: This entry ends before the request would.
    DRAINING = 'leaving'
    #: A fault of this process.
    INTERNAL_ERROR = 'own_fault'


#: Endings of requests whose time is over, or that of the entry.
EXPIRED = frozenset(
    (
        Ending.DEADLINE,
        Ending.ROUTE_TIMEOUT,
        Ending.SLOW_READER,
        Ending.DRAINING,
    ),
)


class AttemptResult(enum.Enum):
    """What became of one attempt."""

    #: The caller has the whole answer.
    ANSWERED = 'answered'
    #: The endpoint did not run the request.
    NOT_RUN = 'not_run'
    #: It may have run; there is no answer, or only a part of it.
    BROKEN = 'broken'
    #: It ran and failed; the answer to that is whole.
    FAILED = 'failed'


class AttemptFailure(enum.Enum):
    """What became of an attempt that failed."""

    #: The endpoint said that it did not run it.
    REJECTED = 'turned_away'
    #: Another endpoint, or another version, was there; it did not run it.
    MISDIRECTED = 'misdirected'
    #: No connection was opened.
    UNREACHABLE = 'unreachable'
    #: The connection was reset, or the kernel gave it up.
    CONNECTION_LOST = 'lost'
    #: The endpoint ended the connection before its answer was whole.
    CONNECTION_CLOSED = 'ended'
    #: Nothing came for too long.
    SILENT = 'silent'
    #: What came was no answer, or none to this request.
    MALFORMED = 'spoilt'
    #: The engine took up weights when it cut its answer.
    ENGINE_LOADING = 'loading'
    #: It had not begun when the weights there were about to be too old.
    WEIGHTS_TOO_OLD = 'too_old'
    #: It ran, and failed.
    FAILED = 'failed'


class FailedAnswer(typing.NamedTuple):
    """An endpoint's whole answer that it failed."""

    status: int
    pairs: list[messages.Pair]
    body: bytes


class AdmittedRequest:
    """One admitted request.

    :param final_at: monotonic seconds by which the final answer is due.
    """

    __slots__ = (
        'attempts',
        'start_deadline',
        'attempt_started_at',
        'channel',
        'retry_decision',
        'call',
        'is_cut_short_by_drain',
        'failed_answer',
        'deadline',
        'retry_after',
        'first_event_at',
        'is_logged',
        'attempt_failures',
        'reply',
        'route',
        'service',
        'splitter',
        'team',
        'tried_endpoint_ids',
    )

    def __init__(
        self,
        call: calls.Call,
        reply: replies.Reply,
        route: routing.Route,
        service: routing.Service,
        team: routing.Team | None,
        deadline: float,
    ) -> None:
        self.call = call
        self.reply = reply
        self.route = route
        self.service = service
        self.team = team
        self.deadline = deadline
        #: Whether that is the time of this entry's own end.
        self.is_cut_short_by_drain = False
        self.attempts: list[outcome.Attempt] = []
        #: When the newest of them began, and its connection once it has one.
        self.attempt_started_at: float = 0
        self.channel: channel.Channel | None = None
        #: What became of those that failed, in order, and whether it was to
        #: be sent once more after the last of them.
        self.attempt_failures: list[AttemptFailure] = []
        self.retry_decision = ''
        #: Whether a line was written of it, so that one has to say its end.
        self.is_logged = False
        #: Endpoints that it was sent to.
        self.tried_endpoint_ids: set[str] = set()
        #: An endpoint's answer to fall back on.
        self.failed_answer: FailedAnswer | None = None
        #: When the first piece of the answer went to the caller.
        self.first_event_at: float | None = None
        #: Monotonic seconds by which the attempt must have begun, since the
        #: weights there are old.
        self.start_deadline = math.inf
        #: Seconds after which its caller may find room.
        self.retry_after = _RETRY_AFTER_SECONDS
        #: Follows the events of a stream over all attempts.
        self.splitter = events.EventSplitter(call.resume_after)

    @property
    def resume_after(self) -> int | None:
        """Return the last event that the caller has."""
        return self.splitter.last_id

    @property
    def ending_at_deadline(self) -> Ending:
        """Return whose time it is that is over at ``final_at``."""
        if self.is_cut_short_by_drain:
            return Ending.DRAINING
        if self.reply.is_blocked:
            return Ending.SLOW_READER
        caller_timeout = self.call.timeout_seconds
        if caller_timeout is not None and caller_timeout <= self.route.timeout:
            return Ending.DEADLINE
        return Ending.ROUTE_TIMEOUT

    def shorten_deadline(self, latest: float) -> bool:
        """Have it end by a time, as this entry does; tell if that is sooner."""
        if self.deadline <= latest:
            return False
        self.deadline = latest
        self.is_cut_short_by_drain = True
        return True

    def silent_seconds(self, now: float) -> float | None:
        """Return the seconds for which the endpoint has sent nothing.

        :returns: ``None`` if the request was sent to none.
        """
        if not self.attempts:
            return None
        last_activity_at = self.attempt_started_at
        if self.channel is not None:
            last_activity_at = max(
                last_activity_at, self.channel.last_received_at
            )
        return now - last_activity_at

    @property
    def run_count(self) -> int:
        """Return the attempts that ran, or may have."""
        return sum(
            attempt.execution is not errors.Execution.NOT_RUN
            for attempt in self.attempts
        )

    @property
    def has_not_run(self) -> bool:
        """Tell whether it is known that no endpoint ran the request."""
        return not self.run_count

    def start_attempt(self, endpoint_id: str) -> outcome.Attempt:
        """Begin another attempt."""
        attempt = outcome.Attempt(
            self.call.id,
            len(self.attempts) + 1,
            endpoint_id,
        )
        self.attempts.append(attempt)
        self.attempt_started_at = asyncio.get_running_loop().time()
        self.channel = None
        self.tried_endpoint_ids.add(endpoint_id)
        # What one endpoint left unfinished is no beginning of what the next
        # one sends.
        self.splitter = events.EventSplitter(self.splitter.last_id)
        return attempt
