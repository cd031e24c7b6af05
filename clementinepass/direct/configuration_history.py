"""Recent configurations, to explain refusals."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from clementinepass.direct import calls, routing

#: Number of configurations that are kept. A caller whose key or route was
#: removed sends requests within seconds of it, and operators publish a few
#: configurations a minute.
_MAX_CONFIGURATIONS = 8


class ConfigurationHistory:
    """The last configurations under which requests were received.

    With these the log distinguishes a key or a route that was removed from one
    that never existed. Otherwise a caller whose key was removed looks like one
    with a wrong key.
    """

    __slots__ = ('_configurations',)

    def __init__(self) -> None:
        self._configurations: collections.deque[routing.Routing]
        self._configurations = collections.deque(maxlen=_MAX_CONFIGURATIONS)

    def record(self, configuration: routing.Routing) -> None:
        """Record the configuration in force."""
        if (
            not self._configurations
            or self._configurations[-1] is not configuration
        ):
            self._configurations.append(configuration)

    def last_version_with_key(self, call: calls.Call) -> int:
        """Return the newest version with the key of a call; 0 for none."""
        return self._last_version_where(
            lambda configuration: call.key in configuration.teams_by_key
        )

    def last_version_with_route(self, call: calls.Call) -> int:
        """Return the newest version with a route for a call; 0 for none."""
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
