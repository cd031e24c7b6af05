"""How the cost of entries and agents grows, from small runs.

Each figure is measured at several sizes and fitted by a line, so that the
part for each further agent, entry, request or section is known.
"""

from __future__ import annotations

import concurrent.futures
import hashlib
import pathlib
import statistics
import sys
import time
import typing

import cyclopts
import msgspec

from benchmarks import usage
from clementinepass.configuration import folder, publisher
from clementinepass.platform import log_service
from standins import relays
from standins import system as systems

_VERSION = 'faults-1'
_AGENT_COUNTS = (8, 16, 32, 64)
_ENTRY_COUNTS = (2, 4, 8, 16)
_FEW_AGENTS = 8
_FEW_ENTRIES = 2
_TEAM_COUNTS = (10, 50, 100)
_REQUEST_COUNTS = (200, 400, 800)
_THREADS = 8
_IDLE_SECONDS = 8.0
_SETTLE_SECONDS = 2.0
_US = 1e6
_MB = 1e6
_PERCENT = 100


class Point(msgspec.Struct, frozen=True):
    """One measurement."""

    size: int
    figures_by_name: dict[str, float]


#: The points of one run, one for each size.
Run = tuple[Point, ...]
#: Makes one run.
Measure = typing.Callable[[], list[Point]]


class Fit(msgspec.Struct, frozen=True):
    """A line through the points of several runs."""

    #: Growth for each further item: median over the runs.
    slope: float
    #: Smallest and largest slope of the runs.
    least: float
    most: float
    #: Value at size 0: median over the runs.
    base: float
    #: Largest distance of a point from its run's line, as a part of the
    #: largest value; small where the growth is linear.
    deviation: float


class Series(msgspec.Struct, frozen=True):
    """The growth of several figures with one size."""

    item: str
    sizes: tuple[int, ...]
    runs: int
    fits_by_figure: dict[str, Fit]
    points: list[Run]


class Slopes(msgspec.Struct, frozen=True):
    """All series of one measurement."""

    command: str
    series_by_item: dict[str, Series]


def main(
    *,
    runs: int = 3,
    json: bool = False,
    items: str = 'agents,entries,requests,teams',
    out: pathlib.Path | None = None,
) -> None:
    """Measure all slopes; the last line is one JSON object.

    :param runs: how often each size is measured.
    :param json: print no progress.
    :param items: which series to measure.
    :param out: a file for the JSON object as well.
    """
    measures: dict[str, Measure] = {
        'agents': _agents,
        'entries': _entries,
        'requests': _requests,
        'teams': _teams,
    }
    series_by_item = {}
    for item in items.split(','):
        points = []
        for run in range(runs):
            points.append(tuple(measures[item]()))
            if not json:
                print(f'{item}, run {run + 1}: {points[-1]}', flush=True)
        series_by_item[item] = _series(item, points)
    slopes = Slopes(f'scripts/bench slopes --runs {runs}', series_by_item)
    encoded = msgspec.json.encode(slopes)
    if out is not None:
        out.write_bytes(msgspec.json.format(encoded))
    sys.stdout.write(f'{encoded.decode()}\n')


def fit_line(
    points: typing.Sequence[tuple[float, float]],
) -> tuple[float, float]:
    """Return slope and base of the least-squares line through points."""
    line = statistics.linear_regression(
        [size for size, _ in points],
        [value for _, value in points],
    )
    return line.slope, line.intercept


def _series(item: str, runs: list[Run]) -> Series:
    names = runs[0][0].figures_by_name
    return Series(
        item,
        tuple(point.size for point in runs[0]),
        len(runs),
        {name: _fit(name, runs) for name in names},
        runs,
    )


def _fit(name: str, runs: list[Run]) -> Fit:
    lines = []
    deviations = []
    for run in runs:
        points = [(one.size, one.figures_by_name[name]) for one in run]
        slope, base = fit_line(points)
        lines.append((slope, base))
        largest = max(abs(value) for _, value in points) or 1
        deviations.append(
            max(abs(value - slope * size - base) for size, value in points)
            / largest,
        )
    slopes = [slope for slope, _ in lines]
    return Fit(
        statistics.median(slopes),
        min(slopes),
        max(slopes),
        statistics.median(base for _, base in lines),
        max(deviations),
    )


