"""What callers get by how entries know loads: ``scripts/bench load_reports``.

A simulation of placing, without a network: entries of several failure domains
send requests to engines with a fixed number of slots, at a rate near what these
can carry.  An entry chooses by counts that entries told one another a while
ago, or by reports of the engines' agents.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing

from clementinepass.decisions import endpoint_choice, first_event, subsetting
from clementinepass.direct import endpoints

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds that a report is on its way.
_ON_WAY = 0.01
#: Seconds from a slot to the first event.
_FIRST_EVENT = 0.15
#: Seconds between the moments at which the engines' totals are written down
#: for entries that go by older counts.
_TICK = 0.1


class Setting(typing.NamedTuple):
    """The load.

    :param rate: requests a second, over all entries.
    :param hold_seconds: for which a request takes a slot, in the mean.
    :param aim: seconds in which the first event is in time.
    :param count_age: seconds by which the counts are old that entries tell
        one another.
    :param warm_up: seconds of which the requests aren't counted.
    """

    entries: int = 100
    engines: int = 62
    domains: int = 5
    rate: float = 398
    slots: int = 8
    hold_seconds: float = 1.25
    aim: float = 0.4
    count_age: float = 1.25
    seconds: float = 16
    warm_up: float = 4
    seed: int = 1


class Outcome(typing.NamedTuple):
    """What became of the requests.

    :param in_time: the part whose first event came in time.
    :param late: the part whose first event came later.
    :param refused: the part that was refused at once.
    """

    in_time: float
    late: float
    refused: float


class _Engine:
    """An engine: slots, and a queue in front of them."""

    def __init__(self, number: int, setting: Setting) -> None:
        self.address = f'10.{number % setting.domains}.1.{number}:80'
        self.domain = number % setting.domains
        self._slots = setting.slots
        self._free_at = [float(0) for _ in range(setting.slots)]
        #: When each request here gets its slot, and when it ends.
        self._begins: collections.deque[float] = collections.deque()
        self._ends: list[float] = []

    def take(self, now: float, seconds: float) -> float:
        """Take a request; return when it gets a slot."""
        begin = max(now, heapq.heappop(self._free_at))
        heapq.heappush(self._free_at, begin + seconds)
        heapq.heappush(self._ends, begin + seconds)
        self._begins.append(begin)
        return begin

    def load(self, now: float) -> tuple[int, int]:
        """Return how many requests it runs, and how many wait."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        while self._begins and self._begins[0] <= now:
            self._begins.popleft()
        return len(self._ends) - len(self._begins), len(self._begins)


class Way(typing.Protocol):
    """A way to know loads, and to choose by them."""

    def advance(self, now: float) -> None:
        """Let what is known become that of a moment."""

    def choose(self, entry: int, now: float) -> endpoint_choice.Choice | None:
        """Choose an engine by its address."""

    def sent(self, entry: int, address: str, now: float) -> None:
        """Note a request sent."""


class ToldCounts:
    """Entries tell one another their counts; the least loaded of all."""

    def __init__(
        self,
        engines: Sequence[_Engine],
        setting: Setting,
        rng: random.Random,
    ) -> None:
        self._engines = engines
        self._setting = setting
        self._rng = rng
        self._next_tick: float = 0
        ticks = round(setting.count_age / _TICK)
        self._loads: collections.deque[list[int]] = collections.deque(
            maxlen=ticks + 1,
        )

    def advance(self, now: float) -> None:
        """Write the totals down; the oldest of them are known."""
        while now >= self._next_tick:
            totals = [sum(one.load(self._next_tick)) for one in self._engines]
            self._loads.append(totals)
            self._next_tick += _TICK

    def choose(self, entry: int, now: float) -> endpoint_choice.Choice | None:
        """Compare all engines."""
        loads = zip(self._engines, self._loads[0], strict=True)
        domain = entry % self._setting.domains
        options = [
            endpoint_choice.Candidate(
                one.address, load, self._setting.slots, one.domain == domain
            )
            for one, load in loads
        ]
        return endpoint_choice.choose(options, self._rng)

    def sent(self, entry: int, address: str, now: float) -> None:
        """Nothing is known of it before it is told."""


