"""The state of an admitted request: its attempts and their results."""

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


#: Default of ``Retry-After`` in seconds. An entry that is starting has its
#: configuration by then.
_RETRY_AFTER_SECONDS = 0.4


class Ending(enum.Enum):
    """Why a request gets no successful answer of an endpoint.

    The values stand in log lines and metrics and keep their names.
    """

    #: The entry has no configuration yet.
    STARTING = 'starting'
    MALFORMED = 'malformed'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    #: The request would wait too long in every queue.
    OVERLOAD = 'overload'
    #: The route names a service that is missing in the configuration.
    NO_SERVICE = 'no_service'
    #: The service has no endpoints, or all of them are draining.
    NO_ENDPOINT = 'no_endpoint'
    #: The service has endpoints, but none with complete weights of a version
    #: that may be used.
    NO_WEIGHTS = 'no_weights'
    #: Every endpoint that was tried rejected the request.
    REJECTED = 'turned_away'
    #: The answer of the endpoint was cut off or malformed.
    BROKEN = 'broken'
    #: The endpoint ran the request and failed; its answer is forwarded.
    ENDPOINT_FAILED = 'endpoint_failed'
    #: The timeout set by the caller has expired.
    DEADLINE = 'deadline'
    #: The timeout of the route has expired.
    ROUTE_TIMEOUT = 'route_time'
    #: A timeout has expired while the caller had not read what was sent.
    SLOW_READER = 'slow_reader'
    #: The entry shuts down before the request would end.
    DRAINING = 'leaving'
    #: An unexpected exception in this process.
    INTERNAL_ERROR = 'own_fault'


#: Endings of requests whose deadline has passed.
EXPIRED = frozenset(
    (
        Ending.DEADLINE,
        Ending.ROUTE_TIMEOUT,
        Ending.SLOW_READER,
        Ending.DRAINING,
    ),
)


class AttemptResult(enum.Enum):
    """The result of one attempt."""

    #: The caller has received the complete answer.
    ANSWERED = 'answered'
    #: The endpoint did not run the request.
    NOT_RUN = 'not_run'
    #: The request may have run; the answer is missing or incomplete.
    BROKEN = 'broken'
    #: The request ran and failed; the error answer is complete.
    FAILED = 'failed'


class AttemptFailure(enum.Enum):
    """Why an attempt failed.

    The values stand in log lines and keep their names. Some equal those of
    ``channel.Fault``, from which they are made.
    """

    #: The endpoint rejected the request without running it.
    REJECTED = 'turned_away'
    #: Another endpoint or another version answered at the address; the
    #: request did not run.
    MISDIRECTED = 'misdirected'
    #: No connection could be opened.
    UNREACHABLE = 'unreachable'
    #: The endpoint became unusable during connection setup, for example as it
    #: drains; nothing was sent.
    UNUSABLE = 'unusable'
    #: The connection was reset or timed out in the kernel.
    CONNECTION_LOST = 'lost'
    #: The endpoint closed the connection before its answer was complete.
    CONNECTION_CLOSED = 'ended'
    #: The endpoint sent nothing for too long.
    SILENT = 'silent'
    #: The answer was malformed or belonged to another request.
    MALFORMED = 'spoilt'
    #: The engine cut off its answer as it was loading weights.
    ENGINE_LOADING = 'loading'
    #: The request had not started when the weights of the endpoint were
    #: about to become too old.
    WEIGHTS_TOO_OLD = 'too_old'
    #: The request ran and failed.
    FAILED = 'failed'


class FailedAnswer(typing.NamedTuple):
    """The complete error answer of an endpoint."""

    status: int
    pairs: list[messages.Pair]
    body: bytes


class AdmittedRequest:
    """A request that was admitted, with its attempts.

    :param deadline: monotonic time by which the final answer is due.
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
        #: Whether the deadline is that of the entry's own shutdown.
        self.is_cut_short_by_drain = False
        self.attempts: list[outcome.Attempt] = []
        #: Monotonic time at which the newest attempt started, and its
        #: connection once it is open.
        self.attempt_started_at: float = 0
        self.channel: channel.Channel | None = None
        #: Why attempts failed, in order, and the decision whether to retry
        #: after the last of them.
        self.attempt_failures: list[AttemptFailure] = []
        self.retry_decision = ''
        #: Whether a line about the request was logged, so that its end must be
        #: logged as well.
        self.is_logged = False
        #: Endpoints to which the request was sent.
        self.tried_endpoint_ids: set[str] = set()
        #: The error answer of an endpoint, sent if no retry succeeds.
        self.failed_answer: FailedAnswer | None = None
        #: Monotonic time at which the first piece of the answer was sent to
        #: the caller.
        self.first_event_at: float | None = None
        #: Monotonic time by which the first event of the attempt must have
        #: arrived, as the weights of the endpoint become too old; infinite
        #: if they do not, and once that event has arrived.
        self.start_deadline = math.inf
        #: Seconds after which the caller may find a free slot.
        self.retry_after = _RETRY_AFTER_SECONDS
        #: Tracks the events of the stream across attempts.
        self.splitter = events.EventSplitter(call.resume_after)

    @property
    def resume_after(self) -> int | None:
        """Return the id of the last event that the caller has received."""
        return self.splitter.last_id

    @property
    def ending_at_deadline(self) -> Ending:
        """Return the ending of the request if its deadline passes."""
        if self.is_cut_short_by_drain:
            return Ending.DRAINING
        if self.reply.is_blocked:
            return Ending.SLOW_READER
        caller_timeout = self.call.timeout_seconds
        if caller_timeout is not None and caller_timeout <= self.route.timeout:
            return Ending.DEADLINE
        return Ending.ROUTE_TIMEOUT

    def shorten_deadline(self, latest: float) -> bool:
        """Shorten the deadline, as the entry shuts down.

        :param latest: latest monotonic time for the final answer.
        :returns: whether the deadline has changed.
        """
        if self.deadline <= latest:
            return False
        self.deadline = latest
        self.is_cut_short_by_drain = True
        return True

    def silent_seconds(self, now: float) -> float | None:
        """Return the seconds for which the endpoint has sent nothing.

        :returns: ``None`` if the request was not sent to any endpoint.
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
        """Return the number of attempts that ran or may have run."""
        return sum(
            attempt.execution is not errors.Execution.NOT_RUN
            for attempt in self.attempts
        )

    @property
    def has_not_run(self) -> bool:
        """Tell whether certainly no endpoint has run the request."""
        return not self.run_count

    def start_attempt(self, endpoint_id: str) -> outcome.Attempt:
        """Start another attempt."""
        attempt = outcome.Attempt(
            self.call.id,
            len(self.attempts) + 1,
            endpoint_id,
        )
        self.attempts.append(attempt)
        self.attempt_started_at = asyncio.get_running_loop().time()
        self.channel = None
        self.tried_endpoint_ids.add(endpoint_id)
        # Discard the partial event of the previous endpoint: the next one
        # sends the whole event.
        self.splitter = events.EventSplitter(self.splitter.last_id)
        return attempt
