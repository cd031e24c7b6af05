"""The failure domains that the operator evacuates.

The operator's records name them, and every process follows these records. A
process that cannot read them keeps the set that it knows.
"""

from __future__ import annotations

import typing

from loguru import logger

if typing.TYPE_CHECKING:
    from collections.abc import Callable


class Evacuation(typing.NamedTuple):
    """The operator's order to evacuate a failure domain, or its end."""

    domain: str
    is_active: bool


class EvacuatedDomains:
    """The failure domains whose endpoints get no requests."""

    __slots__ = ('_domains', 'on_end')

    def __init__(self) -> None:
        self._domains: set[str] = set()
        #: Called with a failure domain whose evacuation has ended.
        self.on_end: Callable[[str], None] | None = None

    @property
    def domains(self) -> typing.AbstractSet[str]:
        """Return the evacuated failure domains."""
        return self._domains

    def apply(self, evacuation: Evacuation) -> bool:
        """Apply an order; return whether it changes anything."""
        domain = evacuation.domain
        if evacuation.is_active is (domain in self._domains):
            return False
        if evacuation.is_active:
            self._domains.add(domain)
        else:
            self._domains.discard(domain)
        logger.bind(domain=domain, evacuated=evacuation.is_active).info(
            'evacuation of a failure domain',
        )
        if not evacuation.is_active and self.on_end is not None:
            self.on_end(domain)
        return True
