"""Serve callers' requests: admit, select an endpoint, send, relay, answer."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import departure as drain_decisions
from clementinepass.decisions import next_try, window_budget
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

    from clementinepass.direct import cluster_state, departure, endpoints, node
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
#: Seconds that a retry needs from sending a stream's request to its first
#: event: twice the usual time.
_FIRST_EVENT_MARGIN_SECONDS = 0.35


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

    async def serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Serve one request and send its final answer."""
        try:
            call = self._dialect.decode_request(request)
        except calls.InvalidRequestError as error:
            self._log.log_malformed(error, _BAD_REQUEST)
            reply.send(_BAD_REQUEST, self._dialect.refusal_headers(None), b'')
            return
        admitted = self._admit(call, reply)
        if admitted is None:
            return
        seconds_draining = self._drain_state.seconds_draining(
            request.received_at
        )
        if seconds_draining is not None:
            self._log.log_accepted_while_draining(admitted, seconds_draining)
        timeout = asyncio.timeout_at(admitted.deadline)
        self._timeouts_by_request[admitted] = timeout
        try:
            async with timeout:
                await self._run_attempts(admitted)
        except TimeoutError:
            self._send_final_answer(admitted, admitted.ending_at_deadline)
        except asyncio.CancelledError:
            self._log.log_interrupted(admitted)
            raise
        except Exception as error:
            self._log.log_internal_error(admitted, error)
            raise
        finally:
            del self._timeouts_by_request[admitted]

    def finish_by(self, deadline: float) -> None:
        """Send the final answers of all requests in progress by a deadline.

        Otherwise a request without a first event is cut off when the process
        ends, and its caller cannot tell whether the request has run.
        """
        for admitted, timeout in self._timeouts_by_request.items():
            if admitted.shorten_deadline(deadline):
                timeout.reschedule(deadline)

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
        if not self._drain_state.accepts(deadline):
            self._refuse_while_draining(call, reply)
            return None
        return serving.AdmittedRequest(
            call,
            reply,
            route,
            self._choose_service(configuration, route),
            team,
            deadline,
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
        endpoint = await self._selector.select_first(admitted)
        while endpoint is not None:
            self._count_in_budget(admitted)
            result = await self._sender.send(admitted, endpoint)
            if result is serving.AttemptResult.ANSWERED:
                self._log.log_answered(admitted)
                return
            if result is serving.AttemptResult.FAILED:
                self._log.log_failed_by_endpoint(admitted)
            is_sent = result is not serving.AttemptResult.NOT_SENT
            if is_sent and not self._may_retry(admitted):
                self._send_final_answer(
                    admitted, self._ending_after_attempt(admitted, result)
                )
                return
            endpoint = await self._selector.select_next(admitted)
        self._send_final_answer(
            admitted, self._ending_without_endpoint(admitted)
        )

    def _count_in_budget(self, admitted: serving.AdmittedRequest) -> None:
        if not admitted.attempts:
            now = asyncio.get_running_loop().time()
            self._retry_budget(admitted.service.name).record_first_attempt(now)

    def _may_retry(self, admitted: serving.AdmittedRequest) -> bool:
        now = asyncio.get_running_loop().time()
        decision = next_try.decide(
            next_try.AttemptHistory(
                attempts=len(admitted.attempts),
                runs=admitted.run_count,
                max_runs=admitted.route.max_runs,
                is_repeatable=admitted.route.is_repeatable,
                seconds_left=_seconds_left(admitted, now),
            ),
        )
        is_allowed = decision is next_try.RetryDecision.ALLOWED
        if is_allowed:
            budget = self._retry_budget(admitted.service.name)
            is_allowed = budget.try_acquire(now, self._count_entries())
        self._log.log_retry_decision(admitted, decision, is_allowed)
        return is_allowed

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

    def _ending_after_attempt(
        self,
        admitted: serving.AdmittedRequest,
        result: serving.AttemptResult,
    ) -> serving.Ending:
        if result is serving.AttemptResult.NOT_RUN and admitted.has_not_run:
            return serving.Ending.REJECTED
        return serving.Ending.BROKEN

    def _ending_without_endpoint(
        self, admitted: serving.AdmittedRequest
    ) -> serving.Ending:
        now = asyncio.get_running_loop().time()
        candidates = self._cluster.candidates(admitted.service, now)
        if admitted.has_not_run and _are_paused(candidates, now):
            return serving.Ending.ALL_PAUSED
        if admitted.attempts:
            return self._ending_after_attempt(
                admitted, serving.AttemptResult.NOT_RUN
            )
        if candidates:
            return serving.Ending.OVERLOAD
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
        pairs = self._dialect.refusal_headers(admitted.call)
        status = self._final_status(admitted, ending)
        if status == _UNAVAILABLE:
            pairs.append((b'Retry-After', b'%.2f' % admitted.retry_after))
        self._log.log_ended(admitted, ending, status)
        reply.send(status, pairs, b'')

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


def _are_paused(candidates: list[endpoints.Endpoint], now: float) -> bool:
    """Tell whether there are endpoints, and none of them admits requests."""
    return bool(candidates) and not any(
        endpoint.backoff.admits(now) for endpoint in candidates
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
