"""Log lines and metrics of requests.

Successful requests are sampled by their id, so that every process logs the same
ones. Errors are logged for every request.
"""

from __future__ import annotations

import asyncio
import typing
import zlib

import aioprometheus
from loguru import logger

from clementinepass.direct import calls, routing, serving
from clementinepass.http import channel, endings

if typing.TYPE_CHECKING:
    from clementinepass.decisions import endpoint_choice, next_try
    from clementinepass.direct import endpoints

#: Longest logged part of a path; callers may send paths of any length.
_MAX_PATH_BYTES = 80
#: One in this many successful requests is logged.
_SAMPLE_ONE_IN = 16
_BUCKETS = (
    0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0, float('inf'),
)  # fmt: skip
#: Level and message for a request whose connection ended, by the cause of the
#: end. Only a caller that closed its side of the connection is logged as left.
_LEVEL_AND_MESSAGE_BY_END = {
    endings.End.CALLER_CLOSED: ('INFO', 'caller left'),
    endings.End.CALLER_RESET: ('INFO', 'connection reset'),
    endings.End.CALLER_SILENT: ('INFO', 'connection lost'),
    endings.End.TRANSPORT_FAULT: ('INFO', 'connection lost'),
    endings.End.CUT: ('WARNING', 'cut off, as this entry ends'),
}
#: Failures of an attempt that an engine cuts off in order to load weights.
_CUT_BY_ENGINE = frozenset(
    (
        serving.AttemptFailure.CONNECTION_LOST,
        serving.AttemptFailure.CONNECTION_CLOSED,
        serving.AttemptFailure.MALFORMED,
    ),
)
_UNKNOWN_END = ('WARNING', 'cut off, not known why')


class RefusalContext(typing.NamedTuple):
    """The configuration on which a refusal is based.

    :param configuration_version: the version in force; 0 for none.
    :param last_matching_version: the newest configuration with the key or the
        route that is missing now; 0 if this process knew none.
    :param store_age_seconds: time since the store last answered a read of the
        operator's records, or since the last message of an entry that reads
        them for this one; ``None`` for never.
    """

    configuration_version: int
    last_matching_version: int
    store_age_seconds: float | None


