"""Stand-in for a plain service, run as a program."""

from __future__ import annotations

import threading
import time

import cyclopts
import msgspec

from standins import http


class ServiceAnswer(msgspec.Struct, frozen=True):
    """Names the request that was run, and how often it has been."""

    method: str
    path: str
    request_id: str
    run: int
    #: The length of the request's body in bytes.
    received: int


class RunsAnswer(msgspec.Struct, frozen=True):
    """How often each request was run."""

    #: By its id; each call of a caller has its own.
    runs: dict[str, int]
    #: By its path; a caller's repeat has the same.
    runs_by_path: dict[str, int]


class ServiceHandlers:
    """Run any request and count its runs."""

    __slots__ = ('_delay', '_lock', '_runs_by_id', '_runs_by_path')

    def __init__(self, delay: float = 0) -> None:
        self._delay = delay
        self._runs_by_id: dict[str, int] = {}
        self._runs_by_path: dict[str, int] = {}
        self._lock = threading.Lock()

    def application(self) -> http.Application:
        """Return the application with its routes."""
        return http.Application(
            (http.Route('GET', '/control/runs', self._runs),),
            fallback=self._run,
        )

    def _run(self, request: http.Request) -> http.Response:
        request_id = request.header('X-Request-Id')
        body = request.body()
        with self._lock:
            run = self._runs_by_id.get(request_id, 0) + 1
            self._runs_by_id[request_id] = run
            earlier = self._runs_by_path.get(request.path, 0)
            self._runs_by_path[request.path] = earlier + 1
        if request_id:
            # Questions about its health carry no id and are quick.
            time.sleep(self._delay)
        return http.answer_json(
            ServiceAnswer(
                request.method,
                request.path,
                request_id,
                run,
                len(body),
            ),
        )

    def _runs(self, request: http.Request) -> http.Response:
        with self._lock:
            answer = RunsAnswer(
                dict(self._runs_by_id),
                dict(self._runs_by_path),
            )
        return http.answer_json(answer)


def main(
    *,
    listen: str = '127.0.0.1:0',
    delay_ms: float = 0,
    threads: int = 64,
) -> None:
    """Serve any path.

    :param listen: where to listen, ``host:port``; port 0 takes a free one.
    :param delay_ms: how long each run takes.
    :param threads: how many calls are served at once.
    """
    handlers = ServiceHandlers(delay_ms / 1000)
    http.Server(handlers.application(), listen, threads).run()


if __name__ == '__main__':
    cyclopts.run(main)
