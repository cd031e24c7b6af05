"""Simulated time and endpoints that batch; deterministic."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import typing

#: Seconds for a decoding step of a batch of one.
_STEP_SECONDS = 0.007
#: Relative lengthening of a step when all slots decode.
_BATCH_SLOWDOWN = 0.5
#: Part of the prefill that remains when the prefix is cached.
_UNCACHED_PART = 0.1
#: Seconds until a dispatch to a dead endpoint fails.
_CONNECT_SECONDS = 0.05


Action = typing.Callable[[], None]


class Simulation:
    """A clock that jumps from event to event."""

    def __init__(self) -> None:
        self.now: float = 0
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def at(self, time: float, action: Action) -> None:
        """Do ``action`` at ``time``; in order of the calls if equal."""
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Run all events up to ``until``."""
        while self._events and self._events[0][0] <= until:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """What a request asks of an endpoint."""

    #: Seconds to process the prompt, nothing cached.
    prefill: float
    #: Tokens to generate.
    tokens: int
    prefix_key: str = ''


class Listener(typing.Protocol):
    """Told how a run goes on."""

    def first_token(self) -> None:
        """Take the first token."""

    def ended(self) -> None:
        """Take the last token."""

    def failed(self) -> None:
        """Take the loss of the endpoint."""


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One request at one endpoint."""

    work: Work
    listener: Listener
    started: float = 0
    is_over: bool = False
    has_begun: bool = False
    seconds: float = 0


class Endpoint:
    """An engine: serial prefill, decoding in a batch, a queue before both."""

    def __init__(
        self,
        simulation: Simulation,
        endpoint_id: str,
        *,
        domain: str,
        slots: int,
        cached_prefixes: int = 4,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.domain = domain
        self.slots = slots
        #: Factor on all durations.
        self.slowness: float = 1
        self.is_dead = False
        #: Slot-seconds spent so far.
        self.spent: float = 0
        self.hits = 0
        self.prefills = 0
        self._simulation = simulation
        self._running: dict[int, Run] = {}
        self._waiting: collections.deque[Run] = collections.deque()
        self._prefill_free: float = 0
        self._cached: collections.OrderedDict[str, None]
        self._cached = collections.OrderedDict()
        self._cached_prefixes = cached_prefixes

    @property
    def running(self) -> int:
        """Return the requests that run or wait here."""
        return len(self._running) + len(self._waiting)

    def start(self, work: Work, listener: Listener) -> Run:
        """Take a request; it waits while all slots are taken."""
        run = Run(work, listener)
        if self.is_dead:
            self._fail(run, _CONNECT_SECONDS)
        elif len(self._running) < self.slots:
            self._begin(run)
        else:
            self._waiting.append(run)
        return run

    def cancel(self, run: Run) -> None:
        """Stop a request that still runs."""
        if not run.is_over:
            self._leave(run)

    def die(self) -> None:
        """Lose all requests; further ones fail."""
        self.is_dead = True
        lost = [*self._running.values(), *self._waiting]
        self._waiting.clear()
        for run in lost:
            self._leave(run)
            self._fail(run, 0)
        self._cached.clear()

    def revive(self) -> None:
        """Serve again, with an empty cache."""
        self.is_dead = False
        self._prefill_free = self._simulation.now

    def _fail(self, run: Run, delay: float) -> None:
        run.is_over = True
        self._simulation.at(self._simulation.now + delay, run.listener.failed)

    def _begin(self, run: Run) -> None:
        now = self._simulation.now
        run.started = now
        run.has_begun = True
        self._running[id(run)] = run
        prefill = run.work.prefill * self._uncached_part(run.work.prefix_key)
        begin = max(now, self._prefill_free)
        first = begin + prefill * self.slowness
        self._prefill_free = first
        load = len(self._running) / self.slots
        step = _STEP_SECONDS * (1 + _BATCH_SLOWDOWN * load) * self.slowness
        end = first + run.work.tokens * step
        self._simulation.at(first, lambda: self._first_token(run))
        self._simulation.at(end, lambda: self._end(run))

    def _uncached_part(self, prefix_key: str) -> float:
        self.prefills += 1
        if not prefix_key:
            return 1
        is_hit = prefix_key in self._cached
        self._cached[prefix_key] = None
        self._cached.move_to_end(prefix_key)
        if len(self._cached) > self._cached_prefixes:
            self._cached.popitem(last=False)
        self.hits += is_hit
        return _UNCACHED_PART if is_hit else 1

    def _first_token(self, run: Run) -> None:
        if not run.is_over:
            run.listener.first_token()

    def _end(self, run: Run) -> None:
        if not run.is_over:
            self._leave(run)
            run.listener.ended()

    def _leave(self, run: Run) -> None:
        run.is_over = True
        if run.has_begun:
            del self._running[id(run)]
            run.seconds = self._simulation.now - run.started
            self.spent += run.seconds
        elif run in self._waiting:
            self._waiting.remove(run)
        while self._waiting and len(self._running) < self.slots:
            self._begin(self._waiting.popleft())