class RequestLog:
    """Log and count what happens to requests.

    :param registry: where the metrics are registered.
    """

    __slots__ = (
        '_attempts',
        '_drains',
        '_endings',
        '_first_piece_seconds',
        '_retries',
        '_request_seconds',
    )

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._endings = aioprometheus.Counter(
            'clementinepass_requests_total',
            'Requests by how they ended.',
            registry=registry,
        )
        self._attempts = aioprometheus.Counter(
            'clementinepass_attempts_total',
            'Attempts that failed, by what became of them.',
            registry=registry,
        )
        self._drains = aioprometheus.Counter(
            'clementinepass_endpoint_drains_total',
            'Endpoints whose answers said first that they drain.',
            registry=registry,
        )
        self._retries = aioprometheus.Counter(
            'clementinepass_repeats_total',
            'Decisions on sending once more.',
            registry=registry,
        )
        self._first_piece_seconds = aioprometheus.Histogram(
            'clementinepass_first_piece_seconds',
            'Time from a request to the first piece of its answer.',
            buckets=_BUCKETS,
            registry=registry,
        )
        self._request_seconds = aioprometheus.Histogram(
            'clementinepass_request_seconds',
            'Time from a request to the end of its answer.',
            buckets=_BUCKETS,
            registry=registry,
        )

    def log_malformed(
        self, error: calls.InvalidRequestError, status: int
    ) -> None:
        """Log a request that could not be decoded."""
        ending = serving.Ending.MALFORMED.value
        self._endings.inc({'ending': ending})
        logger.bind(
            request=error.request_id,
            reason=ending,
            status=status,
            error=str(error),
        ).info('refused')

    def log_refused(
        self,
        call: calls.Call,
        ending: serving.Ending,
        status: int,
        context: RefusalContext,
    ) -> None:
        """Log a request that was refused before its admission."""
        self._endings.inc({'ending': ending.value})
        logger.bind(
            request=call.id,
            reason=ending.value,
            status=status,
            host=call.host.decode('latin-1'),
            path=call.request.path[:_MAX_PATH_BYTES].decode('latin-1'),
            configuration=context.configuration_version,
            last_in=context.last_matching_version,
            store_age=context.store_age_seconds,
        ).info('refused')

    def log_overloaded(
        self,
        admitted: serving.AdmittedRequest,
        choice: endpoint_choice.Choice,
    ) -> None:
        """Log that the queue of even the best endpoint is too long."""
        logger.bind(
            request=admitted.call.id,
            service=admitted.service.name,
            endpoint=choice.endpoint_id,
            waiting=round(choice.queue_depth, 1),
            slots=choice.slots,
        ).info('no endpoint has room')

    def log_sending(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """Log to which endpoint a request is sent."""
        number = len(admitted.attempts)
        if number == 1 and not _is_sampled(admitted.call.id):
            return
        logger.bind(
            request=admitted.call.id,
            attempt=number,
            endpoint=endpoint.listing.id,
            in_flight=endpoint.in_flight,
            left=round(admitted.deadline - _now(), 3),
            resume_after=admitted.resume_after,
        ).info('sent')

    def log_attempt_failed(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        error: Exception,
    ) -> None:
        """Log an attempt without a complete answer."""
        attempt = admitted.attempts[-1]
        failure = _classify_failure(admitted, endpoint, error)
        admitted.attempt_failures.append(failure)
        self._attempts.inc({'outcome': attempt.execution.value})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=endpoint.listing.id,
            engine=endpoint.listing.address,
            execution=attempt.execution.value,
            fault=failure.value,
            silent=_round_or_none(admitted.silent_seconds(_now())),
            error=str(error),
            after_event=admitted.resume_after,
        ).warning('attempt failed')

    def log_unusable(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """Log an endpoint that became unusable during connection setup."""
        failure = serving.AttemptFailure.UNUSABLE
        self._attempts.inc({'outcome': failure.value})
        admitted.attempt_failures.append(failure)
        logger.bind(
            request=admitted.call.id,
            attempt=admitted.attempts[-1].number,
            endpoint=endpoint.listing.id,
            draining=endpoint.listing.draining,
        ).info('not sent, as the endpoint became unusable')

    def log_rejected(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        status: int,
    ) -> None:
        """Log that an endpoint rejected a request without running it."""
        self._attempts.inc({'outcome': 'turned_away'})
        admitted.attempt_failures.append(serving.AttemptFailure.REJECTED)
        logger.bind(
            request=admitted.call.id,
            attempt=admitted.attempts[-1].number,
            endpoint=endpoint.listing.id,
            status=status,
            in_flight=endpoint.in_flight,
        ).info('turned away by the endpoint')

    def log_draining(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        status: int,
    ) -> None:
        """Log the first answer in which an endpoint says that it drains."""
        self._drains.inc({'service': endpoint.listing.service})
        logger.bind(
            request=admitted.call.id,
            endpoint=endpoint.listing.id,
            service=endpoint.listing.service,
            status=status,
            in_flight=endpoint.in_flight,
        ).info('endpoint drains by its answer')

    def log_failed_by_endpoint(self, admitted: serving.AdmittedRequest) -> None:
        """Log the complete error answer of an endpoint."""
        self._attempts.inc({'outcome': 'failed'})
        admitted.attempt_failures.append(serving.AttemptFailure.FAILED)
        attempt = admitted.attempts[-1]
        status = (
            0
            if admitted.failed_answer is None
            else admitted.failed_answer.status
        )
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            status=status,
        ).info('failed by the endpoint')

    def log_misdirected(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        instance: str,
    ) -> None:
        """Log that another endpoint or version than expected answered."""
        self._attempts.inc({'outcome': 'misdirected'})
        admitted.attempt_failures.append(serving.AttemptFailure.MISDIRECTED)
        logger.bind(
            request=admitted.call.id,
            attempt=admitted.attempts[-1].number,
            endpoint=endpoint.listing.id,
            answered_by=instance,
            version=endpoint.weights.version,
        ).info('another endpoint or version answered')

    def log_retry_decision(
        self,
        admitted: serving.AdmittedRequest,
        decision: next_try.RetryDecision,
        is_allowed: bool,  # noqa: FBT001
    ) -> None:
        """Log the decision whether a request is retried."""
        reason = decision.value
        if not is_allowed and reason == 'allowed':
            reason = 'budget_spent'
        self._retries.inc({'decision': reason})
        admitted.retry_decision = reason
        logger.bind(
            request=admitted.call.id,
            attempts=len(admitted.attempts),
            decision=reason,
        ).info('sending once more' if is_allowed else 'not sending once more')

    def log_answered(self, admitted: serving.AdmittedRequest) -> None:
        """Log a request that was answered completely."""
        self._endings.inc({'ending': 'answered'})
        received = admitted.call.request.received_at
        seconds = _now() - received
        labels = {'route': admitted.route.kind.value}
        self._request_seconds.observe(labels, seconds)
        first_piece_seconds = (admitted.first_event_at or _now()) - received
        self._first_piece_seconds.observe(labels, first_piece_seconds)
        must_log = admitted.is_logged or len(admitted.attempts) > 1
        if must_log or _is_sampled(admitted.call.id):
            logger.bind(
                request=admitted.call.id,
                status=admitted.reply.status,
                attempts=len(admitted.attempts),
                first=round(first_piece_seconds, 3),
                seconds=round(seconds, 3),
            ).info('answered')

    def log_ended(
        self,
        admitted: serving.AdmittedRequest,
        ending: serving.Ending,
        status: int,
    ) -> None:
        """Log a request that ended without success."""
        self._endings.inc({'ending': ending.value})
        logger.bind(
            request=admitted.call.id,
            reason=ending.value,
            status=status,
            service=admitted.service.name,
            attempts=len(admitted.attempts),
            runs=admitted.run_count,
            outcomes=[failure.value for failure in admitted.attempt_failures],
            decision=admitted.retry_decision,
            **_progress(admitted, _now()),
        ).warning('ended without an answer')

    def log_interrupted(self, admitted: serving.AdmittedRequest) -> None:
        """Log a request whose connection ended before its answer."""
        end = admitted.reply.ending
        self._endings.inc({'ending': end.value})
        level, message = _LEVEL_AND_MESSAGE_BY_END.get(end, _UNKNOWN_END)
        logger.bind(
            request=admitted.call.id,
            end=end.value,
            attempts=len(admitted.attempts),
            after_event=admitted.resume_after,
            **_progress(admitted, _now()),
        ).log(level, message)

    def log_internal_error(
        self, admitted: serving.AdmittedRequest, error: Exception
    ) -> None:
        """Log a request that raised an unexpected exception."""
        self._endings.inc({'ending': serving.Ending.INTERNAL_ERROR.value})
        logger.bind(
            request=admitted.call.id,
            attempts=len(admitted.attempts),
            error=repr(error),
        ).error('cut off by a fault of this entry')

    def log_accepted_while_draining(
        self,
        admitted: serving.AdmittedRequest,
        seconds_draining: float,
    ) -> None:
        """Log a request that was accepted while the entry drains.

        The age of the connection shows how the request arrived: the caller of a
        new connection found this entry in a list; the caller of an old one has
        not yet been asked to close the connection.

        :param seconds_draining: time since the drain started.
        """
        request = admitted.call.request
        admitted.is_logged = True
        logger.bind(
            request=admitted.call.id,
            since=round(seconds_draining, 3),
            connected_for=round(request.received_at - request.connected_at, 3),
            number=request.number,
            left=round(admitted.deadline - request.received_at, 3),
        ).info('taken while leaving')


