"""One line of a process's log, as it was read."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

#: Fields that each line has, and that say nothing of the request.
_COMMON_FIELDS = frozenset(('time', 'level', 'message', 'at', 'request'))


class Line(typing.NamedTuple):
    """One line of a process's log.

    :param at: seconds since the epoch, by that process's clock.
    """

    process: str
    at: float
    message: str
    fields: Mapping[str, typing.Any]

    @property
    def details(self) -> str:
        """Return the fields that decided, as text."""
        return ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _COMMON_FIELDS
        )
