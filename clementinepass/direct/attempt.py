"""Send a request to an endpoint and forward its answer."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.direct import (
    calls,
    crash_detection,
    events,
    part_evidence,
    serving,
    uptime,
)
from clementinepass.http import channel, held_memory, pool

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from clementinepass.direct import cluster_state, endpoints, request_log
    from clementinepass.http import messages

#: Longest time that a connection may have been idle to be reused for a request
#: that must not run twice. If the endpoint closes the connection meanwhile, it
#: is unknown whether it has read the request; endpoints keep idle connections
#: for seconds.
_MAX_IDLE_SECONDS = 1.0
#: Timeout for connecting to an endpoint. Two round trips take some
#: milliseconds; a lost packet is retransmitted after one second.
_CONNECT_TIMEOUT_SECONDS = 0.6
#: Largest plain answer that is buffered.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Bytes counted for a stream whose caller does not read: what its connection
#: to the endpoint buffers before it stops reading, with the last read.
_BLOCKED_STREAM_BYTES = 524288
#: Events of one stream that are forwarded before others get their turn.
_EVENTS_PER_TURN = 64
#: Seconds between two checks whether an answer may be read on.
_MEMORY_CHECK_SECONDS = 0.05
#: Results that are no failures of the endpoint.
_NOT_RUN_RESULTS = frozenset(
    (serving.AttemptResult.NOT_RUN, serving.AttemptResult.NOT_SENT)
)
#: Verdicts on answers to earlier requests, and on what is no answer.
_STALE_OR_INVALID = frozenset(
    (calls.Verdict.OTHER_REQUEST, calls.Verdict.INVALID)
)


class _EndpointPool(typing.NamedTuple):
    """Connections to one start of an endpoint's process."""

    endpoint: endpoints.Endpoint
    connections: pool.Pool


