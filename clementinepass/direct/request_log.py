"""Log lines and metrics of requests.

Successful requests are sampled by their id, so that every process logs the same
ones. Errors are logged for every request.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import typing
import zlib

import aioprometheus
from loguru import logger

from clementinepass.direct import calls, evidence_log, routing, serving
from clementinepass.http import channel, endings

if typing.TYPE_CHECKING:
    from clementinepass.decisions import (
        crash_causes,
        endpoint_choice,
        next_try,
    )
    from clementinepass.direct import endpoints
    from clementinepass.requests import quarantine

#: Longest logged part of a path; callers may send paths of any length.
_MAX_PATH_BYTES = 80
#: Longest logged part of a host, which is as long as names of hosts can be.
_MAX_HOST_BYTES = 255
#: One in this many successful requests is logged.
_SAMPLE_ONE_IN = 16
#: Minimum seconds between lines on the limits that endpoints name.
_RATE_LOG_INTERVAL_SECONDS = 0.05
#: Hexadecimal digits of the digests of a request's target and body.
_DIGEST_DIGITS = 8
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
        '_crashes',
        '_drains',
        '_endings',
        '_first_piece_seconds',
        '_outdated',
        '_rate_logged_at',
        '_retries',
        '_request_seconds',
        '_slot_wait_seconds',
        '_slot_waits',
    )

    def __init__(self, registry: aioprometheus.Registry) -> None:
        #: Monotonic time of the last line on a limit that an endpoint named.
        self._rate_logged_at = float('-inf')
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
        self._crashes = aioprometheus.Counter(
            'clementinepass_crashed_attempts_total',
            'Attempts that were running at endpoints as they crashed.',
            registry=registry,
        )
        self._drains = aioprometheus.Counter(
            'clementinepass_endpoint_drains_total',
            'Endpoints whose answers said first that they drain.',
            registry=registry,
        )
        self._outdated = aioprometheus.Counter(
            'clementinepass_outdated_answers_total',
            'Answers that began on weights whose bound had passed.',
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
        self._slot_waits = aioprometheus.Counter(
            'clementinepass_slot_waits_total',
            'Requests to contended services by how they got a slot, by urgency '
            'and by whether their callers came back after a refusal.',
            registry=registry,
        )
        self._slot_wait_seconds = aioprometheus.Histogram(
            'clementinepass_slot_wait_seconds',
            'Time for which requests waited for a slot of an engine.',
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
            host=call.host[:_MAX_HOST_BYTES].decode('latin-1'),
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

    def count_slot_wait(
        self, admitted: serving.AdmittedRequest, outcome: str, seconds: float
    ) -> None:
        """Count a request for which a slot of an engine was sought.

        :param outcome: ``free`` if an engine was known to have room,
            ``offered`` or ``refused``.
        :param seconds: for which it waited.
        """
        returning = 'yes' if admitted.seconds_before else 'no'
        self._slot_waits.inc(
            {
                'outcome': outcome,
                'urgency': str(admitted.priority),
                'returning': returning,
            }
        )
        self._slot_wait_seconds.observe({'outcome': outcome}, seconds)

    def log_no_slot(
        self,
        admitted: serving.AdmittedRequest,
        waited: float,
        asked: int,
        overloaded_for: float,
    ) -> None:
        """Log that no engine had a slot for a request in time.

        :param asked: number of engines that were asked.
        :param overloaded_for: seconds since the overload of the service began.
        """
        logger.bind(
            request=admitted.call.id,
            service=admitted.service.name,
            urgency=admitted.priority,
            waited=round(waited, 3),
            asked=asked,
            returning=bool(admitted.seconds_before),
            overloaded_for=round(overloaded_for, 3),
            retry_after=round(admitted.retry_after, 3),
        ).info('no slot in time')

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
        attempt: serving.Attempt,
        error: Exception,
    ) -> None:
        """Log an attempt without a complete answer."""
        endpoint = attempt.endpoint
        failure = _classify_failure(attempt, error)
        attempt.failure = failure
        self._attempts.inc({'outcome': attempt.execution.value})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=endpoint.listing.id,
            engine=endpoint.listing.address,
            execution=attempt.execution.value,
            fault=failure.value,
            silent=round(attempt.silent_seconds(_now()), 3),
            error=str(error),
            after_event=admitted.resume_after,
            fingerprint=admitted.fingerprint,
        ).warning('attempt failed')

    def log_crash(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        repeated: int,
        evidence: quarantine.Evidence,
    ) -> None:
        """Log that an endpoint crashed while it ran a request.

        The host and two digests show in what repeats of a request differ that
        have different fingerprints.

        :param repeated: crashes that the request has met one after the other.
        :param evidence: what is held against the request now.
        """
        request = admitted.call.request
        self._crashes.inc({'service': attempt.endpoint.listing.service})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            fingerprint=admitted.fingerprint,
            crashes=repeated,
            answering=attempt.has_begun_answer,
            parts=evidence_log.list_ids(admitted.prompt_parts.digests),
            **evidence_log.describe(evidence),
            host=admitted.call.host[:_MAX_HOST_BYTES].decode('latin-1'),
            target=_digest(request.target),
            body=_digest(request.body),
        ).warning('endpoint crashed under a request')

    def log_unusable(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log an endpoint that became unusable during connection setup."""
        attempt.failure = serving.AttemptFailure.UNUSABLE
        self._attempts.inc({'outcome': attempt.failure.value})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            draining=attempt.endpoint.listing.draining,
        ).info('not sent, as the endpoint became unusable')

    def log_rejected(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        status: int,
        pause_seconds: float | None,
    ) -> None:
        """Log that an endpoint rejected a request without running it.

        :param pause_seconds: seconds for which the endpoint wants no requests
            of this instance, if it asked for a pause.
        """
        self._attempts.inc({'outcome': 'turned_away'})
        attempt.failure = serving.AttemptFailure.REJECTED
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            status=status,
            in_flight=attempt.endpoint.in_flight,
            retry_after=pause_seconds,
        ).info('turned away by the endpoint')

    def log_withdrawn(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log that a request was not sent, as its endpoint is paused."""
        self._attempts.inc({'outcome': 'paused'})
        attempt.failure = serving.AttemptFailure.PAUSED
        seconds = attempt.endpoint.seconds_until_admission(_now())
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            retry_after=round(seconds, 3) if math.isfinite(seconds) else None,
        ).info('not sent during a pause of the endpoint')

    def log_quarantined(
        self, admitted: serving.AdmittedRequest, attempt: serving.Attempt
    ) -> None:
        """Log an attempt that was given up, as it crashes endpoints."""
        attempt.failure = serving.AttemptFailure.QUARANTINED
        self._attempts.inc({'outcome': attempt.failure.value})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            execution=attempt.execution.value,
        ).info('given up, as it was quarantined')

    def log_quarantined_parts(
        self,
        admitted: serving.AdmittedRequest,
        cause: crash_causes.Cause | None,
    ) -> None:
        """Log for which parts of its prompt a request is refused.

        :param cause: the parts, with the crashes that they explain; ``None`` if
            the request itself is quarantined.
        """
        if cause is None:
            return
        logger.bind(
            request=admitted.call.id,
            parts=evidence_log.list_ids(cause.parts),
            crashed=evidence_log.list_ids(cause.crash_ids),
            retry_after=round(admitted.retry_after, 3),
        ).info('refused for its prompt parts')

    def log_all_paused(
        self, admitted: serving.AdmittedRequest, seconds: float
    ) -> None:
        """Log that no endpoint can run a request before its time is over.

        :param seconds: seconds until the first endpoint may be used again.
        """
        logger.bind(
            request=admitted.call.id,
            service=admitted.service.name,
            retry_after=round(seconds, 3),
        ).info('all endpoints are paused')

    def log_all_limited(self, admitted: serving.AdmittedRequest) -> None:
        """Log that limits of endpoints leave no time for a request."""
        logger.bind(
            request=admitted.call.id,
            service=admitted.service.name,
            retry_after=round(admitted.retry_after, 3),
        ).info('all endpoints are limited')

    def log_draining(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        status: int,
    ) -> None:
        """Log the first answer in which an endpoint says that it drains."""
        service = attempt.endpoint.listing.service
        self._drains.inc({'service': service})
        logger.bind(
            request=admitted.call.id,
            endpoint=attempt.peer,
            service=service,
            status=status,
            in_flight=attempt.endpoint.in_flight,
        ).info('endpoint drains by its answer')

    def log_named_rate(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        rate: float | None,
    ) -> None:
        """Log that an endpoint names another limit of requests than before.

        :param rate: requests a second; ``None`` if it names none any more.
        """
        if not self._may_log_rate():
            return
        logger.bind(
            request=admitted.call.id,
            endpoint=attempt.peer,
            rate=rate,
            share=round(attempt.endpoint.rate_limit.share, 3),
        ).info('endpoint names a limit')

    def log_invalid_rate(
        self, admitted: serving.AdmittedRequest, attempt: serving.Attempt
    ) -> None:
        """Log that the limit that an endpoint names cannot be read."""
        if not self._may_log_rate():
            return
        logger.bind(request=admitted.call.id, endpoint=attempt.peer).warning(
            'limit of an endpoint not understood'
        )

    def _may_log_rate(self) -> bool:
        """Tell whether a line on a limit may be logged.

        An endpoint may name another limit in each answer.
        """
        if _now() - self._rate_logged_at < _RATE_LOG_INTERVAL_SECONDS:
            return False
        self._rate_logged_at = _now()
        return True

    def log_failed_by_endpoint(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        status: int,
    ) -> None:
        """Log the complete error answer of an endpoint."""
        self._attempts.inc({'outcome': 'failed'})
        attempt.failure = serving.AttemptFailure.FAILED
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            status=status,
        ).info('failed by the endpoint')

    def log_misdirected(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        instance: str,
    ) -> None:
        """Log that another endpoint or version than expected answered."""
        self._attempts.inc({'outcome': 'misdirected'})
        attempt.failure = serving.AttemptFailure.MISDIRECTED
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            answered_by=instance,
            version=attempt.endpoint.weights.version,
        ).info('another endpoint or version answered')

    def log_outdated(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        late: float,
    ) -> None:
        """Log an answer that begins on weights that are too old.

        :param late: seconds since the bound of the weights.
        """
        self._outdated.inc({'service': attempt.endpoint.listing.service})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            version=attempt.weights_version,
            late=round(late, 3),
            seconds=round(_now() - attempt.started_at, 3),
        ).warning('answer on outdated weights')

    def log_silent(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log that an endpoint is silent; its attempt stays open."""
        admitted.is_logged = True
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            silent=round(attempt.silent_seconds(_now()), 3),
            after_event=admitted.resume_after,
        ).info('endpoint silent')

    def log_going_on(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log that a silent endpoint delivers again."""
        silent_since = attempt.silent_since or _now()
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            seconds=round(_now() - silent_since, 3),
            after_event=admitted.resume_after,
        ).info('endpoint goes on')

    def log_superseded(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log an attempt that was aborted as another one delivers."""
        winner = attempt.superseded_by
        self._attempts.inc({'outcome': 'superseded'})
        logger.bind(
            request=admitted.call.id,
            attempt=attempt.number,
            endpoint=attempt.peer,
            execution=attempt.execution.value,
            silent=round(attempt.silent_seconds(_now()), 3),
            answered_by='' if winner is None else winner.peer,
        ).info('attempt superseded')

    def log_retry_decision(
        self,
        admitted: serving.AdmittedRequest,
        decision: next_try.RetryDecision,
    ) -> None:
        """Log the decision whether a request is retried.

        While attempts at silent endpoints are open, the decision is made again
        and again. It is logged if it differs from the last one.
        """
        reason = decision.value
        is_allowed = reason == 'allowed'
        is_repeated = reason == admitted.retry_decision
        if is_repeated and not is_allowed and admitted.open_attempts:
            return
        self._retries.inc({'decision': reason})
        admitted.retry_decision = reason
        logger.bind(
            request=admitted.call.id,
            attempts=len(admitted.attempts),
            decision=reason,
        ).info('sending once more' if is_allowed else 'not sending once more')

    def log_answered(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Log a request that was answered completely.

        :param attempt: the attempt with the last part of the answer.
        """
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
                attempt=attempt.number,
                first=round(first_piece_seconds, 3),
                seconds=round(seconds, 3),
                fingerprint=admitted.fingerprint,
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
            outcomes=[_outcome(attempt) for attempt in admitted.attempts],
            decision=admitted.retry_decision,
            fingerprint=_fingerprint_at_end(admitted, ending),
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
        self, call: calls.Call | None, status: int, error: Exception
    ) -> None:
        """Log a request that raised an unexpected exception.

        :param call: ``None`` if the request could not be decoded.
        :param status: the status of the answer, which is incomplete if only a
            part of it had been sent before.
        """
        self._endings.inc({'ending': serving.Ending.INTERNAL_ERROR.value})
        logger.opt(exception=error).bind(
            request='' if call is None else call.id,
            status=status,
            error=repr(error),
        ).error('failed by a fault of this entry')

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
    last_run = admitted.last_run
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
        'endpoint': None if last_run is None else last_run.peer,
        'silent': (
            None if last_run is None else round(last_run.silent_seconds(now), 3)
        ),
    }


def _classify_failure(
    attempt: serving.Attempt, error: Exception
) -> serving.AttemptFailure:
    """Return why an attempt had no complete answer.

    Only an attempt that has not started in time on weights that become too old
    ends by a timeout.
    """
    failure = serving.AttemptFailure.MALFORMED
    if isinstance(error, channel.ChannelBrokenError):
        failure = serving.AttemptFailure(error.fault.value)
    if failure in _CUT_BY_ENGINE and attempt.endpoint.is_loading:
        return serving.AttemptFailure.ENGINE_LOADING
    if failure is serving.AttemptFailure.SILENT:
        return serving.AttemptFailure.WEIGHTS_TOO_OLD
    return failure


def _fingerprint_at_end(
    admitted: serving.AdmittedRequest, ending: serving.Ending
) -> str:
    """Return the fingerprint of a request that concerns evidence on crashes.

    It is not worked out for requests that overload refuses.
    """
    is_needed = admitted.attempts or ending is serving.Ending.QUARANTINED
    return admitted.fingerprint if is_needed else ''


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:_DIGEST_DIGITS]


def _outcome(attempt: serving.Attempt) -> str:
    """Return what came of an attempt of a request without an answer."""
    return (attempt.failure or serving.AttemptFailure.UNFINISHED).value


def _is_sampled(request_id: str) -> bool:
    return zlib.crc32(request_id.encode()) % _SAMPLE_ONE_IN == 0
