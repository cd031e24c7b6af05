"""What configurations before the one in force allowed."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, routing

#: Configurations that are kept. A caller whose key or route was taken away
#: asks within seconds of it, and operators change a few of them a minute.
_KEPT = 8


class Withdrawn:
    """Tell what was taken away from what never was there.

    Failure: a caller is refused since its key was taken away, and the log
    says that the key is unknown, as of a caller with a wrong one.  Only
    configurations that some request met are kept.
    """

    __slots__ = ('_kept',)

    def __init__(self) -> None:
        self._kept: collections.deque[routing.Routing]
        self._kept = collections.deque(maxlen=_KEPT)

    def note(self, current: routing.Routing) -> None:
        """Take it that a configuration is in force."""
        if not self._kept or self._kept[-1] is not current:
            self._kept.append(current)

    def key_last_in(self, call: calls.Call) -> int:
        """Return the newest configuration with a key; 0 if none had it."""
        return self._last_in(lambda one: call.key in one.teams_by_key)

    def route_last_in(self, call: calls.Call) -> int:
        """Return the newest configuration with a route; 0 if none had it."""
        path = call.request.path
        return self._last_in(
            lambda one: one.route(call.host, path) is not None,
        )

    def _last_in(
        self,
        allows: typing.Callable[[routing.Routing], bool],
    ) -> int:
        versions = (one.version for one in reversed(self._kept) if allows(one))
        return next(versions, 0)