class Reports:
    """Agents report to entries that use their engine; a few are compared."""

    def __init__(
        self,
        engines: Sequence[_Engine],
        setting: Setting,
        rng: random.Random,
    ) -> None:
        self._engines_by_address = {one.address: one for one in engines}
        self._setting = setting
        self._rng = rng
        self._reports_by_entry = [
            {address: endpoints.ReportedLoad() for address in self._used(entry)}
            for entry in range(setting.entries)
        ]
        subscribers: collections.Counter[str] = collections.Counter(
            itertools.chain.from_iterable(self._reports_by_entry),
        )
        self._interval_by_address = {
            address: subsetting.report_interval(subscribers[address])
            for address in self._engines_by_address
        }
        self._due = [
            (rng.random() * interval, address)
            for address, interval in self._interval_by_address.items()
        ]
        heapq.heapify(self._due)

    def advance(self, now: float) -> None:
        """Bring the reports that have come by now."""
        while self._due[0][0] + _ON_WAY <= now:
            made, address = heapq.heappop(self._due)
            active, queued = self._engines_by_address[address].load(made)
            for reports in self._reports_by_entry:
                known = reports.get(address)
                if known is not None:
                    known.update(active, queued, made + _ON_WAY)
            interval = self._interval_by_address[address]
            heapq.heappush(self._due, (made + interval, address))

    def choose(self, entry: int, now: float) -> endpoint_choice.Choice | None:
        """Compare a sample of the engines that the entry uses."""
        domain = entry % self._setting.domains
        reports = self._reports_by_entry[entry]
        options = [
            endpoint_choice.Candidate(
                address,
                report.total,
                self._setting.slots,
                self._engines_by_address[address].domain == domain,
            )
            for address, report in reports.items()
        ]
        near = [one for one in options if one.is_same_domain]
        far = [one for one in options if not one.is_same_domain]
        drawn = endpoint_choice.sample(near, far, self._rng)
        return endpoint_choice.choose(drawn, self._rng)

    def sent(self, entry: int, address: str, now: float) -> None:
        """Add what no report knows of yet."""
        self._reports_by_entry[entry][address].record_sent(now)

    def _used(self, entry: int) -> list[str]:
        domain = entry % self._setting.domains
        near: list[str] = []
        far: list[str] = []
        for address, one in self._engines_by_address.items():
            (near if one.domain == domain else far).append(address)
        return subsetting.subset(f'10.{domain}.0.{entry}', near, far)


#: Makes a way of the engines, the load and what it draws from.
Make = typing.Callable[
    ['Sequence[_Engine]', Setting, random.Random],
    Way,
]


def play(setting: Setting, make: Make) -> Outcome:
    """Play a load by one way to know loads."""
    rng = random.Random(setting.seed)
    engines = [_Engine(number, setting) for number in range(setting.engines)]
    by_address = {one.address: one for one in engines}
    way = make(engines, setting, rng)
    pace = first_event.ServiceRate(
        prompt_tokens_per_second=1e6,
        requests_per_second=setting.slots / setting.hold_seconds,
    )
    counts: collections.Counter[str] = collections.Counter()
    now: float = 0
    while now < setting.seconds:
        now += rng.expovariate(setting.rate)
        way.advance(now)
        entry = rng.randrange(setting.entries)
        seconds = rng.expovariate(1 / setting.hold_seconds)
        choice = way.choose(entry, now)
        fate = 'refused'
        if choice is not None and _fits(choice, pace, setting):
            way.sent(entry, choice.endpoint_id, now)
            begin = by_address[choice.endpoint_id].take(now, seconds)
            is_in_time = begin + _FIRST_EVENT - now <= setting.aim
            fate = 'in time' if is_in_time else 'late'
        if now >= setting.warm_up:
            counts[fate] += 1
    total = counts.total()
    return Outcome(
        counts['in time'] / total,
        counts['late'] / total,
        counts['refused'] / total,
    )


def _fits(
    choice: endpoint_choice.Choice,
    pace: first_event.ServiceRate,
    setting: Setting,
) -> bool:
    wish = first_event.PendingRequest(
        queue_depth=choice.queue_depth,
        slots=choice.slots,
        prompt_tokens=0,
        latency_target=setting.aim,
        elapsed_seconds=0,
    )
    return first_event.meets_target(wish, pace)


def main() -> None:
    """Print both ways at several sizes."""
    print('entries engines  way          in time   late refused')
    for entries, count in ((20, 12), (100, 62), (100, 77), (330, 200)):
        setting = Setting(entries=entries, engines=count)
        setting = setting._replace(rate=count * 398 / 62)
        if (entries, count) == (100, 77):
            setting = setting._replace(rate=398)
        for make in (ToldCounts, Reports):
            found = play(setting, make)
            print(
                f'{entries:7} {count:7}  {make.__name__:12}'
                f' {found.in_time:7.3f} {found.late:6.3f}'
                f' {found.refused:7.3f}',
            )


if __name__ == '__main__':
    main()
