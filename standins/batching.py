"""Continuous batching: a batch that requests join and leave at each step."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import queue
import threading
import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: What a job's events end with when it was cancelled.
_CANCELLED = -1


class JobCancelled(Exception):  # noqa: N818
    """The job was cancelled before its last token."""


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request's run."""

    request_id: str
    count: int
    priority: int
    #: The version that it began on; set at its first step.
    version: str = ''
    done: int = 0
    events: queue.SimpleQueue[int] = dataclasses.field(
        default_factory=queue.SimpleQueue,
    )

    def tokens(self) -> Iterator[int]:
        """Yield the index of each token once it is made.

        :raises JobCancelled: the job was cancelled.
        """
        for _ in range(self.count):
            index = self.events.get()
            if index == _CANCELLED:
                raise JobCancelled
            yield index


@dataclasses.dataclass(slots=True)
class Load:
    """How busy the batch is."""

    running: int
    waiting: int


class Batch:
    """Advance up to ``capacity`` jobs by a token at each step.

    :param step: seconds that a step takes.
    :param capacity: how many jobs run at once.
    :param waiting: how many jobs may wait.
    """

    __slots__ = (
        '_capacity',
        '_changed',
        '_numbers',
        '_running',
        '_runs_by_id',
        '_step',
        '_version',
        '_waiting',
        '_waiting_limit',
    )

    def __init__(self, step: float, capacity: int, waiting: int) -> None:
        self._step = step
        self._capacity = capacity
        self._waiting_limit = waiting
        self._version = ''
        self._running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._numbers = itertools.count()
        self._runs_by_id: collections.Counter[str] = collections.Counter()
        self._changed = threading.Condition()

    @property
    def capacity(self) -> int:
        """How many jobs run at once."""
        return self._capacity

    def submit(self, job: Job) -> bool:
        """Let a job wait for its turn; tell whether there was room."""
        with self._changed:
            free = self._capacity - len(self._running)
            if len(self._waiting) >= self._waiting_limit + free:
                return False
            entry = (job.priority, next(self._numbers), job)
            heapq.heappush(self._waiting, entry)
            self._changed.notify()
        return True

    def cancel(self, request_id: str) -> bool:
        """Stop all jobs of a request; tell whether there were any."""
        with self._changed:
            jobs = self._jobs(request_id)
            for found in jobs:
                self._remove(found)
        return bool(jobs)

    def give_up(self, job: Job) -> None:
        """Stop one job, if it has not ended."""
        with self._changed:
            self._remove(job)

    def serve(self, version: str) -> None:
        """Begin new jobs on another version."""
        with self._changed:
            self._version = version

    def load(self) -> Load:
        """Return how busy the batch is now."""
        with self._changed:
            return Load(len(self._running), len(self._waiting))

    def runs_by_id(self) -> dict[str, int]:
        """Return how often each request was begun, by its id."""
        with self._changed:
            return dict(self._runs_by_id)

    def start(self) -> None:
        """Run steps in a thread of their own for as long as we live."""
        threading.Thread(target=self._run, daemon=True).start()

    def advance(self) -> None:
        """Run one step."""
        with self._changed:
            self._admit()
            for job in self._running:
                job.events.put(job.done)
                job.done += 1
            self._running = [
                other for other in self._running if other.done < other.count
            ]

    def _run(self) -> None:
        following = time.monotonic()
        while True:
            if self._wait_for_work():
                following = time.monotonic()
            following += self._step
            time.sleep(max(0, following - time.monotonic()))
            self.advance()

    def _wait_for_work(self) -> bool:
        """Wait until there is a job; tell whether there was none."""
        with self._changed:
            idle = not (self._running or self._waiting)
            self._changed.wait_for(lambda: self._running or self._waiting)
            return idle

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._capacity:
            job = heapq.heappop(self._waiting)[2]
            job.version = self._version
            self._runs_by_id[job.request_id] += 1
            self._running.append(job)

    def _jobs(self, request_id: str) -> list[Job]:
        waiting = (entry[2] for entry in self._waiting)
        return [
            job
            for job in (*self._running, *waiting)
            if job.request_id == request_id
        ]

    def _remove(self, job: Job) -> None:
        job.events.put(_CANCELLED)
        self._running = [other for other in self._running if other is not job]
        self._waiting = [
            entry for entry in self._waiting if entry[2] is not job
        ]
        heapq.heapify(self._waiting)