class _Fleet:
    """Entries and agents before one plain service, with counted bytes."""

    def __init__(self, agents: int, entries: int) -> None:
        self._relays = relays.Relays()
        self.system = systems.System(
            systems.Shape(entries=entries, engines=0, services=1),
        )
        self._agents = agents
        self._entries = entries

    def __enter__(self) -> typing.Self:
        """Start everything and wait until every entry sees every agent."""
        self._relays.__enter__()
        system = self.system
        system.start_platform()
        system.start_endpoint('service-0')
        for number in range(self._agents):
            system.start_agent(f'agent-{number}', 'service-0', number)
        for number in range(self._entries):
            system.start_entry(f'entry-{number}', number)
        for name, process in system.by_name.items():
            if name.startswith(('agent-', 'entry-')):
                self._enlist(name, dict(process.listening()))
        manifest = hashlib.sha256(b'none').hexdigest()
        system.publish_configuration(
            system.write_configuration(_VERSION, manifest),
        )
        system.shape.services = self._agents
        system.await_serving(_VERSION, timeout=120)
        time.sleep(_SETTLE_SECONDS)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        self.system.__exit__()
        self._relays.__exit__(None, None, None)

    def _enlist(self, name: str, listening: dict[str, str]) -> None:
        if name in {'agent-0', 'entry-0'}:
            spec = relays.RelaySpec(name, listening['peers'])
            listening['peers'] = self._relays.add(spec)
        self.system.enlist(name, listening)

    def idle(self) -> dict[str, float]:
        """Return what an idle agent and an idle entry cost."""
        names = ('agent-0', 'entry-0')
        before = {name: self._usage(name) for name in names}
        bytes_before = self._passed_by_name()
        time.sleep(_IDLE_SECONDS)
        bytes_after = self._passed_by_name()
        figures = {}
        for name in names:
            role = name.partition('-')[0]
            after = self._usage(name)
            used = after.processor - before[name].processor
            passed = bytes_after[name] - bytes_before[name]
            figures[f'{role}_core_percent'] = _PERCENT * used / _IDLE_SECONDS
            figures[f'{role}_resident_mb'] = after.resident / _MB
            figures[f'{role}_bytes_per_s'] = passed / _IDLE_SECONDS
        return figures

    def _passed_by_name(self) -> dict[str, int]:
        return {
            state.name: state.counters.bytes_to_target
            + state.counters.bytes_from_target
            for state in self._relays.states()
        }

    def _usage(self, name: str) -> usage.Usage:
        return usage.of(self.system.by_name[name].pid)


def _idle(size: int, *, agents: int, entries: int) -> Point:
    with _Fleet(agents, entries) as fleet:
        return Point(size, fleet.idle())


def _agents() -> list[Point]:
    return [
        _idle(count, agents=count, entries=_FEW_ENTRIES)
        for count in _AGENT_COUNTS
    ]


def _entries() -> list[Point]:
    return [
        _idle(count, agents=_FEW_AGENTS, entries=count)
        for count in _ENTRY_COUNTS
    ]


def _requests() -> list[Point]:
    """Processor time against the number of plain-service requests."""
    points = []
    with _Fleet(1, 1) as fleet:
        for count in _REQUEST_COUNTS:
            before = _roles(fleet.system)
            _send(fleet.system, count)
            after = _roles(fleet.system)
            points.append(
                Point(
                    count,
                    {
                        f'{role}_us': (
                            after[role].processor - before[role].processor
                        )
                        * _US
                        for role in after
                    },
                ),
            )
    return points


def _roles(system: systems.System) -> dict[str, usage.Usage]:
    return {
        role: usage.of(system.by_name[f'{role}-0'].pid)
        for role in ('entry', 'agent')
    }


def _send(system: systems.System, count: int) -> None:
    def one(number: int) -> int:
        answer = system.call(
            'entry-0',
            'GET',
            f'/v1/services/{systems.SERVICE}/stations/{number}',
        )
        return answer.status

    with concurrent.futures.ThreadPoolExecutor(_THREADS) as pool:
        statuses = list(pool.map(one, range(count)))
    if set(statuses) != {200}:
        raise RuntimeError(f'statuses {set(statuses)}')


def _teams() -> list[Point]:
    """Cost of configuration against the number of teams with a promise."""
    return [_team_point(count) for count in _TEAM_COUNTS]


def _team_point(count: int) -> Point:
    with _Fleet(1, 2) as fleet:
        system = fleet.system
        path = system.folder / 'configuration' / '50-more.ini'
        path.write_text(''.join(_team_text(number) for number in range(count)))
        published = publisher.Publisher(
            log_service.HttpLogService(system.addresses['log']),
        ).publish(
            folder.read(path.parent),
            (),
            operator='bench',
            message='teams',
        )
        system.await_status(
            lambda status: status['revision'] >= published.revision,
            'configuration in force',
        )
        time.sleep(_SETTLE_SECONDS)
        return Point(count, fleet.idle())


def _team_text(number: int) -> str:
    key = hashlib.sha256(str(number).encode()).hexdigest()
    return (
        f'[team team-{number}]\nkey_sha256 = {key}\n\n'
        f'[promise team-{number}/{systems.SERVICE}]\nconcurrency = 4\n'
        'first_token = 870ms\n\n'
    )


if __name__ == '__main__':
    cyclopts.run(main)
