"""Stand-in for the platform's instance list, run as a program."""

from __future__ import annotations

import dataclasses
import threading
import time

import cyclopts
import msgspec

from clementinepass.platform import protocols
from standins import http


class InstancesAnswer(msgspec.Struct, frozen=True):
    """All instances shown."""

    instances: tuple[protocols.Instance, ...]


@dataclasses.dataclass(slots=True)
class _Change:
    """A change that shows from a moment on."""

    visible_at: float
    id: str
    #: The instance as it is now; none when it is gone.
    instance: protocols.Instance | None


class InstanceStore:
    """The list, with changes that show late.

    :param lag: seconds until a change shows.
    """

    __slots__ = ('_changes', '_instances_by_id', '_lag', '_lock')

    def __init__(self, lag: float = 0) -> None:
        self._lag = lag
        self._changes: list[_Change] = []
        self._instances_by_id: dict[str, protocols.Instance] = {}
        self._lock = threading.Lock()

    def put(self, instance: protocols.Instance, now: float) -> None:
        """Add or change an instance."""
        with self._lock:
            change = _Change(now + self._lag, instance.id, instance)
            self._changes.append(change)

    def delete(self, instance_id: str, now: float) -> None:
        """Remove an instance."""
        with self._lock:
            self._changes.append(_Change(now + self._lag, instance_id, None))

    def shown(self, now: float) -> tuple[protocols.Instance, ...]:
        """Return the instances as they show now."""
        with self._lock:
            while self._changes and self._changes[0].visible_at <= now:
                self._show(self._changes.pop(0))
            return tuple(self._instances_by_id.values())

    def _show(self, change: _Change) -> None:
        if change.instance is None:
            self._instances_by_id.pop(change.id, None)
        else:
            self._instances_by_id[change.id] = change.instance


class InstanceHandlers:
    """The HTTP side of the instance list."""

    __slots__ = ('store',)

    def __init__(self, store: InstanceStore) -> None:
        #: The instances.
        self.store = store

    def application(self) -> http.Application:
        """Return the application with its routes."""
        one = '/v1/instances/{id}'
        return http.Application(
            (
                http.Route('GET', '/v1/instances', self._list),
                http.Route('PUT', one, self._put),
                http.Route('DELETE', one, self._delete),
            ),
        )

    def _list(self, request: http.Request) -> http.Response:
        shown = self.store.shown(time.monotonic())
        return http.answer_json(InstancesAnswer(shown))

    def _put(self, request: http.Request) -> http.Response:
        instance = msgspec.json.decode(
            request.body(),
            type=protocols.Instance,
        )
        if instance.id != request.params['id']:
            return http.answer_problem(400, 'the ids in path and body differ')
        self.store.put(instance, time.monotonic())
        return http.answer_json(instance)

    def _delete(self, request: http.Request) -> http.Response:
        self.store.delete(request.params['id'], time.monotonic())
        return http.answer_bytes(b'{}')


def main(
    *,
    listen: str = '127.0.0.1:0',
    lag: float = 0,
    threads: int = 32,
) -> None:
    """Serve the instance list.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    :param lag: seconds until a change shows.
    :param threads: how many calls are served at once.
    """
    handlers = InstanceHandlers(InstanceStore(lag))
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
