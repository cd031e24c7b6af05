"""Choose the endpoint of a request: step *place* of its path."""

from __future__ import annotations

import asyncio
import math
import typing

from clementinepass.decisions import endpoint_choice, first_event, timely_start

if typing.TYPE_CHECKING:
    import random

    from collections.abc import Sequence

    from clementinepass.direct import (
        cluster_state,
        endpoints,
        node,
        request_log,
        routing,
        serving,
    )

#: Seconds that a request waits for an engine that loads: the time for it to
#: finish what it runs, and to load.
_LOADING_SECONDS = 1.2
_LOOK_SECONDS = 0.03
_UNKNOWN_PACE = first_event.ServiceRate(0, 0)
#: Engines with links that aren't congested that are enough to choose from.
_LEAST_SWIFT = 2


class Placing:
    """Choose endpoints by the state of the cluster.

    :param own: who this entry is.
    :param known: configuration, versions, endpoints and loads.
    """

    __slots__ = ('_cluster', '_log', '_own', '_rng')

    def __init__(
        self,
        own: node.Node,
        known: cluster_state.ClusterState,
        log: request_log.RequestLog,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._cluster = known
        self._log = log
        self._rng = rng

    async def first_place(
        self,
        admitted: serving.Serving,
    ) -> endpoints.Endpoint | None:
        """Choose an endpoint, waiting a moment for engines that load.

        Load: a new version while all engines take it up within the same
        second. Harm: whoever comes then is told to come back after two
        seconds, though an engine is there after half a second.
        """
        loop = asyncio.get_running_loop()
        until = admitted.call.request.received_at + _LOADING_SECONDS
        endpoint = self.place(admitted)
        while endpoint is None and loop.time() < until:
            if self._cluster.candidates(admitted.service, loop.time()):
                break
            if not self._cluster.loading(admitted.service, loop.time()):
                break
            await asyncio.sleep(_LOOK_SECONDS)
            endpoint = self.place(admitted)
        return endpoint

    def place(self, admitted: serving.Serving) -> endpoints.Endpoint | None:
        """Choose an endpoint; ``None`` if there is none with room."""
        now = asyncio.get_running_loop().time()
        candidates = self._cluster.candidates(admitted.service, now)
        untried = [
            one
            for one in candidates
            if one.listing.id not in admitted.tried_ids
        ]
        engine = admitted.service.engine
        options = self._options(self._sound(untried, now), engine, now)
        timely = _timely(admitted, options)
        choice = endpoint_choice.choose(timely, self._rng)
        if choice is None:
            admitted.come_back = first_event.MAX_RETRY_AFTER
            return None
        if not admitted.attempts and not self._fits(admitted, choice, now):
            self._log.overloaded(admitted, choice)
            return None
        return self._cluster.endpoints.get(choice.endpoint_id)

    def _sound(
        self,
        untried: list[endpoints.Endpoint],
        now: float,
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints without those that fail or stall.

        Where all do, each would be the wrong one to leave out.
        """
        ejected = self._cluster.ejector.ejected_endpoints(now)
        sound = [
            one
            for one in untried
            if one.listing.id not in ejected and not one.stalled(now)
        ]
        return sound or untried

    def _options(
        self,
        sound: list[endpoints.Endpoint],
        engine: routing.Engine | None,
        now: float,
    ) -> list[endpoint_choice.Candidate]:
        """Return what is compared: of engines a sample."""
        newest = max((one.weights.version for one in sound), default=0)
        compared = sound if engine is None else self._sampled(sound, now)
        return [
            endpoint_choice.Candidate(
                one.listing.id,
                self._cluster.loads.total(one, now),
                one.listing.slots,
                is_same_domain=self._is_near(one),
                has_old_version=one.weights.version < newest,
                is_congested=one.congested_until > now,
                unstarted=self._cluster.loads.unbegun(one, now),
                usable_seconds=self._usable_for(one, engine, now),
            )
            for one in compared
        ]

    def _sampled(
        self,
        sound: list[endpoints.Endpoint],
        now: float,
    ) -> Sequence[endpoints.Endpoint]:
        """Return a few of a service's engines.

        Those elsewhere by their agents' reports, as their loads are hardly
        known without. Near ones also where reports don't come: on a link that
        is full of weights they are late or lost, and requests met at the few
        engines whose agents were heard.
        """
        swift = [one for one in sound if one.congested_until <= now]
        if len(swift) < _LEAST_SWIFT:
            swift = sound
        far = [one for one in swift if not self._is_near(one)]
        return endpoint_choice.sample(
            [one for one in swift if self._is_near(one)],
            [one for one in far if one.reported.is_fresh(now)] or far,
            self._rng,
        )

    def _is_near(self, endpoint: endpoints.Endpoint) -> bool:
        return endpoint.listing.domain == self._own.domain

    def _usable_for(
        self,
        endpoint: endpoints.Endpoint,
        engine: routing.Engine | None,
        now: float,
    ) -> float:
        if engine is None:
            return math.inf
        begin_by = self._cluster.begin_by(engine, endpoint.weights.version)
        return begin_by - now

    def _fits(
        self,
        admitted: serving.Serving,
        choice: endpoint_choice.Choice,
        now: float,
    ) -> bool:
        """Tell whether the best endpoint answers in time."""
        engine = admitted.service.engine
        pace = _UNKNOWN_PACE if engine is None else engine.pace
        admitted.come_back = first_event.retry_after(choice.queue_depth, pace)
        wish = first_event.PendingRequest(
            queue_depth=choice.queue_depth,
            slots=choice.slots,
            prompt_tokens=admitted.call.prompt_tokens,
            latency_target=admitted.route.aim,
            elapsed_seconds=now - admitted.call.request.received_at,
        )
        return first_event.meets_target(wish, pace)


def _timely(
    admitted: serving.Serving,
    options: list[endpoint_choice.Candidate],
) -> list[endpoint_choice.Candidate]:
    """Return the endpoints whose weights are allowed when it begins there."""
    engine = admitted.service.engine
    if engine is None:
        return options
    request = timely_start.Request(
        admitted.call.prompt_tokens,
        engine.usual_prompt,
    )
    return timely_start.filter_timely(request, options, engine.pace)
