"""Find out whether an endpoint has crashed under a request.

A connection that ends while a request runs there is no proof: links reset
connections, and endpoints close them for other reasons. The process is gone if
its address refuses connections. If nothing refuses them, as the machine is gone
too or something else listens there already, its record tells later.
"""

from __future__ import annotations

import asyncio
import typing

from clementinepass.direct import evidence_log, part_evidence, serving
from clementinepass.http import channel

if typing.TYPE_CHECKING:
    from clementinepass.direct import cluster_state, endpoints, request_log

#: Seconds within which an address refuses a connection. A retry of the request
#: waits for it, usually for one round trip.
_PROBE_SECONDS = 0.1
#: Seconds in which all sockets of a killed process are closed.
_ENDING_SECONDS = 0.05
#: Seconds between two connections in that time.
_ENDING_PAUSE_SECONDS = 0.005
#: Seconds after a broken attempt within which the record of an endpoint that
#: has crashed is removed, if the store is available.
_REMOVAL_SECONDS = 5.0
#: Maximum number of attempts that wait for the removal of records.
_MAX_UNDECIDED = 1024
_BROKEN_CONNECTION = frozenset(
    (
        serving.AttemptFailure.CONNECTION_LOST,
        serving.AttemptFailure.CONNECTION_CLOSED,
    ),
)


class _BrokenAttempt(typing.NamedTuple):
    """An attempt whose endpoint may have crashed."""

    admitted: serving.AdmittedRequest
    attempt: serving.Attempt
    broken_at: float


class CrashDetector:
    """Report crashes under requests to the evidence of the cluster."""

    __slots__ = ('_cluster', '_log', '_probes_by_endpoint', '_undecided')

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        log: request_log.RequestLog,
    ) -> None:
        self._cluster = cluster
        self._log = log
        #: Probes in progress, each shared by all attempts that broke.
        self._probes_by_endpoint: dict[
            endpoints.Endpoint, asyncio.Task[bool]
        ] = {}
        self._undecided: list[_BrokenAttempt] = []

    async def is_gone(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether the process of an endpoint has ended unexpectedly.

        Endpoints that drain, or whose records were removed before, end as
        planned. The check takes a moment if the process has not ended.
        """
        return not _ends_as_planned(endpoint) and await _is_ending(
            endpoint.listing.address
        )

    async def examine(
        self,
        admitted: serving.AdmittedRequest,
        attempt: serving.Attempt,
    ) -> None:
        """Find out whether the endpoint of a broken attempt has crashed."""
        endpoint = attempt.endpoint
        if attempt.failure not in _BROKEN_CONNECTION:
            return
        broken = _BrokenAttempt(
            admitted, attempt, asyncio.get_running_loop().time()
        )
        if endpoint.listing.draining:
            self._dismiss(broken, evidence_log.Doubt.DRAINING)
            return
        if endpoint.removed_at is not None:
            self._dismiss(broken, evidence_log.Doubt.REMOVED_BEFORE)
            return
        if await self._is_refused(endpoint):
            self._record(broken)
            return
        self._undecided.append(broken)
        if len(self._undecided) > _MAX_UNDECIDED:
            self._dismiss(self._undecided.pop(0), evidence_log.Doubt.TOO_MANY)

    def check_removals(self, now: float) -> None:
        """Decide on attempts by what the list says of their endpoints since."""
        undecided = self._undecided
        self._undecided = []
        for broken in undecided:
            if self._is_removed(broken.attempt.endpoint):
                self._record(broken)
            elif now - broken.broken_at < _REMOVAL_SECONDS:
                self._undecided.append(broken)
            else:
                self._dismiss(broken, evidence_log.Doubt.NOT_REMOVED)

    async def _is_refused(self, endpoint: endpoints.Endpoint) -> bool:
        probe = self._probes_by_endpoint.get(endpoint)
        if probe is None:
            probe = asyncio.create_task(_refuses(endpoint.listing.address))
            self._probes_by_endpoint[endpoint] = probe
            probe.add_done_callback(
                lambda _: self._probes_by_endpoint.pop(endpoint, None)
            )
        return await asyncio.shield(probe)

    def _is_removed(self, endpoint: endpoints.Endpoint) -> bool:
        """Tell whether a start of an endpoint is known to be over."""
        is_replaced = endpoint.replaced_by is not None
        is_known = self._cluster.endpoints.get(endpoint.listing.id) is endpoint
        return is_replaced or not is_known or endpoint.removed_at is not None

    def _dismiss(
        self, broken: _BrokenAttempt, reason: evidence_log.Doubt
    ) -> None:
        """Log that an attempt is no evidence of a crash."""
        self._cluster.crash_evidence.log.log_not_counted(
            broken.admitted.call.id,
            broken.admitted.fingerprint,
            broken.attempt.peer,
            reason,
        )

    def _record(self, broken: _BrokenAttempt) -> None:
        listing = broken.attempt.endpoint.listing
        history = self._cluster.crash_evidence.record_crash(
            f'{listing.id}/{listing.started_ms}',
            broken.admitted.fingerprint,
            broken.attempt.started_at,
            broken.broken_at,
            _suspected_parts(broken),
        )
        evidence = self._cluster.crash_evidence.evidence(
            broken.admitted.fingerprint, broken.broken_at
        )
        self._log.log_crash(
            broken.admitted, broken.attempt, history.repeated, evidence
        )


def _suspected_parts(broken: _BrokenAttempt) -> part_evidence.PromptParts:
    """Return the prompt parts that may have crashed the endpoint."""
    answering_seconds = broken.broken_at - broken.attempt.began_at
    if answering_seconds > part_evidence.SURVIVAL_SECONDS:
        return part_evidence.NO_PARTS
    return broken.admitted.prompt_parts


def _ends_as_planned(endpoint: endpoints.Endpoint) -> bool:
    return endpoint.listing.draining or endpoint.removed_at is not None


async def _is_ending(address: str) -> bool:
    """Tell whether the process that listens at an address ends just now.

    The kernel closes the sockets of a killed process one after the other. One
    that still listens accepts connections, and resets them as it is closed. An
    endpoint that has as many connections as it takes resets more of them, too,
    but goes on listening.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _ENDING_SECONDS
    while loop.time() < deadline:
        if await _refuses(address, until=deadline):
            return True
        await asyncio.sleep(_ENDING_PAUSE_SECONDS)
    return False


async def _refuses(address: str, *, until: float = 0) -> bool:
    """Tell whether nobody listens at an address.

    :param until: monotonic time until which a connection is kept that the
        endpoint keeps.
    """
    host, _, port = address.rpartition(':')
    try:
        connection = await channel.Channel.connect(
            host, int(port), _PROBE_SECONDS
        )
    except channel.ChannelBrokenError as error:
        return error.is_refused
    try:
        async with asyncio.timeout_at(until):
            await connection.read_head()
    except (channel.ChannelBrokenError, TimeoutError):
        return False
    finally:
        connection.abort()
    return False
