"""What the whole path adds to a direct call, and what one entry carries."""

from __future__ import annotations

import concurrent.futures
import subprocess
import sys
import time
import typing

import cyclopts
import msgspec

from benchmarks import load as load_tool
from benchmarks import usage
from standins import system as systems

#: A token every 75 ms makes 13 tokens a second for each stream.
_STEP_MS = 75
#: Few streams run on faster engines, so that what the path adds is not hidden
#: by waiting for the next step.
_FAST_STEP_MS = 10
_ENGINES = 4
_FEW_STREAMS = 48
_FEW_ROUNDS = 4
_MANY_STREAMS = 400
_TOOLS = 4
_TOKENS = 60
_IDLE_SECONDS = 10.0
_REFUSALS = 100
_MS = 1000
_US = 1e6
_WEIGHTS = bytes(range(256)) * 1024
_VERSION = 'faults-1'


class Latency(msgspec.Struct, frozen=True):
    """Milliseconds."""

    first_p50: float
    first_p95: float
    between_p50: float
    between_p95: float
    between_max: float
    streams: int
    whole: int


class Idle(msgspec.Struct, frozen=True):
    """An idle process."""

    core_percent: float
    resident_mb: float


class Result(msgspec.Struct):
    """All figures of one run."""

    direct: Latency
    entry: Latency
    added_first_p50_ms: float
    added_first_p95_ms: float
    added_between_p50_ms: float
    added_between_p95_ms: float
    full: Latency
    full_direct: Latency
    tokens_per_second: float
    #: Processor time of the entry and of one agent for each token relayed.
    entry_us_per_token: float
    agent_us_per_token: float
    entry_core_percent: float
    agent_core_percent: float
    entry_peak_mb: float
    agent_peak_mb: float
    refusal_p50_ms: float
    refusal_p95_ms: float
    refusals: int
    idle_entry: Idle
    idle_agent: Idle


def main(*, json: bool = False) -> None:
    """Measure the path; the last line is one JSON object.

    :param json: print only that line.
    """
    with systems.System(_shape(_FAST_STEP_MS)) as system:
        system.bring_into_service(_VERSION, _WEIGHTS)
        direct = _latency(_run_direct(system, _FEW_STREAMS, _FEW_ROUNDS))
        through = _latency(_run_entry(system, _FEW_STREAMS, _FEW_ROUNDS))
    with systems.System(_shape(_STEP_MS)) as system:
        system.bring_into_service(_VERSION, _WEIGHTS)
        result = _measure(system, direct, through)
    if not json:
        print(msgspec.json.format(msgspec.json.encode(result)).decode())
    print(msgspec.json.encode(result).decode())


def _shape(step: int) -> systems.Shape:
    places = _MANY_STREAMS // _ENGINES
    return systems.Shape(
        entries=1,
        engines=_ENGINES,
        services=0,
        capacity=places,
        concurrency=2 * _MANY_STREAMS,
        streams=_MANY_STREAMS,
        threads=_MANY_STREAMS + 40,
        engine_arguments=('--step-ms', str(step), '--capacity', str(places)),
    )


def _measure(
    system: systems.System,
    direct: Latency,
    through: Latency,
) -> Result:
    idle_entry, idle_agent = _idle(system)
    full_direct = _latency(_run_direct(system, _MANY_STREAMS))
    before = _usages(system)
    began = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        running = pool.submit(_run_entry, system, _MANY_STREAMS)
        system.await_status(
            lambda status: status['in_progress'] >= _MANY_STREAMS,
            'all streams run',
        )
        refusals = _refusals(system)
        streams = running.result()
    seconds = time.monotonic() - began
    after = _usages(system)
    tokens = sum(len(one.gaps) + 1 for one in streams if one.status == 200)
    streaming = max(one.total for one in streams)
    return Result(
        direct=direct,
        entry=through,
        added_first_p50_ms=through.first_p50 - direct.first_p50,
        added_first_p95_ms=through.first_p95 - direct.first_p95,
        added_between_p50_ms=through.between_p50 - direct.between_p50,
        added_between_p95_ms=through.between_p95 - direct.between_p95,
        full=_latency(streams),
        full_direct=full_direct,
        tokens_per_second=tokens / streaming,
        entry_us_per_token=_processor(before, after, 'entry-0') / tokens * _US,
        agent_us_per_token=(
            _processor(before, after, 'agent-0') / tokens * _ENGINES * _US
        ),
        entry_core_percent=_percent(before, after, 'entry-0', seconds),
        agent_core_percent=_percent(before, after, 'agent-0', seconds),
        entry_peak_mb=after['entry-0'].peak / 1e6,
        agent_peak_mb=after['agent-0'].peak / 1e6,
        refusal_p50_ms=load_tool.percentile(refusals, 50) * _MS,
        refusal_p95_ms=load_tool.percentile(refusals, 95) * _MS,
        refusals=len(refusals),
        idle_entry=idle_entry,
        idle_agent=idle_agent,
    )


