"""A log line of one process, as read from its log."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

#: Fields common to all lines, and the request id: no details of an event.
_COMMON_FIELDS = frozenset(('time', 'level', 'message', 'at', 'request'))


class Line(typing.NamedTuple):
    """One log line.

    :param process: the name of the process that wrote it.
    :param written_at: seconds since the epoch, by the clock of that process.
    """

    process: str
    written_at: float
    message: str
    fields: Mapping[str, typing.Any]

    @property
    def details(self) -> str:
        """Return the fields that are specific to this line, as text."""
        return ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _COMMON_FIELDS
        )
