"""The state of an admitted request: its attempts and their results."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import math
import typing

from clementinepass import errors
from clementinepass.decisions import eligibility
from clementinepass.direct import events, part_evidence
from clementinepass.requests import identity, outcome

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, endpoints, routing
    from clementinepass.http import channel, messages, replies


#: Default of ``Retry-After`` in seconds. An entry that is starting has its
#: configuration by then.
_RETRY_AFTER_SECONDS = 0.4
#: The urgency of the requests that run last.
_MAX_URGENCY = 9
#: Hexadecimal digits of a fingerprint that are used, as it is sent to others.
#: Nobody can craft a request with the 128 bits of another one's fingerprint.
_FINGERPRINT_DIGITS = 32


class Ending(enum.Enum):
    """Why a request gets no successful answer of an endpoint.

    The values stand in log lines and metrics and keep their names.
    """

    #: The entry has no configuration yet.
    STARTING = 'starting'
    MALFORMED = 'malformed'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    #: Repeats of the request have crashed endpoints one after the other.
    QUARANTINED = 'quarantined'
    #: The request would wait too long in every queue.
    OVERLOAD = 'overload'
    #: The route names a service that is missing in the configuration.
    NO_SERVICE = 'no_service'
    #: The service has no endpoints, or all of them are draining.
    NO_ENDPOINT = 'no_endpoint'
    #: The service has endpoints, but none with complete weights of a version
    #: that may be used.
    NO_WEIGHTS = 'no_weights'
    #: The service has no endpoint in the regions where the request may run.
    REGION_NOT_ALLOWED = 'region_not_allowed'
    #: Every endpoint that could run the request is in a failure domain that the
    #: operator evacuates.
    EVACUATED = 'evacuated'
    #: Every endpoint that could run the request is paused, as it has turned
    #: others away.
    ALL_PAUSED = 'all_paused'
    #: The limits that endpoints name leave no time for the request.
    ALL_LIMITED = 'all_limited'
    #: The entry holds too many bytes for callers and endpoints.
    MEMORY_FULL = 'memory_full'
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
    #: The request was not sent, as a pause or a limit of the endpoint had
    #: begun.
    NOT_SENT = 'not_sent'
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
    #: A pause or a limit of the endpoint began before the request was sent.
    PAUSED = 'paused'
    #: What crashes endpoints was found before the endpoint began to answer.
    QUARANTINED = 'quarantined'
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
    #: The endpoint sent nothing for too long, until the attempt was aborted.
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
    #: Another attempt delivered first.
    SUPERSEDED = 'superseded'
    #: The attempt was aborted or not sent, and nothing is known against its
    #: endpoint.
    UNFINISHED = 'unfinished'


class FailedAnswer(typing.NamedTuple):
    """The complete error answer of an endpoint."""

    status: int
    pairs: list[messages.Pair]
    body: bytes


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Attempt(outcome.Attempt):
    """One attempt to have a request answered by an endpoint.

    A request may have several open attempts: one is started in the place of
    those at silent endpoints, which may go on nevertheless. The first one that
    delivers a part of the answer supersedes the others.
    """

    endpoint: endpoints.Endpoint
    #: Tracks the events that this attempt has sent. A partial event belongs to
    #: its attempt, as the next endpoint sends the whole event.
    splitter: events.EventSplitter
    #: Monotonic time at which the attempt started.
    started_at: float
    #: Runs the attempt; ``None`` once its result was taken.
    task: asyncio.Task[AttemptResult] | None = None
    #: The connection, once it is open.
    connection: channel.Channel | None = None
    #: Monotonic time since which the attempt waits for the endpoint; ``None``
    #: while it does not.
    waiting_since: float | None = None
    #: Whether a whole event or answer of the endpoint has arrived.
    has_begun_answer: bool = False
    #: Monotonic time at which the first of it arrived.
    began_at: float = math.inf
    #: Records that the endpoint went on after that, unless the attempt ends.
    survival_timer: asyncio.TimerHandle | None = None
    #: Monotonic time by which the first event of the attempt must have
    #: arrived, as the weights of the endpoint become too old; infinite if they
    #: do not, and once that event has arrived.
    start_deadline: float = math.inf
    #: The version of the weights that answer; 0 if it is not known.
    weights_version: int = 0
    #: Aborts the attempt at that time; ``None`` if it is infinite.
    start_timeout: asyncio.Timeout | None = None
    #: Monotonic time at which the endpoint last sent something before it was
    #: found silent; ``None`` if it was not, or has gone on since.
    silent_since: float | None = None
    #: The attempt that delivered a part of the answer in place of this one.
    superseded_by: Attempt | None = None
    #: Bytes held for the attempt, as far as they are counted.
    held_bytes: int = 0
    #: Why the attempt failed, if it did.
    failure: AttemptFailure | None = None

    def take_result(self) -> AttemptResult | None:
        """Take the result of the finished task; ``None`` if it was aborted."""
        task = self.task
        self.task = None
        if task is None or task.cancelled():
            return None
        return task.result()

    def mark_answering(self) -> None:
        """Record that a whole event or answer of the endpoint has arrived."""
        if not self.has_begun_answer:
            self.began_at = asyncio.get_running_loop().time()
        self.has_begun_answer = True
        self.mark_started()

    def mark_started(self) -> None:
        """Record that the endpoint answers, so that it may take its time.

        The start deadline applies to each attempt until its own first event,
        even if the caller has events of an earlier attempt. Otherwise a stream
        that is resumed after a crash of its engine may start on old weights
        after their bound.
        """
        if self.start_timeout is not None:
            self.start_deadline = math.inf
            self.start_timeout.reschedule(None)
            self.start_timeout = None

    def silent_seconds(self, now: float) -> float:
        """Return the seconds for which the endpoint has sent nothing.

        They are for log lines, and include the time of connecting.
        """
        last_activity_at = self.started_at
        if self.connection is not None:
            last_activity_at = max(
                last_activity_at, self.connection.last_received_at
            )
        return now - last_activity_at

    @property
    def is_silent(self) -> bool:
        """Tell whether the endpoint was found silent and has not gone on."""
        return self.silent_since is not None

    def waited_seconds(self, now: float) -> float:
        """Return the seconds for which the attempt waits for the endpoint.

        They decide whether the endpoint is silent, and are 0 while a connection
        is being opened and while the caller does not read.
        """
        return 0 if self.waiting_since is None else now - self.waiting_since


class AdmittedRequest:
    """A request that was admitted, with its attempts.

    :param deadline: monotonic time by which the final answer is due.
    """

    __slots__ = (
        '_fingerprint',
        '_prompt_parts',
        'allowed_regions',
        'attempts',
        'retry_decision',
        'resume_after',
        'call',
        'is_cut_short_by_drain',
        'failed_answer',
        'deadline',
        'retry_after',
        'first_event_at',
        'is_late',
        'is_limited',
        'is_logged',
        'reply',
        'route',
        'seconds_before',
        'service',
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
        #: The regions in which the request may run; ``None`` for any.
        self.allowed_regions = eligibility.common_regions(
            route.allowed_regions,
            None if team is None else team.allowed_regions,
        )
        self.deadline = deadline
        #: Whether the deadline is that of the entry's own shutdown.
        self.is_cut_short_by_drain = False
        self.attempts: list[Attempt] = []
        #: The last decision whether to start another attempt.
        self.retry_decision = ''
        #: Seconds from the first attempt of the caller to this one, if it was
        #: refused and came back.
        self.seconds_before: float = 0
        #: Whether the answer will be late in any case, so that other requests
        #: go first.
        self.is_late = False
        #: Whether limits of endpoints leave no time for the request.
        self.is_limited = False
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
        #: Seconds after which the caller may find a free slot.
        self.retry_after = _RETRY_AFTER_SECONDS
        #: Id of the last event that the caller has received.
        self.resume_after = call.resume_after
        self._fingerprint = ''
        self._prompt_parts: part_evidence.PromptParts | None = None

    @property
    def fingerprint(self) -> str:
        """Return what is the same when the caller sends the request again.

        The id of the request is another one then, and a stream may be resumed
        after another event.
        """
        if not self._fingerprint:
            request = self.call.request
            self._fingerprint = identity.fingerprint(
                '' if self.team is None else self.team.name,
                self.call.host.lower().decode('latin-1'),
                request.method.decode('latin-1'),
                request.target.decode('latin-1'),
                request.body,
            )[:_FINGERPRINT_DIGITS]
        return self._fingerprint

    @property
    def prompt_parts(self) -> part_evidence.PromptParts:
        """Return the prompt's parts that other requests may have."""
        if self._prompt_parts is None:
            engine = self.service.engine
            target = self.service.name if engine is None else engine.model
            self._prompt_parts = part_evidence.PromptParts(
                target,
                frozenset(
                    identity.prompt_part_digest(target, part_id)
                    for part_id in self.call.prompt_part_ids
                ),
            )
        return self._prompt_parts

    @property
    def urgency(self) -> int:
        """Return the priority at endpoints: by team first, then by route.

        A request whose answer will be late goes behind all others.
        """
        return _MAX_URGENCY if self.is_late else self.priority

    @property
    def priority(self) -> int:
        """Return the priority by team and route alone."""
        team_priority = 0 if self.team is None else self.team.priority
        return min(
            max(team_priority * 3 + self.route.priority, 0), _MAX_URGENCY
        )

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

    @property
    def open_attempts(self) -> list[Attempt]:
        """Return the attempts whose results were not taken yet."""
        return [attempt for attempt in self.attempts if attempt.task]

    @property
    def last_run(self) -> Attempt | None:
        """Return the newest attempt, preferably one that may have run."""
        if not self.attempts:
            return None
        newest_run = [
            attempt
            for attempt in self.attempts
            if attempt.execution is not errors.Execution.NOT_RUN
        ]
        return (newest_run or self.attempts)[-1]

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

    def add_attempt(self, endpoint: endpoints.Endpoint) -> Attempt:
        """Add an attempt at an endpoint."""
        endpoint_id = endpoint.listing.id
        attempt = Attempt(
            self.call.id,
            len(self.attempts) + 1,
            endpoint_id,
            endpoint=endpoint,
            splitter=events.EventSplitter(self.resume_after),
            started_at=asyncio.get_running_loop().time(),
        )
        self.attempts.append(attempt)
        self.tried_endpoint_ids.add(endpoint_id)
        return attempt

    def supersede_others(self, attempt: Attempt) -> None:
        """Abort the other open attempts, as this one delivers."""
        for other in self.attempts:
            if other is not attempt and other.task is not None:
                other.superseded_by = attempt
                other.task.cancel()

    def may_be_answered_without(self, attempt: Attempt) -> bool:
        """Tell whether another open attempt may still deliver the answer."""
        return any(
            other is not attempt and other.superseded_by is None
            for other in self.open_attempts
        )

    async def next_result(self, seconds: float) -> AttemptResult | None:
        """Wait until the next of the open attempts ends.

        :param seconds: timeout.
        :returns: the result; ``None`` for an attempt that was superseded, and
            after the timeout.
        """
        tasks = [attempt.task for attempt in self.attempts if attempt.task]
        done, _ = await asyncio.wait(
            tasks,
            timeout=None if seconds == math.inf else seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in self.attempts:
            if attempt.task in done:
                return attempt.take_result()
        return None

    async def abort_attempts(self) -> None:
        """Abort all open attempts, so that no endpoint works on them."""
        tasks = [attempt.task for attempt in self.attempts if attempt.task]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
