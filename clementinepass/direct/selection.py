"""Select the endpoint for a request."""

from __future__ import annotations

import asyncio
import functools
import itertools
import math
import typing

from clementinepass.decisions import (
    endpoint_backoff,
    endpoint_choice,
    first_event,
    slot_wait,
    timely_start,
    waiting_line,
)
from clementinepass.direct import calls, routing
from clementinepass.direct.placement import slot_selection

if typing.TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from clementinepass.direct import (
        cluster_state,
        endpoints,
        node,
        request_log,
        serving,
    )
    from clementinepass.direct.placement import requesting

#: Seconds for which a request waits while engines load weights. An engine
#: finishes its running requests and loads within this time.
_LOADING_WAIT_SECONDS = 1.2
_POLL_SECONDS = 0.03
_UNKNOWN_SERVICE_RATE = first_event.ServiceRate(0, 0)
#: Engines with fresh reports without which slots are not used: on links that
#: are full of weights, reports are late, and all requests would wait for the
#: few engines whose reports arrive.
_MIN_REACHABLE = 2
#: Engines with congested links are not considered if at least this many others
#: can be selected.
_MIN_UNCONGESTED = 2


class EndpointSelector:
    """Select endpoints by the state of the cluster.

    :param local_node: the entry.
    :param cluster: configuration, versions, endpoints and loads.
    """

    __slots__ = (
        '_cluster',
        '_lines_by_service',
        '_log',
        '_local_node',
        '_rng',
        '_slots',
    )

    def __init__(
        self,
        local_node: node.Node,
        cluster: cluster_state.ClusterState,
        log: request_log.RequestLog,
        rng: random.Random,
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._log = log
        self._rng = rng
        self._lines_by_service: dict[str, waiting_line.WaitingLine] = {}
        self._slots = slot_selection.SlotSelector(cluster, log, rng)

    @property
    def slot_requests(self) -> requesting.SlotRequests:
        """Return the requests that wait for slots of engines."""
        return self._slots.requests

    async def select_first(
        self,
        admitted: serving.AdmittedRequest,
    ) -> endpoints.Endpoint | None:
        """Select an endpoint, waiting briefly for engines that load weights.

        All engines may load a new version within the same second. Without the
        wait, requests of that second are refused with a retry after two
        seconds, though an engine is available after half a second.
        """
        loop = asyncio.get_running_loop()
        wait_deadline = (
            admitted.call.request.received_at + _LOADING_WAIT_SECONDS
        )
        self._slots.observe(admitted)
        if not await self._wait_for_admission(admitted):
            return None
        if self._cluster.is_contended(admitted.service, loop.time()):
            await self._wait_for_engines(admitted)
            preparation = self._prepare(admitted, loop.time())
            if len(preparation.engines.combined) >= _MIN_REACHABLE:
                return await self._slots.select(preparation)
        endpoint = self.select(admitted)
        while endpoint is None and loop.time() < wait_deadline:
            if self._usable(admitted, loop.time()):
                break
            if not self._cluster.is_loading(admitted.service, loop.time()):
                break
            await asyncio.sleep(_POLL_SECONDS)
            endpoint = self.select(admitted)
        return endpoint

    async def _wait_for_engines(
        self, admitted: serving.AdmittedRequest
    ) -> None:
        """Wait for engines if the caller was refused before.

        Otherwise callers that come back while all engines load weights are
        refused a second time.
        """
        if not admitted.seconds_before:
            return
        loop = asyncio.get_running_loop()
        wait_deadline = loop.time() + _max_wait(admitted, loop.time())
        while loop.time() < wait_deadline:
            if self._usable(admitted, loop.time()):
                return
            if self._cluster.exclusion(admitted, loop.time()) is not None:
                return
            await asyncio.sleep(_POLL_SECONDS)

    def _prepare(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> slot_selection.Preparation:
        """Return the engines for a request of a contended service."""
        reachable = [
            endpoint
            for endpoint in self._available(admitted, now)
            if endpoint.reported_load.is_fresh(now)
            and endpoint.congested_until <= now
        ]
        newest_version = _newest_version(reachable)
        candidates = self._candidates(
            reachable, admitted.service.engine, now, newest_version
        )
        startable = {
            candidate.endpoint_id
            for candidate in _startable_in_time(admitted, candidates)
        }
        engines = [
            endpoint
            for endpoint in reachable
            if endpoint.listing.id in startable
        ]
        return slot_selection.Preparation(
            admitted,
            slot_selection.Engines(
                list(filter(self._is_in_local_domain, engines)),
                list(itertools.filterfalse(self._is_in_local_domain, engines)),
            ),
            functools.partial(self._choose, admitted, newest_version),
            functools.partial(self._is_still_usable, admitted),
            slot_wait.Timing(
                prompt_tokens=admitted.call.prompt_tokens,
                latency_target=admitted.route.latency_target,
                elapsed_seconds=now - admitted.call.request.received_at,
                patience_seconds=_max_wait(admitted, now),
                is_returning=bool(admitted.seconds_before),
            ),
        )

    def _choose(
        self,
        admitted: serving.AdmittedRequest,
        newest_version: int,
        engines: Sequence[endpoints.Endpoint],
    ) -> endpoint_choice.Choice | None:
        now = asyncio.get_running_loop().time()
        candidates = self._candidates(
            engines, admitted.service.engine, now, newest_version
        )
        return endpoint_choice.choose(candidates, self._rng)

    def _is_still_usable(
        self,
        admitted: serving.AdmittedRequest,
        endpoint: endpoints.Endpoint,
    ) -> bool:
        now = asyncio.get_running_loop().time()
        return endpoint.admits(now) and endpoint in self._usable(admitted, now)

    async def select_next(
        self, admitted: serving.AdmittedRequest
    ) -> endpoints.Endpoint | None:
        """Select an endpoint for another attempt."""
        if not await self._wait_for_admission(admitted):
            return None
        return self.select(admitted)

    def select(
        self, admitted: serving.AdmittedRequest
    ) -> endpoints.Endpoint | None:
        """Select an endpoint; return ``None`` if none has free capacity."""
        now = asyncio.get_running_loop().time()
        usable = self._usable(admitted, now)
        engine = admitted.service.engine
        available = self._available(admitted, now)
        sampled = (
            available
            if engine is None
            else self._sample_engines(available, now)
        )
        compared = self._candidates(
            sampled, engine, now, _newest_version(available)
        )
        startable = _startable_in_time(admitted, compared)
        choice = endpoint_choice.choose(startable, self._rng)
        if choice is None:
            admitted.retry_after = _retry_after(usable, now)
            return None
        if not admitted.attempts and not self._answers_in_time(
            admitted, choice, now
        ):
            self._log.log_overloaded(admitted, choice)
            return None
        return self._cluster.endpoints.get(choice.endpoint_id)

    def _usable(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> list[endpoints.Endpoint]:
        return self._cluster.candidates(
            admitted.service, now, admitted.allowed_regions
        )

    async def _wait_for_admission(
        self, admitted: serving.AdmittedRequest
    ) -> bool:
        """Wait for a pause or a limit if it leaves time for the answer.

        A request that cannot wait is not sent to one endpoint after the other:
        each of them would turn it away, and the retry budget would be spent.

        :returns: whether an endpoint may be selected.
        """
        line = self._lines_by_service.setdefault(
            admitted.service.name, waiting_line.WaitingLine()
        )
        loop = asyncio.get_running_loop()
        wait_deadline = loop.time() + _max_wait(admitted, loop.time())
        ticket = line.join(admitted.urgency)
        try:
            while True:
                seconds = self._seconds_until_turn(
                    admitted, line, ticket, loop.time()
                )
                if not seconds:
                    return True
                if loop.time() + seconds > wait_deadline:
                    return self._may_not_wait(admitted, seconds)
                await asyncio.sleep(_POLL_SECONDS)
        finally:
            line.leave(ticket)

    def _may_not_wait(
        self, admitted: serving.AdmittedRequest, seconds: float
    ) -> bool:
        """Note why a request cannot wait.

        :param seconds: seconds until it could be sent.
        :returns: whether an endpoint may be selected nevertheless.
        """
        now = asyncio.get_running_loop().time()
        usable = self._usable(admitted, now)
        limits = [endpoint.rate_limit for endpoint in usable]
        if not any(limit.is_named for limit in limits):
            self._log.log_all_paused(admitted, seconds)
            return True
        if not math.isfinite(seconds):
            seconds = 1 / sum(limit.rate or 0 for limit in limits)
        admitted.is_limited = True
        admitted.retry_after = endpoint_backoff.retry_after(seconds)
        self._log.log_all_limited(admitted)
        return False

    def _seconds_until_turn(
        self,
        admitted: serving.AdmittedRequest,
        line: waiting_line.WaitingLine,
        ticket: waiting_line.Ticket,
        now: float,
    ) -> float:
        """Return the seconds until the request may be sent somewhere.

        :param line: the requests that wait; those ahead go first to endpoints
            with limits.
        :returns: 0 if there is no endpoint to wait for, or one that can be used
            now.
        """
        untried = _untried(admitted, self._usable(admitted, now))
        unlimited = [
            endpoint for endpoint in untried if not endpoint.rate_limit.is_named
        ]
        if not untried or any(endpoint.admits(now) for endpoint in unlimited):
            return 0
        limited = [
            endpoint for endpoint in untried if endpoint.rate_limit.share
        ]
        waits = [
            max(endpoint.seconds_until_admission(now), _POLL_SECONDS)
            for endpoint in unlimited
        ]
        if limited:
            ahead = line.count_ahead(ticket)
            waits.append(_seconds_in_line(limited, ahead, now))
        return min(waits, default=math.inf)

    def _healthy(
        self,
        untried: list[endpoints.Endpoint],
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that are neither ejected nor stalled.

        If no endpoint is healthy, all of them are returned, as there is none
        to prefer.
        """
        ejected = self._cluster.ejector.ejected_endpoints(now)
        healthy = [
            endpoint
            for endpoint in untried
            if endpoint.listing.id not in ejected
            and not endpoint.is_stalled(now)
        ]
        return healthy or untried

    def _available(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints to which a request may be sent now."""
        untried = [
            endpoint
            for endpoint in _untried(admitted, self._usable(admitted, now))
            if endpoint.admits(now)
        ]
        return self._healthy(untried, now)

    def _candidates(
        self,
        compared: Sequence[endpoints.Endpoint],
        engine: routing.Engine | None,
        now: float,
        newest_version: int,
    ) -> list[endpoint_choice.Candidate]:
        """Return the candidates among which an endpoint is chosen.

        :param newest_version: of the weights of all endpoints.
        """
        return [
            endpoint_choice.Candidate(
                endpoint.listing.id,
                self._cluster.loads.total(endpoint, now),
                endpoint.listing.slots,
                is_same_domain=self._is_in_local_domain(endpoint),
                has_old_version=endpoint.weights.version < newest_version,
                is_congested=endpoint.congested_until > now,
                unstarted=self._cluster.loads.unstarted(endpoint, now),
                usable_seconds=self._usable_seconds(endpoint, engine, now),
                pace=endpoint.reported_load.pace_at(now),
            )
            for endpoint in compared
        ]

    def _sample_engines(
        self,
        healthy: list[endpoints.Endpoint],
        now: float,
    ) -> Sequence[endpoints.Endpoint]:
        """Return a sample of a service's engines.

        Engines of other failure domains are considered only if their agents'
        reports are fresh, as their loads are hardly known otherwise. Engines of
        the local domain are considered even without reports: on a link that is
        full of weights, reports are late or lost, and requests would pile up at
        the few engines whose agents' reports arrive.
        """
        uncongested = [
            endpoint for endpoint in healthy if endpoint.congested_until <= now
        ]
        if len(uncongested) < _MIN_UNCONGESTED:
            uncongested = healthy
        remote = [
            endpoint
            for endpoint in uncongested
            if not self._is_in_local_domain(endpoint)
        ]
        return endpoint_choice.sample(
            [
                endpoint
                for endpoint in uncongested
                if self._is_in_local_domain(endpoint)
            ],
            [
                endpoint
                for endpoint in remote
                if endpoint.reported_load.is_fresh(now)
            ]
            or remote,
            self._rng,
        )

    def _is_in_local_domain(self, endpoint: endpoints.Endpoint) -> bool:
        return endpoint.listing.domain == self._local_node.domain

    def _usable_seconds(
        self,
        endpoint: endpoints.Endpoint,
        engine: routing.Engine | None,
        now: float,
    ) -> float:
        if engine is None:
            return math.inf
        start_deadline = self._cluster.start_deadline(
            engine, endpoint.weights.version
        )
        return start_deadline - now

    def _answers_in_time(
        self,
        admitted: serving.AdmittedRequest,
        choice: endpoint_choice.Choice,
        now: float,
    ) -> bool:
        """Tell whether the best endpoint meets the latency target.

        The ``Retry-After`` of the request is set as well, by the queue there.
        """
        engine = admitted.service.engine
        service_rate = (
            _UNKNOWN_SERVICE_RATE if engine is None else engine.service_rate
        )
        admitted.retry_after = first_event.retry_after(
            choice.queue_depth, service_rate
        )
        pending_request = first_event.PendingRequest(
            queue_depth=choice.queue_depth,
            slots=choice.slots,
            prompt_tokens=admitted.call.prompt_tokens,
            latency_target=admitted.route.latency_target,
            elapsed_seconds=now - admitted.call.request.received_at,
            pace=choice.pace,
        )
        return first_event.meets_target(pending_request, service_rate)


def _newest_version(available: list[endpoints.Endpoint]) -> int:
    return max((endpoint.weights.version for endpoint in available), default=0)


def _untried(
    admitted: serving.AdmittedRequest, usable: list[endpoints.Endpoint]
) -> list[endpoints.Endpoint]:
    return [
        endpoint
        for endpoint in usable
        if endpoint.listing.id not in admitted.tried_endpoint_ids
    ]


def _max_wait(admitted: serving.AdmittedRequest, now: float) -> float:
    """Return the seconds for which a request may wait for an endpoint."""
    event_wait_left = math.inf
    if admitted.route.kind is routing.RouteKind.STREAM:
        last_event_at = (
            admitted.reply.last_written_at or admitted.call.request.received_at
        )
        event_wait = calls.max_event_wait(admitted.route)
        event_wait_left = last_event_at + event_wait - now
    return endpoint_backoff.max_wait(admitted.deadline - now, event_wait_left)


def _retry_after(usable: list[endpoints.Endpoint], now: float) -> float:
    """Return the seconds after which an endpoint may be available again."""
    seconds = [
        endpoint.seconds_until_admission(now)
        for endpoint in usable
        if not endpoint.admits(now)
    ]
    if not seconds:
        return first_event.MAX_RETRY_AFTER
    return endpoint_backoff.retry_after(min(seconds))


def _seconds_in_line(
    limited: list[endpoints.Endpoint], ahead: int, now: float
) -> float:
    """Return the seconds until limited endpoints allow a waiting request.

    :param limited: endpoints of whose limits this entry has a share.
    :param ahead: requests that go first.
    """
    seconds = sorted(
        endpoint.seconds_until_admission(now) for endpoint in limited
    )
    if ahead < len(seconds):
        return seconds[ahead]
    rate = sum(endpoint.rate_limit.share for endpoint in limited)
    return seconds[-1] + (ahead - len(seconds) + 1) / rate


def _startable_in_time(
    admitted: serving.AdmittedRequest,
    candidates: list[endpoint_choice.Candidate],
) -> list[endpoint_choice.Candidate]:
    """Return the endpoints whose weights are still allowed at the start."""
    engine = admitted.service.engine
    if engine is None:
        return candidates
    request = timely_start.Request(
        admitted.call.prompt_tokens,
        engine.mean_prompt_tokens,
    )
    return timely_start.filter_timely(request, candidates, engine.service_rate)
