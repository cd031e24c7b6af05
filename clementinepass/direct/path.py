"""The path of a request: receive, admit, place, send, relay, conclude."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import departure as leave_plan
from clementinepass.decisions import next_try, window_budget
from clementinepass.direct import (
    attempt,
    calls,
    placing,
    request_log,
    routing,
    serving,
    withdrawn,
)

if typing.TYPE_CHECKING:
    import random

    from clementinepass.direct import cluster_state, departure, node
    from clementinepass.http import messages, replies

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
#: Seconds after which a caller may ask again when nothing says how long it
#: will take: an entry that starts knows its configuration by then.
_RETRY_AFTER = 0.4
#: Seconds from sending to the first event of a stream; twice the usual.
_FIRST_EVENT_SECONDS = 0.35


class Path:
    """Serve callers' requests.

    :param entries: returns how many entries there are, this one included.
    :param leaving: whether, and since when, this entry is to end.
    :param others_ready: returns how many others callers may be sent to.
    """

    __slots__ = (
        '_cluster',
        '_budgets_by_service',
        '_departure',
        '_dialect',
        '_entries',
        '_log',
        '_others_ready',
        '_own',
        '_placing',
        '_rng',
        '_sender',
        '_timeouts',
        '_withdrawn',
    )

    def __init__(
        self,
        own: node.Node,
        known: cluster_state.ClusterState,
        dialect: calls.Dialect,
        sender: attempt.Sender,
        log: request_log.RequestLog,
        entries: typing.Callable[[], int],
        leaving: departure.Departure,
        others_ready: typing.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._cluster = known
        self._dialect = dialect
        self._sender = sender
        self._log = log
        self._entries = entries
        self._departure = leaving
        self._others_ready = others_ready
        self._timeouts: dict[serving.Serving, asyncio.Timeout] = {}
        self._rng = rng
        self._placing = placing.Placing(own, known, log, rng)
        self._withdrawn = withdrawn.Withdrawn()
        self._budgets_by_service: dict[str, window_budget.WindowBudget] = {}

    async def serve(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        """Serve one request to its end."""
        try:
            call = self._dialect.call(request)
        except calls.BadCallError as error:
            self._log.malformed(error, _BAD_REQUEST)
            reply.send(_BAD_REQUEST, self._dialect.refusal(None), b'')
            return
        admitted = self._admit(call, reply)
        if admitted is None:
            return
        since = self._departure.since(request.received_at)
        if since is not None:
            self._log.taken_while_leaving(admitted, since)
        timeout = asyncio.timeout_at(admitted.final_at)
        self._timeouts[admitted] = timeout
        try:
            async with timeout:
                await self._answer(admitted)
        except TimeoutError:
            self._conclude(admitted, admitted.late)
        except asyncio.CancelledError:
            self._log.interrupted(admitted)
            raise
        except Exception as error:
            self._log.own_fault(admitted, error)
            raise
        finally:
            del self._timeouts[admitted]

    def end_by(self, when: float) -> None:
        """Give whatever is in progress its final answer by some time.

        Failure: a request without a first event was cut off when the entry
        ended, and its caller could not tell whether it had run.
        """
        for admitted, timeout in self._timeouts.items():
            if admitted.end_by(when):
                timeout.reschedule(when)

    # Admission.

    def _admit(
        self,
        call: calls.Call,
        reply: replies.Reply,
    ) -> serving.Serving | None:
        """Find out what a request is; refuse it if it is nothing."""
        current = self._cluster.routing
        if current is None:
            self._refuse(call, reply, serving.Ending.STARTING, _UNAVAILABLE)
            return None
        self._withdrawn.note(current)
        route = current.route(call.host, call.request.path)
        if route is None:
            self._refuse(call, reply, serving.Ending.UNKNOWN_ROUTE, _NOT_FOUND)
            return None
        team = None
        if current.has_teams and not route.is_public:
            team = current.teams_by_key.get(call.key)
            if team is None:
                ending = serving.Ending.UNKNOWN_KEY
                self._refuse(call, reply, ending, _UNAUTHORIZED)
                return None
        final_at = calls.final_at(call, route)
        if not self._departure.takes(final_at):
            self._refuse_as_leaving(call, reply)
            return None
        return serving.Serving(
            call,
            reply,
            route,
            self._service(current, route),
            team,
            final_at,
        )

    def _service(
        self,
        current: routing.Routing,
        route: routing.Route,
    ) -> routing.Service:
        """Return the service that runs the request.

        One that the configuration lacks has no endpoints, and its requests
        are refused like others that nobody can run.
        """
        name = route.service_at(self._rng.random())
        known = current.services_by_name.get(name)
        return routing.Service(name, 1) if known is None else known

    def _refuse(
        self,
        call: calls.Call,
        reply: replies.Reply,
        ending: serving.Ending,
        status: int,
        come_back: float = _RETRY_AFTER,
    ) -> None:
        pairs = self._dialect.refusal(call)
        if status == _UNAVAILABLE:
            pairs.append((b'Retry-After', b'%.2f' % come_back))
        self._log.refused(
            call,
            ending,
            status,
            request_log.Basis(
                configuration=self._cluster.configuration,
                last_in=self._last_in(call, ending),
                store_age=self._cluster.store_age,
            ),
        )
        reply.send(status, pairs, b'')

    def _last_in(self, call: calls.Call, ending: serving.Ending) -> int:
        """Return the newest configuration with what a call lacks."""
        if ending is serving.Ending.UNKNOWN_KEY:
            return self._withdrawn.key_last_in(call)
        if ending is serving.Ending.UNKNOWN_ROUTE:
            return self._withdrawn.route_last_in(call)
        return 0

    def _refuse_as_leaving(
        self,
        call: calls.Call,
        reply: replies.Reply,
    ) -> None:
        self._refuse(
            call,
            reply,
            serving.Ending.LEAVING,
            _UNAVAILABLE,
            leave_plan.retry_after(self._others_ready()),
        )

    # Attempts.

    async def _answer(self, admitted: serving.Serving) -> None:
        """Send the request until it is answered or nothing is left to try."""
        endpoint = await self._placing.first_place(admitted)
        while endpoint is not None:
            self._note_sending(admitted)
            tried = await self._sender.send(admitted, endpoint)
            if tried is serving.Tried.ANSWERED:
                self._log.answered(admitted)
                return
            if tried is serving.Tried.FAILED:
                self._log.failed_by_endpoint(admitted)
            if not self._may_repeat(admitted):
                self._conclude(admitted, self._ending_of(admitted, tried))
                return
            endpoint = self._placing.place(admitted)
        self._conclude(admitted, self._ending_unplaced(admitted))

    def _note_sending(self, admitted: serving.Serving) -> None:
        if not admitted.attempts:
            now = asyncio.get_running_loop().time()
            self._budget(admitted.service.name).record_first_attempt(now)

    def _may_repeat(self, admitted: serving.Serving) -> bool:
        now = asyncio.get_running_loop().time()
        decision = next_try.decide(
            next_try.AttemptHistory(
                attempts=len(admitted.attempts),
                runs=admitted.runs,
                max_runs=admitted.route.most_attempts,
                is_repeatable=admitted.route.repeatable,
                seconds_left=_seconds_left(admitted, now),
            ),
        )
        allowed = decision is next_try.RetryDecision.ALLOWED
        if allowed:
            budget = self._budget(admitted.service.name)
            allowed = budget.try_acquire(now, self._entries())
        self._log.repeat(admitted, decision, allowed)
        return allowed

    def _budget(self, service: str) -> window_budget.WindowBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            duties = self._own.duties
            budget = window_budget.WindowBudget(
                duties.budget_share,
                duties.budget_surplus,
                duties.budget_window,
            )
            self._budgets_by_service[service] = budget
        return budget

    # The end.

    def _ending_of(
        self,
        admitted: serving.Serving,
        tried: serving.Tried,
    ) -> serving.Ending:
        if tried is serving.Tried.NOT_RUN and admitted.not_run:
            return serving.Ending.TURNED_AWAY
        return serving.Ending.BROKEN

    def _ending_unplaced(self, admitted: serving.Serving) -> serving.Ending:
        if admitted.attempts:
            return self._ending_of(admitted, serving.Tried.NOT_RUN)
        now = asyncio.get_running_loop().time()
        if self._cluster.candidates(admitted.service, now):
            return serving.Ending.OVERLOAD
        current = self._cluster.routing
        service = admitted.service.name
        if current is not None and service not in current.services_by_name:
            return serving.Ending.NO_SERVICE
        if self._cluster.endpoints.of_service(service, now):
            return serving.Ending.NO_WEIGHTS
        return serving.Ending.NO_ENDPOINT

    def _conclude(
        self,
        admitted: serving.Serving,
        ending: serving.Ending,
    ) -> None:
        """Give the final answer to a request that has none."""
        reply = admitted.reply
        if reply.is_done:
            return
        if reply.is_started:
            self._log.ended(admitted, ending, 0)
            reply.abort()
            return
        if admitted.failure is not None:
            failure = admitted.failure
            ending = serving.Ending.ENDPOINT_FAILED
            self._log.ended(admitted, ending, failure.status)
            reply.send(failure.status, failure.pairs, failure.body)
            return
        pairs = self._dialect.refusal(admitted.call)
        status = self._status(admitted, ending)
        if status == _UNAVAILABLE:
            pairs.append((b'Retry-After', b'%.2f' % admitted.come_back))
        self._log.ended(admitted, ending, status)
        reply.send(status, pairs, b'')

    def _status(
        self,
        admitted: serving.Serving,
        ending: serving.Ending,
    ) -> int:
        """Return the status; 503 promises that the request never runs."""
        if admitted.not_run:
            return _UNAVAILABLE
        if ending in serving.LATE:
            return _GATEWAY_TIMEOUT
        return _BAD_GATEWAY


def _seconds_left(admitted: serving.Serving, now: float) -> float:
    """Return the time in which another attempt is of use.

    A stream that has not begun is given up by its caller long before its
    deadline; what is sent then reaches an endpoint for nobody.
    """
    left = admitted.final_at - now
    is_stream = admitted.route.kind is routing.RouteKind.STREAM
    if not is_stream or admitted.reply.is_started:
        return left
    by = calls.first_event_by(admitted.call, admitted.route)
    return min(left, by - now - _FIRST_EVENT_SECONDS)
