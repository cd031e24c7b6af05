"""Send a request to an endpoint and forward its answer."""

from __future__ import annotations

import asyncio
import math
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.direct import calls, events, routing, serving, uptime
from clementinepass.http import channel, pool

if typing.TYPE_CHECKING:
    from clementinepass.direct import cluster_state, endpoints, request_log
    from clementinepass.http import messages
    from clementinepass.requests import outcome

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
#: Seconds beyond the latency target without a first event after which a
#: repeatable request is sent to another endpoint. Callers abandon a stream
#: after two seconds without an event.
_FIRST_EVENT_GRACE_SECONDS = 0.9
#: Seconds without an event, beyond the longest allowed gap, after which a
#: stream is resumed at another endpoint. Callers wait two seconds for an event;
#: the rest of them is left for the other endpoint.
_EVENT_GAP_GRACE_SECONDS = 0.7
#: Share of the remaining time after which a repeatable plain request is sent to
#: another endpoint. Answers usually take a ninth of that time, and the slowest
#: ones a half.
_PLAIN_ANSWER_TIME_SHARE = 0.5
#: The urgency of the requests that an engine runs last.
_MAX_URGENCY = 9


class _EndpointPool(typing.NamedTuple):
    """Connections to one start of an endpoint's process."""

    endpoint: endpoints.Endpoint
    connections: pool.Pool


