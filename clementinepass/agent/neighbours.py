"""Other agents of the same model, out of the platform's instance list."""

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


class Neighbours:
    """Know the other agents; the list lags, and views of it differ.

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
        self._members: tuple[weight_protocols.Member, ...] = ()

    def peers_for(
        self,
        model: str,
    ) -> tuple[weight_protocols.Member, ...]:
        """Return the agents that may hold chunks of a model."""
        return self._members

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
                self._members = tuple(
                    _to_member(instance)
                    for instance in listed
                    if instance.role is protocols.Role.AGENT
                    and instance.id != self._own_id
                )
            await asyncio.sleep(
                _INTERVAL * random.uniform(0.5, 1.5),
            )


def _to_member(instance: protocols.Instance) -> weight_protocols.Member:
    address = addresses.Address.from_text(instance.address)
    return weight_protocols.Member(
        id=instance.id,
        host=address.host,
        port=address.port,
        region=instance.region,
        failure_domain=instance.failure_domain,
    )
