"""Adapter for the platform's instance list."""

from __future__ import annotations

import msgspec

from clementinepass import errors
from clementinepass.platform import protocols, transport
from clementinepass.wire import addresses

_STEP = 'instances'


class InstanceAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One instance as encoded in the list's answer."""

    id: str
    role: protocols.Role
    address: str
    region: str
    failure_domain: str
    state: protocols.InstanceState = protocols.InstanceState.LIVE
    callers_address: str = ''
    serves: str = ''


class InstancesAnswer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Answer with all listed instances."""

    instances: tuple[InstanceAnswer, ...]


class HttpInstanceList:
    """Adapter for the HTTP protocol of the instance list.

    :param address: the service's address, ``host:port``.
    """

    __slots__ = ('_transport',)

    def __init__(
        self,
        address: str,
        limits: transport.Limits | None = None,
    ) -> None:
        self._transport = transport.Transport(address, limits)

    def close(self) -> None:
        """Close the idle connections."""
        self._transport.close()

    def instances(self) -> tuple[protocols.Instance, ...]:
        """Return all instances that are listed now.

        :raises PlatformUnavailableError: the list did not answer.
        :raises MalformedMessageError: the answer could not be decoded, lists
            an instance twice, or contains an invalid address.
        """
        reply = self._transport.exchange('GET', '/v1/instances', step=_STEP)
        answer = self._transport.decode(reply, InstancesAnswer, _STEP)
        instances_by_id = {
            instance.id: self._convert_instance(instance)
            for instance in answer.instances
        }
        if len(instances_by_id) != len(answer.instances):
            raise self._transport.malformed_error(
                _STEP, 'duplicate instance id'
            )
        return tuple(instances_by_id.values())

    def _convert_instance(self, instance: InstanceAnswer) -> protocols.Instance:
        """Check an instance's addresses and convert it.

        :raises MalformedMessageError: an address is invalid.
        """
        texts = [instance.address]
        if instance.role is protocols.Role.ENTRY and instance.callers_address:
            texts.append(instance.callers_address)
        for address in texts:
            self._check_address(instance.id, address)
        return msgspec.convert(
            instance,
            protocols.Instance,
            from_attributes=True,
        )

    def _check_address(self, instance_id: str, address: str) -> None:
        try:
            addresses.Address.from_text(address)
        except errors.MalformedMessageError as error:
            detail = f'instance {instance_id}: invalid address {address!r}'
            raise self._transport.malformed_error(_STEP, detail) from error