class Sender:
    """Send requests to endpoints over pooled connections.

    :param cluster: the state of the cluster.
    :param dialect: encodes requests for endpoints and decodes their answers.
    :param log: logs and counts attempts.
    :param memory: counts the bytes held for attempts; without a bound if
        absent.
    """

    __slots__ = (
        '_answered_services',
        '_buffering',
        '_cluster',
        '_dialect',
        '_pools_by_id',
        '_log',
        'crash_detector',
        'memory',
    )

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        dialect: calls.Dialect,
        log: request_log.RequestLog,
        memory: held_memory.HeldMemory | None = None,
    ) -> None:
        self._cluster = cluster
        self._dialect = dialect
        self._log = log
        #: Counts the bytes held for attempts.
        self.memory = memory or held_memory.HeldMemory()
        #: Connections whose plain answers are being buffered, in this order.
        self._buffering: dict[channel.Channel, None] = {}
        #: Finds out whether endpoints have crashed under requests.
        self.crash_detector = crash_detection.CrashDetector(cluster, log)
        self._pools_by_id: dict[str, _EndpointPool] = {}
        #: Services that have answered a request since the process started.
        self._answered_services: set[str] = set()

    def start(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """Start to send a request to an endpoint and to forward the answer.

        The endpoint's load is counted at once, so that the next request sees
        it.
        """
        attempt = admitted.add_attempt(endpoint)
        self._log.log_sending(admitted, endpoint)
        endpoint.start_request(attempt.started_at)
        attempt.task = asyncio.create_task(self._send(admitted, attempt))
        attempt.task.add_done_callback(
            functools.partial(self._finish, admitted, attempt)
        )

    def mark_silent(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Record that the endpoint of an open attempt is silent.

        The ejector learns of it at once, as a frozen endpoint would otherwise
        be found only when its requests end.
        """
        now = asyncio.get_running_loop().time()
        attempt.silent_since = now - attempt.silent_seconds(now)
        if not attempt.endpoint.is_loading:
            self._cluster.record_failure(attempt.endpoint, now)
        self._log.log_silent(admitted, attempt)

    def take_back(self, admitted: serving.AdmittedRequest) -> None:
        """Abort attempts at endpoints that have not begun to answer.

        The end of its connection removes a request from an endpoint's queue.
        """
        for attempt in admitted.open_attempts:
            if attempt.task is not None and not attempt.has_begun_answer:
                attempt.task.cancel()
                self._log.log_quarantined(admitted, attempt)

    def close_connections(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that was removed."""
        endpoint_pool = self._pools_by_id.pop(endpoint_id, None)
        if endpoint_pool is not None:
            endpoint_pool.connections.close()

    async def _send(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> serving.AttemptResult:
        try:
            result = await self._exchange(admitted, attempt.endpoint, attempt)
        except Exception as error:
            if not admitted.may_be_answered_without(attempt):
                raise
            attempt.given_up()
            self._log.log_attempt_failed(admitted, attempt, error)
            logger.opt(exception=error).bind(
                step='attempt', error=repr(error)
            ).error('handler failed')
            result = serving.AttemptResult.BROKEN
        self._record_result(admitted, attempt, result)
        if result is serving.AttemptResult.ANSWERED:
            self._log.log_answered(admitted, attempt)
            self._record_survival(admitted)
            self._cluster.crash_evidence.record_answer(
                admitted.fingerprint,
                attempt.started_at,
                asyncio.get_running_loop().time(),
            )
            self._log_first_answer(admitted.service.name)
        return result

    def _finish(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        task: asyncio.Task[serving.AttemptResult],
    ) -> None:
        """Release the endpoint, also if the attempt was aborted."""
        if attempt.survival_timer is not None:
            attempt.survival_timer.cancel()
        self._hold(attempt, _kept_bytes(admitted, attempt))
        attempt.endpoint.end_request(attempt.started_at)
        attempt.waiting_since = None
        if attempt.finished:
            return
        attempt.given_up()
        if attempt.is_silent:
            attempt.failure = serving.AttemptFailure.SILENT
        elif attempt.superseded_by is not None:
            attempt.failure = serving.AttemptFailure.SUPERSEDED
        if attempt.superseded_by is not None:
            self._log.log_superseded(admitted, attempt)

    def _log_first_answer(self, service: str) -> None:
        if service in self._answered_services:
            return
        self._answered_services.add(service)
        logger.bind(service=service, seconds=uptime.seconds()).info(
            'first request answered',
        )

    async def _exchange(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        attempt: serving.Attempt,
    ) -> serving.AttemptResult:
        connections = self._get_pool(admitted, endpoint)
        attempt.start_deadline = self._start_deadline(admitted, endpoint)
        is_repeatable = admitted.route.is_repeatable
        try:
            connection = await connections.acquire(
                max_idle_seconds=math.inf
                if is_repeatable
                else _MAX_IDLE_SECONDS,
                seconds=_CONNECT_TIMEOUT_SECONDS,
            )
        except channel.ChannelBrokenError as error:
            attempt.refused()
            now = asyncio.get_running_loop().time()
            self._cluster.record_failure(endpoint, now)
            self._log.log_attempt_failed(admitted, attempt, error)
            return serving.AttemptResult.NOT_RUN
        attempt.connection = connection
        try:
            result = self._withhold(admitted, attempt)
            if result is not None:
                return result
            async with _start_timeout(attempt, connection):
                return await self._request_answer(
                    admitted, endpoint, attempt, connection
                )
        except (channel.ChannelBrokenError, events.StreamBrokenError) as error:
            attempt.failed(errors.Execution.MAY_HAVE_RUN)
            self._log.log_attempt_failed(admitted, attempt, error)
            connection.abort()
            await self.crash_detector.examine(admitted, attempt)
            return serving.AttemptResult.BROKEN
        except BaseException:
            # The caller has disconnected, the deadline has passed or another
            # attempt delivers. Without the abort the endpoint would continue to
            # work on the request.
            connection.abort()
            raise
        finally:
            connections.release(connection)
            if not self._has_pool(endpoint):
                # The endpoint has restarted: its old connections are useless.
                connections.close()

    def _withhold(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> serving.AttemptResult | None:
        """Give up an attempt that must not be sent any more.

        :returns: its result; ``None`` if it is to be sent.
        """
        if self._became_unusable(attempt.endpoint):
            attempt.refused()
            self._log.log_unusable(admitted, attempt)
            return serving.AttemptResult.NOT_RUN
        now = asyncio.get_running_loop().time()
        if self._cluster.seconds_barred(admitted, now):
            attempt.refused()
            self._log.log_quarantined(admitted, attempt)
            return serving.AttemptResult.NOT_SENT
        is_eligible = self._cluster.is_eligible(
            attempt.endpoint, admitted.allowed_regions
        )
        if (
            attempt.endpoint.has_closed_since(attempt.started_at)
            or not is_eligible
            or now >= attempt.start_deadline
        ):
            attempt.refused()
            self._withdraw(admitted, attempt)
            return serving.AttemptResult.NOT_SENT
        evidence = self._cluster.crash_evidence
        if not evidence.is_empty:
            evidence.record_attempt(
                admitted.fingerprint,
                now,
                admitted.prompt_parts,
                admitted.call.id,
            )
        return None

    def _became_unusable(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether an endpoint became unusable during connection setup.

        Connecting takes up to 0.6 s, in which the endpoint may announce that it
        drains. Requests must not reach it two seconds after that, and the setup
        takes up to a third of this time.
        """
        return not endpoint.is_usable(asyncio.get_running_loop().time())

    def _withdraw(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Give up an attempt before the request is sent.

        A pause or a limit of the endpoint has begun since it was selected, or
        the evacuation of its failure domain, or its weights have become too
        old. It may be selected again later.
        """
        admitted.tried_endpoint_ids.discard(attempt.peer)
        self._log.log_withdrawn(admitted, attempt)

    async def _request_answer(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        attempt: serving.Attempt,
        connection: channel.Channel,
    ) -> serving.AttemptResult:
        self._send_request(admitted, attempt, connection)
        attempt.waiting_since = asyncio.get_running_loop().time()
        head = await connection.read_head()
        if attempt.held_bytes:
            self._hold(attempt, connection.unsent_bytes)
        decoded_head = self._decode_head(admitted, attempt, head)
        if decoded_head.verdict is calls.Verdict.OTHER_REQUEST:
            logger.bind(request=admitted.call.id).warning(
                'passed over the answer to another request',
            )
            head = await connection.skip_to_next_answer()
            decoded_head = self._decode_head(admitted, attempt, head)
        if decoded_head.verdict is calls.Verdict.MISDIRECTED:
            attempt.refused()
            self._handle_misdirected(admitted, attempt, decoded_head)
            return serving.AttemptResult.NOT_RUN
        if decoded_head.verdict is calls.Verdict.NOT_RUN:
            attempt.refused()
            endpoint.backoff.record_rejection(
                decoded_head.notice.pause_seconds,
                attempt.started_at,
                asyncio.get_running_loop().time(),
            )
            self._log.log_rejected(
                admitted,
                attempt,
                head.status,
                decoded_head.notice.pause_seconds,
            )
            return serving.AttemptResult.NOT_RUN
        attempt.head_seen()
        attempt.weights_version = decoded_head.weights_version
        if decoded_head.verdict in _STALE_OR_INVALID:
            raise channel.ChannelBrokenError(
                f'status {head.status} is not a valid answer to this request',
                peer=connection.peer,
            )
        endpoint.backoff.record_acceptance(attempt.started_at)
        if (
            decoded_head.verdict is calls.Verdict.SUCCESS
            and decoded_head.is_stream
        ):
            endpoint.active_streams += 1
            try:
                return await self._relay_stream(
                    admitted,
                    endpoint,
                    attempt,
                    connection,
                    decoded_head,
                    head.status,
                )
            finally:
                endpoint.active_streams -= 1
        self._buffering[connection] = None
        try:
            return await self._forward_plain_answer(
                admitted, attempt, connection, decoded_head, head.status
            )
        finally:
            del self._buffering[connection]

    def _send_request(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        connection: channel.Channel,
    ) -> None:
        """Send the request, and keep no copy of what was sent."""
        payload = self._dialect.encode_attempt(
            admitted.call,
            self._attempt_parameters(admitted, attempt.endpoint),
        )
        attempt.sent()
        connection.send(payload)
        if len(admitted.open_attempts) > 1:
            # The caller's connection counts one copy of the body. This one
            # counts until the endpoint answers.
            self._hold(attempt, len(payload))

    def _decode_head(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        head: messages.AnswerHead,
    ) -> calls.DecodedHead:
        """Decode the head of any answer that arrives from an endpoint.

        Refusals, failures and answers to other requests also say whether the
        endpoint drains, unless another instance sent them.
        """
        decoded_head = self._dialect.decode_head(admitted.call, head)
        if not _is_other_instance(attempt.endpoint, decoded_head):
            self._apply_notice(admitted, attempt, decoded_head, head.status)
        return decoded_head

    def _apply_notice(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> None:
        """Apply what an endpoint says of itself beyond this request."""
        endpoint = attempt.endpoint
        notice = decoded_head.notice
        if notice.is_draining and endpoint.mark_draining():
            self._log.log_draining(admitted, attempt, status)
        if decoded_head.verdict in _STALE_OR_INVALID:
            return
        if notice.has_invalid_rate:
            self._log.log_invalid_rate(admitted, attempt)
        elif self._cluster.limits.record_answer(
            endpoint,
            notice.request_rate,
            attempt.started_at,
            asyncio.get_running_loop().time(),
        ):
            self._log.log_named_rate(admitted, attempt, notice.request_rate)

    async def _forward_plain_answer(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        connection: channel.Channel,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> serving.AttemptResult:
        """Buffer a plain answer until it is complete, then forward it."""
        attempt.mark_started()
        loop = asyncio.get_running_loop()
        attempt.waiting_since = loop.time()
        parts = []
        length = 0
        while part := await connection.read():
            parts.append(part)
            length += len(part)
            if length > _MAX_ANSWER_BYTES:
                raise channel.ChannelBrokenError(
                    'the answer is longer than the limit',
                    peer=connection.peer,
                )
            self._hold(attempt, length)
            attempt.waiting_since = None
            await self._wait_for_memory(connection)
            attempt.waiting_since = loop.time()
        attempt.waiting_since = None
        await self._check_end(attempt, connection)
        attempt.ended()
        body = b''.join(parts)
        parts.clear()
        if decoded_head.verdict is calls.Verdict.FAILURE:
            admitted.failed_answer = serving.FailedAnswer(
                status, decoded_head.pairs, body
            )
            self._log.log_failed_by_endpoint(admitted, attempt, status)
            return serving.AttemptResult.FAILED
        if admitted.reply.is_started:
            raise channel.ChannelBrokenError(
                'a plain answer came instead of a stream', peer=connection.peer
            )
        self._take_over(admitted, attempt)
        admitted.first_event_at = loop.time()
        # From here on, the caller's connection counts the answer.
        self._hold(attempt, 0)
        admitted.reply.send(status, decoded_head.pairs, body)
        return serving.AttemptResult.ANSWERED

    async def _relay_stream(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        attempt: serving.Attempt,
        connection: channel.Channel,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> serving.AttemptResult:
        """Forward complete events as they arrive."""
        loop = asyncio.get_running_loop()
        reply = admitted.reply
        endpoint.last_received_at = connection.last_received_at
        while True:
            attempt.waiting_since = loop.time()
            part = await connection.read()
            attempt.waiting_since = None
            endpoint.last_received_at = connection.last_received_at
            if not part:
                break
            for number, event in enumerate(attempt.splitter.feed(part), 1):
                self._take_over(admitted, attempt)
                self._start_reply(admitted, decoded_head, status)
                reply.write(event.payload)
                admitted.resume_after = attempt.splitter.last_id
                if not number % _EVENTS_PER_TURN:
                    await asyncio.sleep(0)
            await self._wait_for_reader(admitted, attempt, connection)
        await self._check_end(attempt, connection)
        if attempt.splitter.has_partial_event:
            raise events.StreamBrokenError(
                'the stream ended in the middle of an event'
            )
        self._take_over(admitted, attempt)
        self._start_reply(admitted, decoded_head, status)
        attempt.ended()
        if attempt.splitter.leading_comments:
            reply.write(attempt.splitter.leading_comments)
        reply.end()
        return serving.AttemptResult.ANSWERED

    async def _wait_for_reader(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        connection: channel.Channel,
    ) -> None:
        """Wait until the caller of a stream has read most of what was sent."""
        pending_bytes = attempt.splitter.pending_bytes
        if admitted.reply.is_blocked:
            if self.memory.has_room(_BLOCKED_STREAM_BYTES):
                self._hold(attempt, pending_bytes + _BLOCKED_STREAM_BYTES)
            else:
                connection.pause_reading()
            await admitted.reply.wait_writable()
        self._hold(attempt, pending_bytes)

    async def _wait_for_memory(self, connection: channel.Channel) -> None:
        """Wait until more of a plain answer may be buffered.

        The first one is read on in any case, so that not all of them wait.
        """
        while self.memory.is_exceeded() and self._is_behind(connection):
            connection.pause_reading()
            await asyncio.sleep(_MEMORY_CHECK_SECONDS)

    def _is_behind(self, connection: channel.Channel) -> bool:
        return next(iter(self._buffering)) is not connection

    def release_all(self, admitted: serving.AdmittedRequest) -> None:
        """Release what is held for the attempts of an ended request."""
        for attempt in admitted.attempts:
            self._hold(attempt, 0)

    def _hold(self, attempt: serving.Attempt, count: int) -> None:
        """Count the bytes that are held for an attempt from now on."""
        self.memory.hold(count - attempt.held_bytes)
        attempt.held_bytes = count

    async def _check_end(
        self, attempt: serving.Attempt, connection: channel.Channel
    ) -> None:
        """Check that an answer without a length was not ended by a crash.

        Both the end of such an answer and a crash close the connection.

        :raises ChannelBrokenError: the endpoint is gone.
        """
        if connection.ends_with_connection and (
            await self.crash_detector.is_gone(attempt.endpoint)
        ):
            raise channel.ChannelBrokenError(
                'the endpoint crashed in an answer without a length',
                peer=connection.peer,
                is_clean=True,
                fault=channel.Fault.ENDED,
            )

    def _take_over(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Let an attempt that delivers supersede all others.

        From its first whole event, or its whole plain answer, on, nothing of
        another attempt reaches the caller.
        """
        if not attempt.has_begun_answer:
            attempt.survival_timer = asyncio.get_running_loop().call_later(
                part_evidence.SURVIVAL_SECONDS, self._record_survival, admitted
            )
            self._check_version(admitted, attempt)
        attempt.mark_answering()
        if attempt.is_silent:
            self._log.log_going_on(admitted, attempt)
            attempt.silent_since = None
            admitted.retry_decision = ''
        if len(admitted.attempts) > 1:
            admitted.supersede_others(attempt)

    def _check_version(
        self, admitted: serving.AdmittedRequest, attempt: serving.Attempt
    ) -> None:
        """Log an answer that begins on weights whose bound has passed."""
        engine = admitted.service.engine
        if engine is None or not attempt.weights_version:
            return
        bound = self._cluster.version_bound(engine, attempt.weights_version)
        late = asyncio.get_running_loop().time() - bound
        if late > 0:
            self._log.log_outdated(admitted, attempt, late)

    def _record_survival(self, admitted: serving.AdmittedRequest) -> None:
        """Record that an endpoint has not crashed under a request."""
        self._cluster.crash_evidence.record_beginning(
            admitted.prompt_parts, asyncio.get_running_loop().time()
        )

    def _start_reply(
        self,
        admitted: serving.AdmittedRequest,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> None:
        """Send the head of the reply with the first event.

        The head is not sent earlier, as another endpoint may still answer until
        then.
        """
        if not admitted.reply.is_started:
            admitted.reply.start(status, decoded_head.pairs)
            admitted.first_event_at = asyncio.get_running_loop().time()

    def _start_deadline(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> float:
        """Return the time by which a request must start at an endpoint.

        From the bound of old weights on, no request may start on them. A
        request that waits in the queue of an engine for longer than estimated
        would start after it. It is abandoned before that; closing its
        connection removes it from the queue.
        """
        engine = admitted.service.engine
        if engine is None:
            return math.inf
        return self._cluster.start_deadline(engine, endpoint.weights.version)

    def _attempt_parameters(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> calls.AttemptParameters:
        now = asyncio.get_running_loop().time()
        engine = admitted.service.engine
        version = 0
        if engine is not None and self._cluster.required_version(engine, now):
            # The engine may have restarted unnoticed with older weights.
            version = endpoint.weights.version
        team = admitted.team
        return calls.AttemptParameters(
            endpoint_id=endpoint.listing.id,
            timeout_seconds=admitted.deadline - now,
            team='' if team is None else team.name,
            version=version,
            resume_after=admitted.resume_after,
            urgency=admitted.urgency,
        )

    def _handle_misdirected(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        decoded_head: calls.DecodedHead,
    ) -> None:
        endpoint = attempt.endpoint
        if _is_other_instance(endpoint, decoded_head):
            endpoint.is_misdirected = True
        self._log.log_misdirected(admitted, attempt, decoded_head.instance)

    def _get_pool(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> pool.Pool:
        """Return the connections to one start of an endpoint's process.

        A pool is not reused after a restart. A request that must not run twice,
        sent on a connection to the previous process, may have run as far as the
        entry can tell.
        """
        listing = endpoint.listing
        if not self._has_pool(endpoint):
            self.close_connections(listing.id)
            limit = admitted.service.max_connections
            new_pool = pool.Pool.from_address(listing.address, limit)
            self._pools_by_id[listing.id] = _EndpointPool(endpoint, new_pool)
        return self._pools_by_id[listing.id].connections

    def _has_pool(self, endpoint: endpoints.Endpoint) -> bool:
        endpoint_pool = self._pools_by_id.get(endpoint.listing.id)
        return endpoint_pool is not None and endpoint_pool.endpoint is endpoint

    def _record_result(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
        result: serving.AttemptResult,
    ) -> None:
        """Report the result of an attempt to the ejector."""
        endpoint = attempt.endpoint
        now = asyncio.get_running_loop().time()
        if result is serving.AttemptResult.ANSWERED:
            answered_at = admitted.first_event_at or now
            seconds = answered_at - admitted.call.request.received_at
            self._cluster.ejector.observe(endpoint.listing.id, seconds, now)
        elif (
            result not in _NOT_RUN_RESULTS
            and not endpoint.is_loading
            and not attempt.is_silent
        ):
            # An engine that loads new weights cuts off running requests. A
            # silent endpoint was reported when it was found silent.
            self._cluster.record_failure(endpoint, now)


def _is_other_instance(
    endpoint: endpoints.Endpoint, decoded_head: calls.DecodedHead
) -> bool:
    return decoded_head.instance not in {'', endpoint.listing.id}


def _kept_bytes(
    admitted: serving.AdmittedRequest, attempt: serving.Attempt
) -> int:
    """Return the size of an error answer that is kept after its attempt."""
    if attempt.failure is not serving.AttemptFailure.FAILED:
        return 0
    failed_answer = admitted.failed_answer
    return 0 if failed_answer is None else len(failed_answer.body)


@contextlib.asynccontextmanager
async def _start_timeout(
    attempt: serving.Attempt,
    connection: channel.Channel,
) -> AsyncIterator[None]:
    """Abort an attempt that has not started by its start deadline."""
    if attempt.start_deadline == math.inf:
        yield
        return
    try:
        async with asyncio.timeout_at(attempt.start_deadline) as timeout:
            attempt.start_timeout = timeout
            yield
    except TimeoutError as error:
        raise channel.ChannelBrokenError(
            'the request has not started before its weights are too old',
            peer=connection.peer,
            fault=channel.Fault.SILENT,
        ) from error