class Sender:
    """Send requests to endpoints over pooled connections.

    :param cluster: the state of the cluster.
    :param dialect: encodes requests for endpoints and decodes their answers.
    :param log: logs and counts attempts.
    """

    __slots__ = (
        '_answered_services',
        '_cluster',
        '_dialect',
        '_pools_by_id',
        '_log',
    )

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        dialect: calls.Dialect,
        log: request_log.RequestLog,
    ) -> None:
        self._cluster = cluster
        self._dialect = dialect
        self._log = log
        self._pools_by_id: dict[str, _EndpointPool] = {}
        #: Services that have answered a request since the process started.
        self._answered_services: set[str] = set()

    async def send(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> serving.AttemptResult:
        """Send a request to an endpoint and forward the answer."""
        attempt = admitted.start_attempt(endpoint.listing.id)
        self._log.log_sending(admitted, endpoint)
        endpoint.in_flight += 1
        endpoint.reported_load.record_sent(asyncio.get_running_loop().time())
        try:
            result = await self._exchange(admitted, endpoint, attempt)
        finally:
            endpoint.in_flight -= 1
            if not attempt.finished:
                attempt.given_up()
        self._record_result(admitted, endpoint, result)
        if result is serving.AttemptResult.ANSWERED:
            self._log_first_answer(admitted.service.name)
        return result

    def close_connections(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that was removed."""
        endpoint_pool = self._pools_by_id.pop(endpoint_id, None)
        if endpoint_pool is not None:
            endpoint_pool.connections.close()

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
        attempt: outcome.Attempt,
    ) -> serving.AttemptResult:
        connections = self._get_pool(admitted, endpoint)
        admitted.start_deadline = self._start_deadline(admitted, endpoint)
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
            self._log.log_attempt_failed(admitted, endpoint, error)
            return serving.AttemptResult.NOT_RUN
        admitted.channel = connection
        try:
            if self._became_unusable(endpoint):
                attempt.refused()
                self._log.log_unusable(admitted, endpoint)
                return serving.AttemptResult.NOT_RUN
            return await self._request_answer(
                admitted, endpoint, attempt, connection
            )
        except (channel.ChannelBrokenError, events.StreamBrokenError) as error:
            attempt.failed(errors.Execution.MAY_HAVE_RUN)
            self._log.log_attempt_failed(admitted, endpoint, error)
            connection.abort()
            return serving.AttemptResult.BROKEN
        except BaseException:
            # The caller has disconnected or the deadline has passed. Without
            # the abort the endpoint would continue to work on the request.
            connection.abort()
            raise
        finally:
            connections.release(connection)
            if not self._has_pool(endpoint):
                # The endpoint has restarted: its old connections are useless.
                connections.close()

    def _became_unusable(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether an endpoint became unusable during connection setup.

        Connecting takes up to 0.6 s, in which the endpoint may announce that it
        drains. Requests must not reach it two seconds after that, and the setup
        takes up to a third of this time.
        """
        return not endpoint.is_usable(asyncio.get_running_loop().time())

    async def _request_answer(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        attempt: outcome.Attempt,
        connection: channel.Channel,
    ) -> serving.AttemptResult:
        payload = self._dialect.encode_attempt(
            admitted.call,
            self._attempt_parameters(admitted, endpoint),
        )
        attempt.sent()
        connection.send(payload)
        async with _silence_timeout(admitted, connection):
            head = await connection.read_head()
            decoded_head = self._decode_head(admitted, endpoint, head)
            if decoded_head.verdict is calls.Verdict.OTHER_REQUEST:
                logger.bind(request=admitted.call.id).warning(
                    'passed over the answer to another request',
                )
                head = await connection.skip_to_next_answer()
                decoded_head = self._decode_head(admitted, endpoint, head)
        if decoded_head.verdict is calls.Verdict.MISDIRECTED:
            attempt.refused()
            self._handle_misdirected(admitted, endpoint, decoded_head)
            return serving.AttemptResult.NOT_RUN
        if decoded_head.verdict is calls.Verdict.NOT_RUN:
            attempt.refused()
            self._log.log_rejected(admitted, endpoint, head.status)
            return serving.AttemptResult.NOT_RUN
        attempt.head_seen()
        if decoded_head.verdict in {
            calls.Verdict.OTHER_REQUEST,
            calls.Verdict.INVALID,
        }:
            raise channel.ChannelBrokenError(
                f'status {head.status} is not a valid answer to this request',
                peer=connection.peer,
            )
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
        return await self._forward_plain_answer(
            admitted, attempt, connection, decoded_head, head.status
        )

    def _decode_head(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        head: messages.AnswerHead,
    ) -> calls.DecodedHead:
        """Decode the head of any answer that arrives from an endpoint.

        Refusals, failures and answers to other requests also say whether the
        endpoint drains, unless another instance sent them.
        """
        decoded_head = self._dialect.decode_head(admitted.call, head)
        if (
            decoded_head.is_draining
            and not _is_other_instance(endpoint, decoded_head)
            and endpoint.mark_draining()
        ):
            self._log.log_draining(admitted, endpoint, head.status)
        return decoded_head

    async def _forward_plain_answer(
        self,
        admitted: serving.AdmittedRequest,
        attempt: outcome.Attempt,
        connection: channel.Channel,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> serving.AttemptResult:
        """Buffer a plain answer until it is complete, then forward it."""
        admitted.start_deadline = math.inf
        parts = []
        length = 0
        async with _silence_timeout(admitted, connection):
            while part := await connection.read():
                parts.append(part)
                length += len(part)
                if length > _MAX_ANSWER_BYTES:
                    raise channel.ChannelBrokenError(
                        'the answer is longer than the limit',
                        peer=connection.peer,
                    )
        attempt.ended()
        body = b''.join(parts)
        if decoded_head.verdict is calls.Verdict.FAILURE:
            admitted.failed_answer = serving.FailedAnswer(
                status, decoded_head.pairs, body
            )
            return serving.AttemptResult.FAILED
        if admitted.reply.is_started:
            raise channel.ChannelBrokenError(
                'a plain answer came instead of a stream', peer=connection.peer
            )
        admitted.first_event_at = asyncio.get_running_loop().time()
        admitted.reply.send(status, decoded_head.pairs, body)
        return serving.AttemptResult.ANSWERED

    async def _relay_stream(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        attempt: outcome.Attempt,
        connection: channel.Channel,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> serving.AttemptResult:
        """Forward complete events as they arrive."""
        reply = admitted.reply
        endpoint.last_received_at = connection.last_received_at
        while True:
            async with _silence_timeout(admitted, connection):
                part = await connection.read()
            endpoint.last_received_at = connection.last_received_at
            if not part:
                break
            for event in admitted.splitter.feed(part):
                self._start_reply(admitted, decoded_head, status)
                reply.write(event.payload)
            await reply.wait_writable()
        if admitted.splitter.has_partial_event:
            raise events.StreamBrokenError(
                'the stream ended in the middle of an event'
            )
        self._start_reply(admitted, decoded_head, status)
        attempt.ended()
        reply.end()
        return serving.AttemptResult.ANSWERED

    def _start_reply(
        self,
        admitted: serving.AdmittedRequest,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> None:
        """Send the head of the reply with the first event.

        The head is not sent earlier, as another endpoint may still answer until
        then.

        The start deadline applies to each attempt until its own first event,
        even if the caller has events of an earlier attempt. Otherwise a stream
        that is resumed after a crash of its engine may start on old weights
        after their bound (see ``_start_deadline``).
        """
        admitted.start_deadline = math.inf
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
            urgency=_urgency(admitted),
        )

    def _handle_misdirected(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
        decoded_head: calls.DecodedHead,
    ) -> None:
        if _is_other_instance(endpoint, decoded_head):
            endpoint.is_misdirected = True
        self._log.log_misdirected(admitted, endpoint, decoded_head.instance)

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
        endpoint: endpoints.Endpoint,
        result: serving.AttemptResult,
    ) -> None:
        """Report the result of an attempt to the ejector."""
        now = asyncio.get_running_loop().time()
        if result is serving.AttemptResult.ANSWERED:
            answered_at = admitted.first_event_at or now
            seconds = answered_at - admitted.call.request.received_at
            self._cluster.ejector.observe(endpoint.listing.id, seconds, now)
        elif (
            result is not serving.AttemptResult.NOT_RUN
            and not endpoint.is_loading
        ):
            # An engine that loads new weights cuts off running requests.
            self._cluster.record_failure(endpoint, now)


def _is_other_instance(
    endpoint: endpoints.Endpoint, decoded_head: calls.DecodedHead
) -> bool:
    return decoded_head.instance not in {'', endpoint.listing.id}


def _urgency(admitted: serving.AdmittedRequest) -> int:
    """Return the priority at the engine: by team first, then by route."""
    team_priority = 0 if admitted.team is None else admitted.team.priority
    return min(
        max(team_priority * 3 + admitted.route.priority, 0), _MAX_URGENCY
    )


def _silence_timeout(
    admitted: serving.AdmittedRequest,
    connection: channel.Channel,
) -> _SilenceTimeout:
    """Return the timeout for the next bytes of an answer."""
    deadline = min(_silence_deadline(admitted), admitted.start_deadline)
    return _SilenceTimeout(
        None if deadline == math.inf else deadline, connection
    )


def _silence_deadline(admitted: serving.AdmittedRequest) -> float:
    """Return the time at which an attempt at a silent endpoint is abandoned."""
    now = asyncio.get_running_loop().time()
    route = admitted.route
    if not route.is_repeatable or admitted.run_count >= route.max_runs:
        return math.inf
    if admitted.reply.is_started:
        return now + route.max_event_gap + _EVENT_GAP_GRACE_SECONDS
    if route.kind is routing.RouteKind.STREAM:
        return now + route.latency_target + _FIRST_EVENT_GRACE_SECONDS
    return now + _PLAIN_ANSWER_TIME_SHARE * (admitted.deadline - now)


class _SilenceTimeout:
    """Abandon an endpoint that sends nothing for too long.

    This applies to requests that may run once more only. Any other request can
    have no answer but the late one.
    """

    __slots__ = ('_timeout', '_connection')

    def __init__(
        self, deadline: float | None, connection: channel.Channel
    ) -> None:
        self._timeout = asyncio.timeout_at(deadline)
        self._connection = connection

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *exc_info: typing.Any) -> None:
        try:
            await self._timeout.__aexit__(*exc_info)
        except TimeoutError as error:
            raise channel.ChannelBrokenError(
                'the endpoint sent nothing until the timeout',
                peer=self._connection.peer,
                fault=channel.Fault.SILENT,
            ) from error
