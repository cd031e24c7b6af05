"""Send a request to one endpoint and hand its answer on."""

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
    from clementinepass.requests import outcome

#: Seconds for which a connection may have been idle and still carry a request
#: that must not run twice. An endpoint that ends it meanwhile leaves open
#: whether it has read the request; endpoints keep connections for seconds.
_MAX_IDLE_SECONDS = 1.0
#: Seconds for a connection to an endpoint. Two round trips take some
#: milliseconds; a lost packet is sent again after one second.
_CONNECT_TIMEOUT_SECONDS = 0.6
#: Bytes of a plain answer that are kept until it is whole.
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
#: Seconds beyond the aim after which a request that may run twice is tried
#: elsewhere. Callers give a stream up after two seconds without an event.
_FIRST_EVENT_GRACE_SECONDS = 0.9
#: Seconds without an event, beyond the gap that is allowed, after which a
#: stream is resumed elsewhere; the rest of those two seconds is for that.
_EVENT_GAP_GRACE_SECONDS = 0.7
#: The part of the time left after which a plain request that may run twice is
#: tried elsewhere. Answers take a ninth of it, the slowest a half.
_PLAIN_ANSWER_TIME_SHARE = 0.5
_MAX_URGENCY = 9


class _EndpointPool(typing.NamedTuple):
    """Connections to one start of an endpoint."""

    endpoint: endpoints.Endpoint
    connections: pool.Pool


class Sender:
    """Send requests to endpoints, on connections that are kept.

    :param dialect: how endpoints spell requests and answers.
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
        #: Services of which a request was answered since the start.
        self._answered_services: set[str] = set()

    async def send(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> serving.AttemptResult:
        """Send a request to an endpoint and hand on what comes."""
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
        """Close the connections to an endpoint that is gone."""
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
        connections = self._pool(admitted, endpoint)
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
            # The caller has left or the time is over: the endpoint must hear
            # of it, or it works on for nobody.
            connection.abort()
            raise
        finally:
            connections.release(connection)
            if not self._has_pool(endpoint):
                # It has started anew meanwhile: no more requests here.
                connections.close()

    def _became_unusable(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether an endpoint left while its connection was made.

        Failure: the endpoint was chosen, its connection took up to 0.6 s, and
        it had said meanwhile that it leaves. Two seconds after that it must get
        nothing more, and what follows the choice used up a third of them.
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
            decoded_head = self._dialect.decode_head(admitted.call, head)
            if decoded_head.verdict is calls.Verdict.OTHER_REQUEST:
                logger.bind(request=admitted.call.id).warning(
                    'passed over the answer to another request',
                )
                head = await connection.skip_to_next_answer()
                decoded_head = self._dialect.decode_head(admitted.call, head)
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
                f'status {head.status} is no answer to this request',
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

    async def _forward_plain_answer(
        self,
        admitted: serving.AdmittedRequest,
        attempt: outcome.Attempt,
        connection: channel.Channel,
        decoded_head: calls.DecodedHead,
        status: int,
    ) -> serving.AttemptResult:
        """Take a plain answer whole, then hand it on."""
        admitted.start_deadline = math.inf
        parts = []
        length = 0
        async with _silence_timeout(admitted, connection):
            while part := await connection.read():
                parts.append(part)
                length += len(part)
                if length > _MAX_ANSWER_BYTES:
                    raise channel.ChannelBrokenError(
                        'the answer is too long',
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
            raise channel.ChannelBrokenError('no stream', peer=connection.peer)
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
        """Hand on whole events as they come."""
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
            raise events.StreamBrokenError('the last event is cut short')
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
        """Send the head before the first event.

        Only then: until it went out, another endpoint may still answer.

        The time to begin holds for each attempt until its own first event.
        Failure: a stream whose engine had crashed was sent on and began on
        old weights after their bound, since its caller had events already.
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
        """Return the time by which a request must begin at an endpoint.

        Failure: a request waited in an engine's queue for longer than its
        estimate, and began on old weights after their bound. Given up before
        that, the end of its connection takes it out of the queue.
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
            # The engine may have restarted with older weights unseen.
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
        is_other_instance = decoded_head.instance not in {
            '',
            endpoint.listing.id,
        }
        if is_other_instance:
            endpoint.is_misdirected = True
        self._log.log_misdirected(admitted, endpoint, decoded_head.instance)

    def _pool(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> pool.Pool:
        """Return the connections to one start of an endpoint.

        Failure: a request that must not run twice went out on a connection to
        the process before, which was gone, and so it may have run for all
        that this entry could tell.
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
        """Tell the ejector how the endpoint did."""
        now = asyncio.get_running_loop().time()
        if result is serving.AttemptResult.ANSWERED:
            answered_at = admitted.first_event_at or now
            seconds = answered_at - admitted.call.request.received_at
            self._cluster.ejector.observe(endpoint.listing.id, seconds, now)
        elif (
            result is not serving.AttemptResult.NOT_RUN
            and not endpoint.is_loading
        ):
            # An engine that takes up new weights cuts what still runs.
            self._cluster.record_failure(endpoint, now)


def _urgency(admitted: serving.AdmittedRequest) -> int:
    """Return the rank at the engine: the team's goes before the route's."""
    team_priority = 0 if admitted.team is None else admitted.team.priority
    return min(
        max(team_priority * 3 + admitted.route.priority, 0), _MAX_URGENCY
    )


def _silence_timeout(
    admitted: serving.AdmittedRequest,
    connection: channel.Channel,
) -> _SilenceTimeout:
    """Return how long to wait for what comes next."""
    deadline = min(_silence_deadline(admitted), admitted.start_deadline)
    return _SilenceTimeout(
        None if deadline == math.inf else deadline, connection
    )


def _silence_deadline(admitted: serving.AdmittedRequest) -> float:
    """Return the time at which a silent endpoint is given up."""
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
    """Give an endpoint up that says nothing for too long.

    Only for what may run once more: for anything else a late answer is the
    only one that there can be.
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
                'the endpoint is silent',
                peer=self._connection.peer,
                fault=channel.Fault.SILENT,
            ) from error
