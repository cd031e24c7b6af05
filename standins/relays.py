"""Many relays in one process, run as a program or within a test."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import threading
import typing

import cyclopts
import msgspec

from standins import http, relay

if typing.TYPE_CHECKING:
    from collections.abc import Coroutine
    from types import TracebackType

_T = typing.TypeVar('_T')

_TIMEOUT = 30
_STANDARD_INPUT = '-'
_Config = typing.Annotated[str, cyclopts.Parameter(allow_leading_hyphen=True)]


class RelaySpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A relay to be added."""

    name: str
    target: str
    listen: str = '127.0.0.1:0'
    rules: relay.Rules = relay.Rules()


class RelayState(msgspec.Struct, frozen=True):
    """A relay as it is."""

    name: str
    target: str
    listen: str
    rules: relay.Rules
    counters: relay.Counters


class RelaysAnswer(msgspec.Struct, frozen=True):
    """All relays."""

    relays: tuple[RelayState, ...]


class Relays:
    """Relays by name, on a loop in a thread of its own.

    Its methods may be called from any other thread.
    """

    __slots__ = ('_loop', '_relays_by_name', '_thread')

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._relays_by_name: dict[str, relay.Relay] = {}
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )

    def __enter__(self) -> Relays:
        """Start the loop."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all relays and the loop."""
        for name in tuple(self._relays_by_name):
            self.remove(name)
        self._run(_settle())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def add(self, spec: RelaySpec) -> str:
        """Start a relay and return its address."""
        added = relay.Relay(spec.target, spec.listen, spec.rules)
        self._run(added.start())
        self._relays_by_name[spec.name] = added
        return added.address

    def follow(self, name: str, rules: relay.Rules) -> None:
        """Let a relay follow other rules from now on.

        :raises KeyError: there is no such relay.
        """
        self._run(self._relays_by_name[name].follow(rules))

    def remove(self, name: str) -> None:
        """Stop a relay.

        :raises KeyError: there is no such relay.
        """
        self._run(self._relays_by_name.pop(name).stop())

    def states(self) -> tuple[RelayState, ...]:
        """Return all relays as they are."""
        return tuple(
            RelayState(
                name=name,
                target=listed.target,
                listen=listed.address,
                rules=listed.rules,
                counters=listed.counters(),
            )
            for name, listed in tuple(self._relays_by_name.items())
        )

    def _run(self, work: Coroutine[typing.Any, typing.Any, _T]) -> _T:
        """Run work on the loop and wait for it."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_TIMEOUT)


class RelayHandlers:
    """The HTTP side of the relays' control."""

    __slots__ = ('_relays',)

    def __init__(self, relays: Relays) -> None:
        self._relays = relays

    def application(self) -> http.Application:
        """Return the application with its routes."""
        one = '/v1/relays/{name}'
        return http.Application(
            (
                http.Route('GET', '/v1/relays', self._list),
                http.Route('POST', '/v1/relays', self._add),
                http.Route('PUT', one, self._follow),
                http.Route('DELETE', one, self._remove),
            ),
        )

    def _list(self, request: http.Request) -> http.Response:
        return http.answer_json(RelaysAnswer(self._relays.states()))

    def _add(self, request: http.Request) -> http.Response:
        spec = msgspec.json.decode(request.body(), type=RelaySpec)
        return http.answer_json(http.Listening(self._relays.add(spec)))

    def _follow(self, request: http.Request) -> http.Response:
        rules = msgspec.json.decode(request.body(), type=relay.Rules)
        try:
            self._relays.follow(request.params['name'], rules)
        except KeyError:
            return http.answer_problem(404, 'no such relay')
        return http.answer_json(rules)

    def _remove(self, request: http.Request) -> http.Response:
        try:
            self._relays.remove(request.params['name'])
        except KeyError:
            return http.answer_problem(404, 'no such relay')
        return http.answer_bytes(b'{}')


async def _settle() -> None:
    """Wait until the connections' tasks have ended."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
        await asyncio.wait(others, timeout=1)


def _read_config(config: str) -> tuple[RelaySpec, ...]:
    """Read the relays to start with, from a file or the standard input."""
    if not config:
        return ()
    if config == _STANDARD_INPUT:
        text = sys.stdin.buffer.read()
    else:
        text = pathlib.Path(config).read_bytes()
    return msgspec.json.decode(text, type=tuple[RelaySpec, ...])


def main(
    *,
    listen: str = '127.0.0.1:0',
    config: _Config = '',
) -> None:
    """Run relays; ``GET /v1/relays`` names their addresses.

    :param listen: where to listen for control calls, ``host:port``.
    :param config: a file with a JSON list of relays; ``-`` to read it from
        the standard input.
    """
    with Relays() as relays:
        for spec in _read_config(config):
            relays.add(spec)
        http.Server(RelayHandlers(relays).application(), listen).run()


if __name__ == '__main__':
    cyclopts.run(main)
