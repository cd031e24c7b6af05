"""What configurations before the one in force allowed."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, routing

#: Configurations that are kept. A caller whose key or route was taken away
#: asks within seconds of it, and operators change a few of them a minute.
_MAX_CONFIGURATIONS = 8


class ConfigurationHistory:
    """Tell what was taken away from what never was there.

    Failure: a caller is refused since its key was taken away, and the log
    says that the key is unknown, as of a caller with a wrong one.  Only
    configurations that some request met are kept.
    """

    __slots__ = ('_configurations',)

    def __init__(self) -> None:
        self._configurations: collections.deque[routing.Routing]
        self._configurations = collections.deque(maxlen=_MAX_CONFIGURATIONS)

    def record(self, configuration: routing.Routing) -> None:
        """Take it that a configuration is in force."""
        if (
            not self._configurations
            or self._configurations[-1] is not configuration
        ):
            self._configurations.append(configuration)

    def last_version_with_key(self, call: calls.Call) -> int:
        """Return the newest configuration with a key; 0 if none had it."""
        return self._last_version_where(
            lambda configuration: call.key in configuration.teams_by_key
        )

    def last_version_with_route(self, call: calls.Call) -> int:
        """Return the newest configuration with a route; 0 if none had it."""
        path = call.request.path
        return self._last_version_where(
            lambda configuration: (
                configuration.find_route(call.host, path) is not None
            ),
        )

    def _last_version_where(
        self,
        allows: typing.Callable[[routing.Routing], bool],
    ) -> int:
        versions = (
            configuration.version
            for configuration in reversed(self._configurations)
            if allows(configuration)
        )
        return next(versions, 0)
