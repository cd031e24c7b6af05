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
_FRESH_SECONDS = 1.0
#: Seconds for a connection to an endpoint. Two round trips take some
#: milliseconds; a lost packet is sent again after one second.
_CONNECT_SECONDS = 0.6
#: Bytes of a plain answer that are kept until it is whole.
_LONGEST_ANSWER = 16 * 1024 * 1024
#: Seconds beyond the aim after which a request that may run twice is tried
#: elsewhere. Callers give a stream up after two seconds without an event.
_SILENT_FIRST = 0.9
#: Seconds without an event, beyond the gap that is allowed, after which a
#: stream is resumed elsewhere; the rest of those two seconds is for that.
_SILENT_GAP = 0.7
#: The part of the time left after which a plain request that may run twice is
#: tried elsewhere. Answers take a ninth of it, the slowest a half.
_SILENT_PART = 0.5
_MOST_URGENCY = 9


class _Kept(typing.NamedTuple):
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
        '_kept_by_id',
        '_log',
    )

    def __init__(
        self,
        known: cluster_state.ClusterState,
        dialect: calls.Dialect,
        log: request_log.RequestLog,
    ) -> None:
        self._cluster = known
        self._dialect = dialect
        self._log = log
        self._kept_by_id: dict[str, _Kept] = {}
        #: Services of which a request was answered since the start.
        self._answered_services: set[str] = set()

    async def send(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
    ) -> serving.Tried:
        """Send a request to an endpoint and hand on what comes."""
        attempt = admitted.begin_attempt(endpoint.listing.id)
        self._log.sending(admitted, endpoint)
        endpoint.in_flight += 1
        endpoint.reported.sent(asyncio.get_running_loop().time())
        try:
            tried = await self._exchange(admitted, endpoint, attempt)
        finally:
            endpoint.in_flight -= 1
            if not attempt.finished:
                attempt.given_up()
        self._note(admitted, endpoint, tried)
        if tried is serving.Tried.ANSWERED:
            self._note_first(admitted.service.name)
        return tried

    def forget(self, endpoint_id: str) -> None:
        """Close the connections to an endpoint that is gone."""
        kept = self._kept_by_id.pop(endpoint_id, None)
        if kept is not None:
            kept.connections.close()

    def _note_first(self, service: str) -> None:
        if service in self._answered_services:
            return
        self._answered_services.add(service)
        logger.bind(service=service, seconds=uptime.seconds()).info(
            'first request answered',
        )

    async def _exchange(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
        attempt: outcome.Attempt,
    ) -> serving.Tried:
        peers = self._pool(admitted, endpoint)
        admitted.begin_by = self._begin_by(admitted, endpoint)
        repeatable = admitted.route.repeatable
        try:
            used = await peers.acquire(
                max_idle_seconds=math.inf if repeatable else _FRESH_SECONDS,
                seconds=_CONNECT_SECONDS,
            )
        except channel.ChannelBrokenError as error:
            attempt.refused()
            now = asyncio.get_running_loop().time()
            self._cluster.failed(endpoint, now)
            self._log.attempt_failed(admitted, endpoint, error)
            return serving.Tried.NOT_RUN
        admitted.channel = used
        try:
            if self._left_meanwhile(endpoint):
                attempt.refused()
                return serving.Tried.NOT_RUN
            return await self._talk(admitted, endpoint, attempt, used)
        except (channel.ChannelBrokenError, events.StreamBrokenError) as error:
            attempt.failed(errors.Execution.MAY_HAVE_RUN)
            self._log.attempt_failed(admitted, endpoint, error)
            used.abort()
            return serving.Tried.BROKEN
        except BaseException:
            # The caller has left or the time is over: the endpoint must hear
            # of it, or it works on for nobody.
            used.abort()
            raise
        finally:
            peers.release(used)
            if not self._is_kept(endpoint):
                # It has started anew meanwhile: no more requests here.
                peers.close()

    def _left_meanwhile(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether an endpoint left while its connection was made.

        Failure: the endpoint was chosen, its connection took up to 0.6 s, and
        it had said meanwhile that it leaves. Two seconds after that it must get
        nothing more, and what follows the choice used up a third of them.
        """
        return not endpoint.usable(asyncio.get_running_loop().time())

    async def _talk(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
        attempt: outcome.Attempt,
        used: channel.Channel,
    ) -> serving.Tried:
        payload = self._dialect.attempt(
            admitted.call,
            self._sending(admitted, endpoint),
        )
        attempt.sent()
        used.send(payload)
        async with _patience(admitted, used):
            head = await used.read_head()
            facts = self._dialect.answer(admitted.call, head)
            if facts.verdict is calls.Verdict.FOREIGN:
                logger.bind(request=admitted.call.id).warning(
                    'passed over the answer to another request',
                )
                head = await used.skip_to_next_answer()
                facts = self._dialect.answer(admitted.call, head)
        if facts.verdict is calls.Verdict.MISDIRECTED:
            attempt.refused()
            self._misdirected(admitted, endpoint, facts)
            return serving.Tried.NOT_RUN
        if facts.verdict is calls.Verdict.NOT_RUN:
            attempt.refused()
            self._log.turned_away(admitted, endpoint, head.status)
            return serving.Tried.NOT_RUN
        attempt.head_seen()
        if facts.verdict in {calls.Verdict.FOREIGN, calls.Verdict.SPOILED}:
            raise channel.ChannelBrokenError(
                f'status {head.status} is no answer to this request',
                peer=used.peer,
            )
        if facts.verdict is calls.Verdict.SUCCESS and facts.is_stream:
            endpoint.streams += 1
            try:
                return await self._relay(
                    admitted, endpoint, attempt, used, facts, head.status
                )
            finally:
                endpoint.streams -= 1
        return await self._collect(admitted, attempt, used, facts, head.status)

    async def _collect(
        self,
        admitted: serving.Serving,
        attempt: outcome.Attempt,
        used: channel.Channel,
        facts: calls.AnswerFacts,
        status: int,
    ) -> serving.Tried:
        """Take a plain answer whole, then hand it on."""
        admitted.begin_by = math.inf
        parts = []
        length = 0
        async with _patience(admitted, used):
            while part := await used.read():
                parts.append(part)
                length += len(part)
                if length > _LONGEST_ANSWER:
                    raise channel.ChannelBrokenError(
                        'the answer is too long',
                        peer=used.peer,
                    )
        attempt.ended()
        body = b''.join(parts)
        if facts.verdict is calls.Verdict.FAILURE:
            admitted.failure = serving.Failure(status, facts.pairs, body)
            return serving.Tried.FAILED
        if admitted.reply.is_started:
            raise channel.ChannelBrokenError('no stream', peer=used.peer)
        admitted.first_event_at = asyncio.get_running_loop().time()
        admitted.reply.send(status, facts.pairs, body)
        return serving.Tried.ANSWERED

    async def _relay(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
        attempt: outcome.Attempt,
        used: channel.Channel,
        facts: calls.AnswerFacts,
        status: int,
    ) -> serving.Tried:
        """Hand on whole events as they come."""
        reply = admitted.reply
        endpoint.heard = used.last_received_at
        while True:
            async with _patience(admitted, used):
                part = await used.read()
            endpoint.heard = used.last_received_at
            if not part:
                break
            for event in admitted.splitter.feed(part):
                self._first(admitted, facts, status)
                reply.write(event.payload)
            await reply.wait_writable()
        if admitted.splitter.partial:
            raise events.StreamBrokenError('the last event is cut short')
        self._first(admitted, facts, status)
        attempt.ended()
        reply.end()
        return serving.Tried.ANSWERED

    def _first(
        self,
        admitted: serving.Serving,
        facts: calls.AnswerFacts,
        status: int,
    ) -> None:
        """Send the head before the first event.

        Only then: until it went out, another endpoint may still answer.

        The time to begin holds for each attempt until its own first event.
        Failure: a stream whose engine had crashed was sent on and began on
        old weights after their bound, since its caller had events already.
        """
        admitted.begin_by = math.inf
        if not admitted.reply.is_started:
            admitted.reply.start(status, facts.pairs)
            admitted.first_event_at = asyncio.get_running_loop().time()

    def _begin_by(
        self,
        admitted: serving.Serving,
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
        return self._cluster.begin_by(engine, endpoint.weights.version)

    def _sending(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
    ) -> calls.Sending:
        now = asyncio.get_running_loop().time()
        engine = admitted.service.engine
        version = 0
        if engine is not None and self._cluster.required_version(engine, now):
            # The engine may have restarted with older weights unseen.
            version = endpoint.weights.version
        team = admitted.team
        return calls.Sending(
            endpoint_id=endpoint.listing.id,
            seconds=admitted.final_at - now,
            team='' if team is None else team.name,
            version=version,
            resume_after=admitted.resume_after,
            urgency=_urgency(admitted),
        )

    def _misdirected(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
        facts: calls.AnswerFacts,
    ) -> None:
        another = facts.instance not in {'', endpoint.listing.id}
        if another:
            endpoint.misdirected = True
        self._log.misdirected(admitted, endpoint, facts.instance)

    def _pool(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
    ) -> pool.Pool:
        """Return the connections to one start of an endpoint.

        Failure: a request that must not run twice went out on a connection to
        the process before, which was gone, and so it may have run for all
        that this entry could tell.
        """
        listing = endpoint.listing
        if not self._is_kept(endpoint):
            self.forget(listing.id)
            most = admitted.service.most_connections
            peers = pool.Pool.from_address(listing.address, most)
            self._kept_by_id[listing.id] = _Kept(endpoint, peers)
        return self._kept_by_id[listing.id].connections

    def _is_kept(self, endpoint: endpoints.Endpoint) -> bool:
        kept = self._kept_by_id.get(endpoint.listing.id)
        return kept is not None and kept.endpoint is endpoint

    def _note(
        self,
        admitted: serving.Serving,
        endpoint: endpoints.Endpoint,
        tried: serving.Tried,
    ) -> None:
        """Tell the ejector how the endpoint did."""
        now = asyncio.get_running_loop().time()
        if tried is serving.Tried.ANSWERED:
            first = admitted.first_event_at or now
            seconds = first - admitted.call.request.received_at
            self._cluster.ejector.observe(endpoint.listing.id, seconds, now)
        elif tried is not serving.Tried.NOT_RUN and not endpoint.loading:
            # An engine that takes up new weights cuts what still runs.
            self._cluster.failed(endpoint, now)


def _urgency(admitted: serving.Serving) -> int:
    """Return the rank at the engine: the team's goes before the route's."""
    team = 0 if admitted.team is None else admitted.team.priority
    return min(max(team * 3 + admitted.route.priority, 0), _MOST_URGENCY)


def _patience(
    admitted: serving.Serving,
    used: channel.Channel,
) -> _Patience:
    """Return how long to wait for what comes next."""
    until = min(_silent_until(admitted), admitted.begin_by)
    return _Patience(None if until == math.inf else until, used)


def _silent_until(admitted: serving.Serving) -> float:
    """Return the time at which a silent endpoint is given up."""
    now = asyncio.get_running_loop().time()
    route = admitted.route
    if not route.repeatable or admitted.runs >= route.most_attempts:
        return math.inf
    if admitted.reply.is_started:
        return now + route.longest_gap + _SILENT_GAP
    if route.kind is routing.RouteKind.STREAM:
        return now + route.aim + _SILENT_FIRST
    return now + _SILENT_PART * (admitted.final_at - now)


class _Patience:
    """Give an endpoint up that says nothing for too long.

    Only for what may run once more: for anything else a late answer is the
    only one that there can be.
    """

    __slots__ = ('_timeout', '_used')

    def __init__(self, until: float | None, used: channel.Channel) -> None:
        self._timeout = asyncio.timeout_at(until)
        self._used = used

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()

    async def __aexit__(self, *raised: typing.Any) -> None:
        try:
            await self._timeout.__aexit__(*raised)
        except TimeoutError as error:
            raise channel.ChannelBrokenError(
                'the endpoint is silent',
                peer=self._used.peer,
                fault=channel.Fault.SILENT,
            ) from error
