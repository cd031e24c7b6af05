"""Select an engine for a request while its service is contended."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import (
    endpoint_choice,
    overload_retry,
    returning_calls,
    slot_wait,
)
from clementinepass.direct.placement import messages, requesting

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from clementinepass.decisions import first_event
    from clementinepass.direct import (
        cluster_state,
        endpoints,
        request_log,
        serving,
    )

#: Engines of the entry's failure domain and of others that are asked for a
#: slot. With two engines in all, a slot of a third one often stays free.
_SAME_DOMAIN_ASKED = 3
_OTHER_DOMAIN_ASKED = 1


class Engines(typing.NamedTuple):
    """The engines that may run a request now.

    :param same_domain: those in the entry's failure domain.
    :param other_domains: all others.
    """

    same_domain: Sequence[endpoints.Endpoint]
    other_domains: Sequence[endpoints.Endpoint]

    @property
    def combined(self) -> list[endpoints.Endpoint]:
        """Return the engines of all failure domains."""
        return [*self.same_domain, *self.other_domains]

    def filter(
        self, condition: Callable[[endpoints.Endpoint], bool]
    ) -> Engines:
        """Return the engines that meet a condition."""
        return Engines(
            list(filter(condition, self.same_domain)),
            list(filter(condition, self.other_domains)),
        )


class Preparation(typing.NamedTuple):
    """What a selection needs to know of a request.

    :param engines: the engines that may run it and whose load is known.
    :param choose: chooses the best of some engines by their loads.
    :param is_usable: tells whether it may still be sent to an engine.
    """

    admitted: serving.AdmittedRequest
    engines: Engines
    choose: Callable[
        [Sequence[endpoints.Endpoint]], endpoint_choice.Choice | None
    ]
    is_usable: Callable[[endpoints.Endpoint], bool]
    timing: slot_wait.Timing


class SlotSelector:
    """Selects engines that have, or soon get, a free slot.

    :param cluster: the state of the cluster.
    :param log: logs and counts what becomes of requests that wait.
    """

    __slots__ = (
        '_cluster',
        '_log',
        '_retries_by_service',
        '_rng',
        '_usual_timeouts',
        'requests',
    )

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        log: request_log.RequestLog,
        rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._log = log
        self._rng = rng
        self._retries_by_service: dict[str, overload_retry.OverloadRetry] = {}
        self._usual_timeouts = returning_calls.UsualTimeouts()
        #: The requests that wait for a slot.
        self.requests = requesting.SlotRequests()

    def observe(self, admitted: serving.AdmittedRequest) -> None:
        """Find out whether a request comes back after a refusal."""
        seconds = admitted.call.timeout_seconds
        if seconds is not None and admitted.service.engine is not None:
            # Callers may send any timeout; beyond that of the route it has no
            # effect.
            admitted.seconds_before = self._usual_timeouts.observe(
                admitted.route.name, min(seconds, admitted.route.timeout)
            )

    async def select(
        self, preparation: Preparation
    ) -> endpoints.Endpoint | None:
        """Select an engine, waiting for a free slot if none is known.

        :returns: ``None`` if none had a slot in time.
        """
        admitted = preparation.admitted
        timing = preparation.timing
        admitted.is_late = timing.is_returning
        rate = _service_rate(admitted)
        engines = preparation.engines
        if not timing.is_returning:
            engines = self._in_time(engines, timing, rate)
        compared = _sample(engines, self._rng, 2, 1)
        choice = preparation.choose(compared)
        if choice is not None and slot_wait.has_room(
            choice.load, choice.slots, choice.pace
        ):
            self._log.count_slot_wait(admitted, 'free', 0)
            return self._cluster.endpoints.get(choice.endpoint_id)
        return await self._wait_for_slot(
            preparation,
            _sample(
                engines, self._rng, _SAME_DOMAIN_ASKED, _OTHER_DOMAIN_ASKED
            ),
        )

    async def _wait_for_slot(
        self, preparation: Preparation, engines: list[endpoints.Endpoint]
    ) -> endpoints.Endpoint | None:
        admitted = preparation.admitted
        timing = preparation.timing
        wait = slot_wait.wait_for(timing, _service_rate(admitted))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        endpoint = None
        if wait.seconds:
            endpoint = await self.requests.wait_for_slot(
                messages.SlotQuery(
                    0, admitted.urgency, wait.timely_seconds, wait.seconds
                ),
                engines,
                preparation.is_usable,
            )
        waited = loop.time() - began_at
        admitted.is_late = timing.is_returning or waited > wait.timely_seconds
        if endpoint is None:
            self._refuse(admitted, waited, len(engines))
        else:
            self._log.count_slot_wait(admitted, 'offered', waited)
        return endpoint

    def _refuse(
        self, admitted: serving.AdmittedRequest, waited: float, asked: int
    ) -> None:
        """Set when the caller of a request may come back."""
        service = admitted.service.name
        retry = self._retries_by_service.setdefault(
            service, overload_retry.OverloadRetry()
        )
        now = asyncio.get_running_loop().time()
        admitted.retry_after = retry.refuse(now, self._rng)
        self._log.count_slot_wait(admitted, 'refused', waited)
        self._log.log_no_slot(admitted, waited, asked, retry.duration(now))

    def _in_time(
        self,
        engines: Engines,
        timing: slot_wait.Timing,
        rate: first_event.ServiceRate,
    ) -> Engines:
        """Return the engines fast enough for a request, or all if none is."""
        now = asyncio.get_running_loop().time()
        fast = engines.filter(
            lambda engine: slot_wait.starts_in_time(
                timing, engine.reported_load.pace_at(now), rate
            )
        )
        return fast if fast.combined else engines


def _service_rate(
    admitted: serving.AdmittedRequest,
) -> first_event.ServiceRate:
    engine = admitted.service.engine
    assert engine is not None
    return engine.service_rate


def _sample(
    engines: Engines, rng: random.Random, same_domain: int, other_domains: int
) -> list[endpoints.Endpoint]:
    """Return a sample; more of other domains if the own one has too few."""
    drawn = rng.sample(
        engines.same_domain, min(same_domain, len(engines.same_domain))
    )
    missing = same_domain + other_domains - len(drawn)
    return drawn + rng.sample(
        engines.other_domains, min(missing, len(engines.other_domains))
    )