def _now() -> float:
    return asyncio.get_running_loop().time()


def _progress(
    admitted: serving.AdmittedRequest, now: float
) -> dict[str, typing.Any]:
    """Return log fields on the progress of a request at its end.

    The fields distinguish a caller that timed out from one that left on its
    own, and show whether the entry or the endpoint was silent.
    """
    received = admitted.call.request.received_at
    first_at = admitted.first_event_at
    last_sent_at = admitted.reply.last_written_at
    event_wait = None
    if admitted.route.kind is routing.RouteKind.STREAM:
        event_wait = calls.max_event_wait(admitted.route)
    return {
        'seconds': round(now - received, 3),
        'left': round(admitted.deadline - now, 3),
        'events': admitted.reply.written_chunks,
        'first': None if first_at is None else round(first_at - received, 3),
        'waited': round(now - (last_sent_at or received), 3),
        'patience': event_wait,
        'endpoint': admitted.attempts[-1].peer if admitted.attempts else None,
        'silent': _round_or_none(admitted.silent_seconds(now)),
    }


def _classify_failure(
    admitted: serving.AdmittedRequest,
    endpoint: endpoints.Endpoint,
    error: Exception,
) -> serving.AttemptFailure:
    """Return why an attempt had no complete answer.

    An attempt that is abandoned because the weights of the endpoint become too
    old looks like one at a silent endpoint, as both end in a timeout. They are
    told apart by the start deadline.
    """
    failure = serving.AttemptFailure.MALFORMED
    if isinstance(error, channel.ChannelBrokenError):
        failure = serving.AttemptFailure(error.fault.value)
    if failure in _CUT_BY_ENGINE and endpoint.is_loading:
        return serving.AttemptFailure.ENGINE_LOADING
    is_silent = failure is serving.AttemptFailure.SILENT
    if (
        is_silent
        and not admitted.reply.is_started
        and _now() >= admitted.start_deadline
    ):
        return serving.AttemptFailure.WEIGHTS_TOO_OLD
    return failure


def _round_or_none(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _is_sampled(request_id: str) -> bool:
    return zlib.crc32(request_id.encode()) % _SAMPLE_ONE_IN == 0