def _idle(system: systems.System) -> tuple[Idle, Idle]:
    before = _usages(system)
    time.sleep(_IDLE_SECONDS)
    after = _usages(system)
    return (
        _idle_of(before, after, 'entry-0'),
        _idle_of(before, after, 'agent-0'),
    )


def _idle_of(
    before: dict[str, usage.Usage],
    after: dict[str, usage.Usage],
    name: str,
) -> Idle:
    return Idle(
        _percent(before, after, name, _IDLE_SECONDS),
        after[name].resident / 1e6,
    )


def _percent(
    before: dict[str, usage.Usage],
    after: dict[str, usage.Usage],
    name: str,
    seconds: float,
) -> float:
    return 100 * _processor(before, after, name) / seconds


def _processor(
    before: dict[str, usage.Usage],
    after: dict[str, usage.Usage],
    name: str,
) -> float:
    return after[name].processor - before[name].processor


def _usages(system: systems.System) -> dict[str, usage.Usage]:
    return {
        name: usage.of(system.by_name[name].pid)
        for name in ('entry-0', 'agent-0')
    }


def _run_direct(
    system: systems.System,
    streams: int,
    rounds: int = 1,
) -> list[load_tool.StreamTimes]:
    addresses = [
        system.addresses[f'engine-{number}'] for number in range(_ENGINES)
    ]
    return _run_tools(addresses, streams, rounds)


def _run_entry(
    system: systems.System,
    streams: int,
    rounds: int = 1,
) -> list[load_tool.StreamTimes]:
    addresses = [system.callers['entry-0'] for _ in range(_TOOLS)]
    return _run_tools(addresses, streams, rounds)


def _run_tools(
    addresses: typing.Sequence[str],
    streams: int,
    rounds: int,
) -> list[load_tool.StreamTimes]:
    tools = [
        subprocess.Popen(
            [
                sys.executable,
                '-m',
                'benchmarks.load',
                '--address',
                address,
                '--key',
                systems.KEY,
                '--model',
                systems.MODEL,
                '--streams',
                str(streams // len(addresses)),
                '--tokens',
                str(_TOKENS),
                '--rounds',
                str(rounds),
            ],
            stdout=subprocess.PIPE,
        )
        for address in addresses
    ]
    outputs = [tool.communicate()[0] for tool in tools]
    reports = [
        msgspec.json.decode(output, type=load_tool.Report) for output in outputs
    ]
    return [times for report in reports for times in report.streams]


def _latency(streams: typing.Sequence[load_tool.StreamTimes]) -> Latency:
    firsts = [one.first for one in streams if one.first]
    gaps = [gap for one in streams for gap in one.gaps]
    return Latency(
        load_tool.percentile(firsts, 50) * _MS,
        load_tool.percentile(firsts, 95) * _MS,
        load_tool.percentile(gaps, 50) * _MS,
        load_tool.percentile(gaps, 95) * _MS,
        max(gaps, default=0) * _MS,
        len(streams),
        sum(one.whole for one in streams),
    )


def _refusals(system: systems.System) -> list[float]:
    """Return how long refusals of a full entry took, in seconds."""
    body = msgspec.json.encode({'model': systems.MODEL, 'prompt': 'late'})
    times = []
    for _ in range(_REFUSALS):
        began = time.perf_counter()
        answer = system.call('entry-0', 'POST', '/v1/completions', body)
        if answer.status == 503:
            times.append(time.perf_counter() - began)
    return times


if __name__ == '__main__':
    cyclopts.run(main)
