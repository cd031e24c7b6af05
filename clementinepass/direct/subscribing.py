"""Ask agents to be told of the load of the engines that an entry uses."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.decisions import subsetting

if typing.TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from clementinepass.direct import cluster_state, endpoints, node, routing

#: Seconds between looks for engines that have come to be usable.
_LOOK_SECONDS = 0.2
#: Seconds after which an agent is asked again.
_RENEW_SECONDS = 1.0


class Subscribing:
    """Keep subscribed to the load of some engines that may be used now.

    :param own: who this entry is.
    :param known: configuration, versions and endpoints.
    :param subscribe: asks the agents at some IP numbers.
    """

    __slots__ = ('_asked_at_by_ip', '_cluster', '_own', '_subscribe')

    def __init__(
        self,
        own: node.Node,
        known: cluster_state.ClusterState,
        subscribe: Callable[[Iterable[str]], None],
    ) -> None:
        self._own = own
        self._cluster = known
        self._subscribe = subscribe
        #: When an agent was last asked; monotonic seconds.
        self._asked_at_by_ip: dict[str, float] = {}

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            due = self.due(asyncio.get_running_loop().time())
            if due:
                self._subscribe(due)
            await asyncio.sleep(_LOOK_SECONDS)

    def due(self, now: float) -> list[str]:
        """Return the IP numbers of the agents to ask now."""
        used = self._used(now)
        asked = self._asked_at_by_ip
        due = [
            ip
            for ip in used
            if now - asked.get(ip, float('-inf')) >= _RENEW_SECONDS
        ]
        self._asked_at_by_ip = {ip: asked[ip] for ip in used if ip in asked}
        self._asked_at_by_ip.update(dict.fromkeys(due, now))
        return due

    def _used(self, now: float) -> list[str]:
        """Return the IP numbers of the agents of the engines used here."""
        current = self._cluster.routing
        services = () if current is None else current.services_by_name.values()
        return [
            address.rpartition(':')[0]
            for service in services
            if service.engine is not None
            for address in self._addresses(service, now)
        ]

    def _addresses(self, service: routing.Service, now: float) -> list[str]:
        """Return the engines used, and near ones that can't be used yet.

        Failure: an engine that had been added took up its weights, and its
        agent knew few entries to tell of it: the others learned it from the
        store's list, two seconds later.
        """
        usable = self._cluster.candidates(service, now)
        every = self._cluster.endpoints.usable_for_service(service.name, now)
        waiting = [one for one in every if one not in usable]
        domain = self._own.domain
        near, far = _split(usable, domain)
        chosen = subsetting.subset(self._own.ip, near, far)
        near_waiting, _ = _split(waiting, domain)
        return chosen + subsetting.subset(self._own.ip, near_waiting, ())


def _split(
    engines: list[endpoints.Endpoint],
    domain: str,
) -> tuple[list[str], list[str]]:
    """Return the addresses of engines in a failure domain, and of others."""
    near: list[str] = []
    far: list[str] = []
    for one in engines:
        is_near = one.listing.domain == domain
        (near if is_near else far).append(one.listing.address)
    return near, far
