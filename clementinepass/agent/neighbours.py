"""Other agents, read from the platform's instance list."""

from __future__ import annotations

import asyncio
import random
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.platform import protocols
from clementinepass.weights import protocols as weight_protocols
from clementinepass.wire import addresses

if typing.TYPE_CHECKING:
    from clementinepass.wire import bridge as bridges

#: Seconds between looks at the instance list, spread by a half.
_INTERVAL = 1.0
#: Seconds between looks until the list shows this agent.
_FIRST_INTERVAL = 0.1
#: Seconds after which a list that does not show this agent is used as it is.
_PATIENCE = 5.0


class Neighbours:
    """Keep the other agents; the list lags, and views of it differ.

    Agents of other models hold no chunks of this one; asked, they say so.
    """

    def __init__(
        self,
        own_id: str,
        instance_list: protocols.InstanceList,
        bridge: bridges.Bridge,
    ) -> None:
        self._own_id = own_id
        self._instance_list = instance_list
        self._bridge = bridge
        self._agents: tuple[protocols.Instance, ...] = ()
        self._shown = asyncio.Event()

    def peers_for(
        self,
        model: str,
    ) -> tuple[weight_protocols.Member, ...]:
        """Return the agents that may hold chunks of a model.

        Those of other models and of services would count in the waves: a
        replica would wait for agents that never load its version.
        """
        return tuple(
            _to_member(one) for one in self._agents if one.serves in {'', model}
        )

    async def settle(self) -> None:
        """Wait until the list shows this agent, for a bounded time.

        A list that doesn't show it yet doesn't show those that started with
        it either. An agent that begins to fetch then takes itself for the
        first reader of every chunk: after a failure domain's restart, each of
        hundreds would read a whole copy from the origin.
        """
        try:
            async with asyncio.timeout(_PATIENCE):
                await self._shown.wait()
        except TimeoutError:
            logger.bind(step='instance list', peer=self._own_id).warning(
                'not listed after {} s; going on',
                _PATIENCE,
            )

    async def run(self) -> None:
        """Follow the list until cancelled; an outage keeps the last one."""
        while True:
            try:
                listed = await self._bridge.block(
                    self._instance_list.instances,
                )
            except errors.ClementinepassError as error:
                logger.bind(step=error.step, peer=error.peer).warning(
                    'instance list: {}',
                    error.detail,
                )
            else:
                self._take(listed)
            interval = _INTERVAL if self._shown.is_set() else _FIRST_INTERVAL
            await asyncio.sleep(interval * random.uniform(0.5, 1.5))

    def _take(self, listed: tuple[protocols.Instance, ...]) -> None:
        agents = [one for one in listed if one.role is protocols.Role.AGENT]
        self._agents = tuple(one for one in agents if one.id != self._own_id)
        if any(one.id == self._own_id for one in agents):
            self._shown.set()


def _to_member(instance: protocols.Instance) -> weight_protocols.Member:
    address = addresses.Address.from_text(instance.address)
    return weight_protocols.Member(
        id=instance.id,
        host=address.host,
        port=address.port,
        region=instance.region,
        failure_domain=instance.failure_domain,
    )
