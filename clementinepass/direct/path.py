"""Serve callers' requests: admit, select an endpoint, send, relay, answer."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import departure as drain_decisions
from clementinepass.decisions import (
    eligibility,
    first_event,
    next_try,
    silence,
    window_budget,
)
from clementinepass.direct import (
    attempt,
    calls,
    configuration_history,
    request_log,
    routing,
    selection,
    serving,
)

if typing.TYPE_CHECKING:
    import random

    from clementinepass.direct import (
        cluster_state,
        departure,
        endpoints,
        node,
    )
    from clementinepass.direct.placement import requesting
    from clementinepass.http import messages, replies

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Default of ``Retry-After`` in seconds. An entry that is starting has its
#: configuration by then.
_RETRY_AFTER_SECONDS = 0.4
#: Range of ``Retry-After`` in seconds for lack of memory. Callers that do not
#: read are cut off after seconds; the range spreads the returns.
_MEMORY_RETRY_AFTER_SECONDS = (1.0, 2.0)
#: Seconds that a retry needs from sending a stream's request to its first
#: event: twice the usual time.
_FIRST_EVENT_MARGIN_SECONDS = 0.35
#: Seconds between two searches for an endpoint in the place of a silent one.
_SEARCH_INTERVAL_SECONDS = 0.2
_ENDINGS_BY_EXCLUSION = {
    eligibility.Exclusion.REGION: serving.Ending.REGION_NOT_ALLOWED,
    eligibility.Exclusion.EVACUATION: serving.Ending.EVACUATED,
}


class RequestHandler:
    """Serve callers' requests.

    :param local_node: the entry.
    :param cluster: configuration, versions, endpoints and loads.
    :param dialect: decodes requests of callers and answers of endpoints.
    :param sender: sends requests to endpoints.
    :param count_entries: returns the number of entries, including this one.
    :param drain_state: whether, and since when, this entry is draining.
    :param count_ready_peers: returns the number of other entries that callers
        may be sent to.
    """

    __slots__ = (
        '_cluster',
        '_retry_budgets_by_service',
        '_drain_state',
        '_dialect',
        '_count_entries',
        '_log',
        '_count_ready_peers',
        '_local_node',
        '_selector',
        '_rng',
        '_sender',
        '_timeouts_by_request',
        '_configuration_history',
    )

    def __init__(
        self,
        local_node: node.Node,
        cluster: cluster_state.ClusterState,
        dialect: calls.Dialect,
        sender: attempt.Sender,
        log: request_log.RequestLog,
        count_entries: typing.Callable[[], int],
        drain_state: departure.DrainState,
        count_ready_peers: typing.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._local_node = local_node
        self._cluster = cluster
        self._dialect = dialect
        self._sender = sender
        self._log = log
        self._count_entries = count_entries
        self._drain_state = drain_state
        self._count_ready_peers = count_ready_peers
        self._timeouts_by_request: dict[
            serving.AdmittedRequest, asyncio.Timeout
        ] = {}
        self._rng = rng
        self._selector = selection.EndpointSelector(
            local_node, cluster, log, rng
        )
        self._configuration_history = (
            configuration_history.ConfigurationHistory()
        )
        self._retry_budgets_by_service: dict[
            str, window_budget.WindowBudget
        ] = {}
        cluster.crash_evidence.on_quarantine = self._take_back_quarantined

    async def serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Serve one request and send its final answer."""
        call: calls.Call | None = None
        try:
            call = self._dialect.decode_request(request)
            admitted = self._admit(call, reply)
        except calls.InvalidRequestError as error:
            self._log.log_malformed(error, _BAD_REQUEST)
            reply.send(_BAD_REQUEST, self._dialect.refusal_headers(None), b'')
            return
        except Exception as error:
            self._refuse_after_fault(call, reply, error)
            return
        if admitted is not None:
            await self._serve_admitted(admitted)

    async def _serve_admitted(self, admitted: serving.AdmittedRequest) -> None:
        timeout = asyncio.timeout_at(admitted.deadline)
        self._timeouts_by_request[admitted] = timeout
        try:
            async with timeout:
                await self._run_attempts(admitted)
        except TimeoutError:
            self._send_final_answer(admitted, admitted.ending_at_deadline)
        except asyncio.CancelledError:
            if not admitted.reply.is_done:
                self._log.log_interrupted(admitted)
            raise
        except Exception as error:
            self._answer_after_fault(admitted, error)
        finally:
            del self._timeouts_by_request[admitted]
            self._sender.release_all(admitted)

    @property
    def slot_requests(self) -> requesting.SlotRequests:
        """Return the requests that wait for slots of engines."""
        return self._selector.slot_requests

    def finish_by(self, deadline: float) -> None:
        """Send the final answers of all requests in progress by a deadline.

        Otherwise a request without a first event is cut off when the process
        ends, and its caller cannot tell whether the request has run.
        """
        for admitted, timeout in self._timeouts_by_request.items():
            if admitted.shorten_deadline(deadline):
                timeout.reschedule(deadline)

    def _take_back_quarantined(self) -> None:
        """Abort attempts that would crash endpoints when they begin."""
        now = asyncio.get_running_loop().time()
        for admitted in list(self._timeouts_by_request):
            if self._cluster.crash_evidence.is_quarantined(
                admitted.fingerprint, now, admitted.prompt_parts
            ):
                self._sender.take_back(admitted)

    # Admission.

    def _admit(
        self,
        call: calls.Call,
        reply: replies.Reply,
    ) -> serving.AdmittedRequest | None:
        """Match a request to a route, a team and a service, or refuse it."""
        configuration = self._cluster.routing
        if configuration is None:
            self._refuse(call, reply, serving.Ending.STARTING, _UNAVAILABLE)
            return None
        self._configuration_history.record(configuration)
        route = configuration.find_route(call.host, call.request.path)
        if route is None:
            self._refuse(call, reply, serving.Ending.UNKNOWN_ROUTE, _NOT_FOUND)
            return None
        team = None
        if configuration.requires_key and not route.is_public:
            team = configuration.teams_by_key.get(call.key)
            if team is None:
                ending = serving.Ending.UNKNOWN_KEY
                self._refuse(call, reply, ending, _UNAUTHORIZED)
                return None
        deadline = calls.deadline(call, route)
        if (
            call.request.follows_announced_close
            or not self._drain_state.accepts(deadline)
        ):
            self._refuse_while_draining(call, reply)
            return None
        if call.request.is_body_dropped or not self._sender.memory.has_room(0):
            self._refuse(
                call,
                reply,
                serving.Ending.MEMORY_FULL,
                _UNAVAILABLE,
                self._rng.uniform(*_MEMORY_RETRY_AFTER_SECONDS),
            )
            return None
        admitted = serving.AdmittedRequest(
            call,
            reply,
            route,
            self._choose_service(configuration, route),
            team,
            deadline,
        )
        seconds_draining = self._drain_state.seconds_draining(
            call.request.received_at
        )
        if seconds_draining is not None:
            self._log.log_accepted_while_draining(admitted, seconds_draining)
        return admitted

    def _has_memory(self, admitted: serving.AdmittedRequest) -> bool:
        """Tell whether the body may be copied for another endpoint.

        The copy of an ended attempt makes room for the next one.
        """
        return not admitted.open_attempts or self._sender.memory.has_room(
            len(admitted.call.request.body)
        )

    def _choose_service(
        self,
        configuration: routing.Routing,
        route: routing.Route,
    ) -> routing.Service:
        """Return the service that runs the request.

        For a service that is missing in the configuration, a placeholder
        without endpoints is returned, so that its requests are refused like
        those of any service that has none.
        """
        name = route.service_for(self._rng.random())
        service = configuration.services_by_name.get(name)
        return routing.Service(name, 1) if service is None else service

    def _refuse(
        self,
        call: calls.Call,
        reply: replies.Reply,
        ending: serving.Ending,
        status: int,
        retry_after: float = _RETRY_AFTER_SECONDS,
    ) -> None:
        pairs = self._dialect.refusal_headers(call)
        if status == _UNAVAILABLE:
            pairs.append((b'Retry-After', b'%.2f' % retry_after))
        self._log.log_refused(
            call,
            ending,
            status,
            request_log.RefusalContext(
                configuration_version=self._cluster.configuration_version,
                last_matching_version=self._last_matching_version(call, ending),
                store_age_seconds=self._cluster.store_age,
            ),
        )
        reply.send(status, pairs, b'')

    def _last_matching_version(
        self, call: calls.Call, ending: serving.Ending
    ) -> int:
        """Return the newest version that had the missing key or route."""
        if ending is serving.Ending.UNKNOWN_KEY:
            return self._configuration_history.last_version_with_key(call)
        if ending is serving.Ending.UNKNOWN_ROUTE:
            return self._configuration_history.last_version_with_route(call)
        return 0

    def _refuse_while_draining(
        self,
        call: calls.Call,
        reply: replies.Reply,
    ) -> None:
        self._refuse(
            call,
            reply,
            serving.Ending.DRAINING,
            _UNAVAILABLE,
            drain_decisions.retry_after(self._count_ready_peers()),
        )

    # Attempts.

    async def _run_attempts(self, admitted: serving.AdmittedRequest) -> None:
        """Send the request until it is answered or must not be retried."""
        if self._is_barred(admitted):
            self._send_final_answer(admitted, serving.Ending.QUARANTINED)
            return
        endpoint = await self._selector.select_first(admitted)
        if endpoint is None:
            self._send_final_answer(
                admitted, self._ending_without_endpoint(admitted)
            )
            return
        if self._is_barred(admitted):
            # What barred it was found while it waited for an endpoint.
            self._send_final_answer(admitted, serving.Ending.QUARANTINED)
            return
        now = asyncio.get_running_loop().time()
        self._retry_budget(admitted.service.name).record_first_attempt(now)
        self._sender.start(admitted, endpoint)
        try:
            is_answered = await self._wait_for_answer(admitted)
        finally:
            await admitted.abort_attempts()
        if not is_answered:
            self._send_final_answer(
                admitted, self._ending_after_attempts(admitted)
            )

    async def _wait_for_answer(self, admitted: serving.AdmittedRequest) -> bool:
        """Wait for an answer, and start more attempts where they are needed.

        An attempt at a silent endpoint stays open, as the endpoint may go on.

        :returns: whether the request was answered.
        """
        loop = asyncio.get_running_loop()
        next_search_at = loop.time()
        while admitted.open_attempts:
            seconds = self._seconds_until_search(admitted, loop.time())
            seconds = max(seconds, next_search_at - loop.time())
            result = await admitted.next_result(seconds)
            if result is serving.AttemptResult.ANSWERED:
                return True
            if result is not None:
                # Endpoints that were not free may be free now.
                next_search_at = loop.time()
            seconds = self._seconds_until_search(admitted, loop.time())
            if seconds <= 0 and next_search_at <= loop.time():
                await self._start_next_attempt(
                    admitted,
                    is_withdrawn=result is serving.AttemptResult.NOT_SENT,
                )
                next_search_at = loop.time() + _SEARCH_INTERVAL_SECONDS
        return False

    def _seconds_until_search(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> float:
        """Return the seconds until another attempt is needed."""
        route = admitted.route
        return silence.seconds_until_search(
            silence.Expectation(
                is_stream=route.kind is routing.RouteKind.STREAM,
                is_started=admitted.reply.is_started,
                latency_target=route.latency_target,
                max_event_gap=route.max_event_gap,
            ),
            [
                silence.Wait(
                    waiting.waited_seconds(now), admitted.deadline - now
                )
                for waiting in admitted.open_attempts
            ],
            may_run_again=next_try.may_run_again(_history(admitted, now)),
        )

    async def _start_next_attempt(
        self,
        admitted: serving.AdmittedRequest,
        *,
        is_withdrawn: bool,
    ) -> None:
        """Start another attempt if the request may have one.

        :param is_withdrawn: whether the last attempt ended before the request
            was sent. Another one in its place is no retry.
        """
        for silent_attempt in admitted.open_attempts:
            if not silent_attempt.is_silent:
                self._sender.mark_silent(admitted, silent_attempt)
        if self._is_barred(admitted) or not self._has_memory(admitted):
            return
        if is_withdrawn:
            endpoint = await self._select_next(admitted)
        else:
            endpoint = await self._select_for_retry(admitted)
        if endpoint is not None and not self._is_barred(admitted):
            self._sender.start(admitted, endpoint)

    def _is_barred(self, admitted: serving.AdmittedRequest) -> bool:
        """Tell whether a request must not run, as it crashes endpoints."""
        seconds = self._cluster.seconds_barred(
            admitted, asyncio.get_running_loop().time()
        )
        if not seconds:
            return False
        admitted.retry_after = seconds
        return True

    async def _select_for_retry(
        self, admitted: serving.AdmittedRequest
    ) -> endpoints.Endpoint | None:
        """Return the endpoint for a retry, which is taken from the budget."""
        loop = asyncio.get_running_loop()
        decision = self._decide_retry(admitted, loop.time())
        endpoint = None
        if decision is next_try.RetryDecision.ALLOWED:
            endpoint = await self._select_next(admitted)
            if endpoint is None:
                decision = next_try.RetryDecision.NO_ENDPOINT
            elif not self._retry_budget(admitted.service.name).try_acquire(
                loop.time(), self._count_entries()
            ):
                decision = next_try.RetryDecision.BUDGET_SPENT
                endpoint = None
        self._log.log_retry_decision(admitted, decision)
        return endpoint

    async def _select_next(
        self, admitted: serving.AdmittedRequest
    ) -> endpoints.Endpoint | None:
        """Select another endpoint.

        Only without an open attempt is there time to wait for the end of a
        pause: an open one may go on meanwhile.
        """
        if admitted.open_attempts:
            return self._selector.select(admitted)
        return await self._selector.select_next(admitted)

    def _decide_retry(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> next_try.RetryDecision:
        decision = next_try.decide(_history(admitted, now))
        if decision is not next_try.RetryDecision.ALLOWED:
            return decision
        evidence = self._cluster.crash_evidence
        if admitted.run_count and evidence.is_suspicious(
            admitted.fingerprint, now, admitted.prompt_parts
        ):
            return next_try.RetryDecision.CRASHED_ENDPOINTS
        budget = self._retry_budget(admitted.service.name)
        if not budget.is_available(now, self._count_entries()):
            return next_try.RetryDecision.BUDGET_SPENT
        return decision

    def _retry_budget(self, service: str) -> window_budget.WindowBudget:
        budget = self._retry_budgets_by_service.get(service)
        if budget is None:
            limits = self._local_node.duties
            budget = window_budget.WindowBudget(
                limits.budget_share,
                limits.budget_surplus,
                limits.budget_window,
            )
            self._retry_budgets_by_service[service] = budget
        return budget

    # Final answers.

    def _ending_after_attempts(
        self, admitted: serving.AdmittedRequest
    ) -> serving.Ending:
        if admitted.attempts[-1].failure is serving.AttemptFailure.QUARANTINED:
            self._is_barred(admitted)
            return serving.Ending.QUARANTINED
        if not admitted.has_not_run:
            return serving.Ending.BROKEN
        now = asyncio.get_running_loop().time()
        candidates = self._cluster.candidates(
            admitted.service, now, admitted.allowed_regions
        )
        if _are_paused(candidates, now):
            return serving.Ending.ALL_PAUSED
        exclusion = self._cluster.exclusion(admitted, now)
        if exclusion is not None:
            # The evacuation arrived while the connection was opened.
            admitted.retry_after = first_event.MAX_RETRY_AFTER
            return _ENDINGS_BY_EXCLUSION[exclusion]
        return serving.Ending.REJECTED

    def _ending_without_endpoint(
        self, admitted: serving.AdmittedRequest
    ) -> serving.Ending:
        now = asyncio.get_running_loop().time()
        if admitted.is_limited:
            return serving.Ending.ALL_LIMITED
        candidates = self._cluster.candidates(
            admitted.service, now, admitted.allowed_regions
        )
        if _are_paused(candidates, now):
            return serving.Ending.ALL_PAUSED
        if candidates:
            return serving.Ending.OVERLOAD
        return self._ending_without_candidate(admitted, now)

    def _ending_without_candidate(
        self, admitted: serving.AdmittedRequest, now: float
    ) -> serving.Ending:
        exclusion = self._cluster.exclusion(admitted, now)
        if exclusion is not None:
            # Nothing changes before the operator changes it.
            admitted.retry_after = first_event.MAX_RETRY_AFTER
            return _ENDINGS_BY_EXCLUSION[exclusion]
        configuration = self._cluster.routing
        service = admitted.service.name
        if (
            configuration is not None
            and service not in configuration.services_by_name
        ):
            return serving.Ending.NO_SERVICE
        if self._cluster.endpoints.usable_for_service(service, now):
            return serving.Ending.NO_WEIGHTS
        return serving.Ending.NO_ENDPOINT

    def _send_final_answer(
        self,
        admitted: serving.AdmittedRequest,
        ending: serving.Ending,
    ) -> None:
        """Send the final answer unless the request has one already."""
        reply = admitted.reply
        if reply.is_done:
            return
        if reply.is_started:
            self._log.log_ended(admitted, ending, 0)
            reply.abort()
            return
        if admitted.failed_answer is not None:
            failed_answer = admitted.failed_answer
            ending = serving.Ending.ENDPOINT_FAILED
            self._log.log_ended(admitted, ending, failed_answer.status)
            reply.send(
                failed_answer.status, failed_answer.pairs, failed_answer.body
            )
            return
        status = self._final_status(admitted, ending)
        if ending is serving.Ending.QUARANTINED:
            self._log.log_quarantined_parts(
                admitted,
                self._cluster.crash_evidence.find_cause(admitted.prompt_parts),
            )
        self._log.log_ended(admitted, ending, status)
        self._send_error(admitted, status)

    def _send_error(
        self, admitted: serving.AdmittedRequest, status: int
    ) -> None:
        pairs = self._dialect.refusal_headers(admitted.call)
        if status == _UNAVAILABLE:
            pairs.append((b'Retry-After', b'%.2f' % admitted.retry_after))
        admitted.reply.send(status, pairs, b'')

    def _answer_after_fault(
        self, admitted: serving.AdmittedRequest, error: Exception
    ) -> None:
        """Send the final answer of a request after an unexpected error.

        An answer that was sent in part is cut off: the error may have left
        the stream in any state.
        """
        reply = admitted.reply
        ending = serving.Ending.INTERNAL_ERROR
        if not reply.is_started:
            self._send_error(admitted, self._final_status(admitted, ending))
        elif not reply.is_done:
            reply.abort()
        self._log.log_internal_error(admitted.call, reply.status, error)

    def _refuse_after_fault(
        self,
        call: calls.Call | None,
        reply: replies.Reply,
        error: Exception,
    ) -> None:
        """Refuse a request after an unexpected error before its admission."""
        if not reply.is_started:
            pairs = self._dialect.refusal_headers(call)
            pairs.append((b'Retry-After', b'%.2f' % _RETRY_AFTER_SECONDS))
            reply.send(_UNAVAILABLE, pairs, b'')
        self._log.log_internal_error(call, reply.status, error)

    def _final_status(
        self,
        admitted: serving.AdmittedRequest,
        ending: serving.Ending,
    ) -> int:
        """Return the status; 503 guarantees that the request has not run."""
        if admitted.has_not_run:
            return _UNAVAILABLE
        if ending in serving.EXPIRED:
            return _GATEWAY_TIMEOUT
        return _BAD_GATEWAY


def _history(
    admitted: serving.AdmittedRequest, now: float
) -> next_try.AttemptHistory:
    return next_try.AttemptHistory(
        attempts=len(admitted.attempts),
        runs=admitted.run_count,
        max_runs=admitted.route.max_runs,
        is_repeatable=admitted.route.is_repeatable,
        seconds_left=_seconds_left(admitted, now),
    )


def _are_paused(candidates: list[endpoints.Endpoint], now: float) -> bool:
    """Tell whether there are endpoints, and none of them admits requests."""
    return bool(candidates) and not any(
        endpoint.backoff.admits(now) and endpoint.cold_limit.admits(now)
        for endpoint in candidates
    )


def _seconds_left(admitted: serving.AdmittedRequest, now: float) -> float:
    """Return the seconds left in which a retry is useful.

    A caller abandons a stream without a first event long before its deadline.
    A retry that reaches an endpoint after that is wasted work.
    """
    remaining = admitted.deadline - now
    is_stream = admitted.route.kind is routing.RouteKind.STREAM
    if not is_stream or admitted.reply.is_started:
        return remaining
    caller_leaves_at = calls.first_event_deadline(admitted.call, admitted.route)
    return min(remaining, caller_leaves_at - now - _FIRST_EVENT_MARGIN_SECONDS)
