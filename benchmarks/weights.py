"""Time until a version serves everywhere, and copies read from the origin.

With S the size and W the window, the origin's link runs at 4 S/W and each
instance's link at 2 S/W each way. No schedule ends before W/2, nor reads less
than one copy; every figure is a ratio to these bounds.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import statistics
import sys
import time
import typing

import cyclopts
import msgspec

from benchmarks import weights_fleet, weights_messages
from clementinepass.weights import manifest as manifests
from clementinepass.weights import settings as weight_settings

_MEBIBYTE = 1024 * 1024
_DOMAINS = ('trnava', 'zvolen', 'presov')
_FIRST = 'v0'
_BASELINE_SCALE = 16
_TICKS_A_SECOND = 100
#: The window for which the times of the settings are given, in seconds.
_USUAL_WINDOW = 16


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one run."""

    agents: int
    #: Replicas that serve the newest version at the end.
    serving: int
    size_mb: float
    window: float
    faults: bool
    #: Bytes read from the origin over the bytes that were to be spread.
    origin_copies: float
    #: Time until the last replica serves over W/2.
    time_ratio: float
    #: The same for half of the replicas.
    half_time_ratio: float
    baseline_time_ratio: float
    baseline_origin_copies: float
    ttft_p95_ratio: float
    ttft_p95_ms_idle: float
    ttft_p95_ms: float
    mixed_or_partial: int
    #: Bytes that crossed a failure domain over one copy.
    crossed_copies: float
    #: The most that left one instance over one copy.
    sent_copies_most: float
    #: Answers to reads of chunks a second, all agents together.
    reads_per_s: float
    corrupt: int
    stalled: int
    cpu_ms_per_mb: float
    #: Processor time of the agents over that of the machine.
    agents_cpu_share: float
    machine_cpu_share: float
    #: Replicas that did not serve, with their progress.
    stuck: tuple[str, ...] = ()


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """What is run.

    :param window: W in seconds; the links are 4 S/W and 2 S/W.
    :param request_rate: live requests a second to each instance.
    :param step_ms: an engine's step, and so about the first token.
    :param wave: the percentage of replicas that may load at once.
    :param faults: whether to bring about faults on the way.
    :param alone: whether everyone reads everything from the origin.
    """

    agents: int = 24
    size_mb: float = 64
    window: float = 16
    chunk_kb: int = 256
    request_rate: float = 4
    step_ms: float = 100
    wave: int = 25
    seed: int = 1
    faults: bool = False
    alone: bool = False

    @property
    def size(self) -> int:
        """The version's bytes."""
        return int(self.size_mb * _MEBIBYTE)

    @property
    def link_rate(self) -> float:
        """Bytes a second on each direction of an instance's link."""
        return 2 * self.size / self.window

    @property
    def origin_rate(self) -> float:
        """Bytes a second on the origin's link."""
        return 4 * self.size / self.window

    def settings(self) -> weight_settings.WeightSettings:
        """Return settings sized as the operators' page says."""
        second = self.window / _USUAL_WINDOW
        return weight_settings.WeightSettings(
            memory_limit=3 * self.size,
            upload_rate=0.92 * self.link_rate,
            download_rate=0.94 * self.link_rate,
            origin_rate=0.92 * self.origin_rate,
            slice_bytes=64 * 1024,
            stall_timeout=max(1.5, 2 * second),
            gather=0.12 * second,
            hold=second,
            patience=2 * second,
            distrust=5 * second,
            poll=0.05,
            read_back=1,
            near=8,
            far=4,
            retry=0.2,
            retry_limit=2,
        )


class Run:
    """One run of a plan."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._chance = random.Random(plan.seed)
        self._agents: dict[str, weights_fleet.Agent] = {}
        self._ended: list[weights_fleet.Agent] = []
        self._want: weights_messages.Want | None = None
        self._count = 0
        self._revision = 0

    async def measure(self) -> Result:
        """Start everything, roll out, and end all that was started."""
        try:
            self._platform = await weights_fleet.Platform.start(
                self._plan.origin_rate
            )
            return await self._measure()
        finally:
            await weights_fleet.Program.end_all()

    async def _measure(self) -> Result:
        for _ in range(0, self._plan.agents, 8):
            left = self._plan.agents - len(self._agents)
            await asyncio.gather(
                *(self._add_agent() for _ in range(min(8, left)))
            )
        self._tell_members()
        self._publish(_FIRST, 64 * 1024)
        await self._all_serve(_FIRST, 60)
        await self._reports()
        await asyncio.sleep(4)
        idle = await self._reports()
        return await self._roll_out(idle)

    async def _roll_out(
        self,
        idle: list[weights_messages.Figures],
    ) -> Result:
        before = self._platform.origin_bytes()
        busy = _busy_seconds()
        version = 'v1'
        self._publish(version, self._plan.size)
        start = weights_fleet.monotonic()
        began = start
        to_spread = self._plan.size
        if self._plan.faults:
            version, began, to_spread = await self._disturb(began)
        times = await self._all_serve(version, self._plan.window * 8 + 60)
        took = weights_fleet.monotonic() - start
        busy = _busy_seconds() - busy
        figures = await self._reports()
        origin = self._platform.origin_bytes() - before
        return self._result(
            idle,
            figures,
            sorted(at - began for at in times),
            took,
            origin,
            to_spread,
            busy,
            version,
        )

    async def _disturb(self, began: float) -> tuple[str, float, int]:
        """Bring about the faults, and change the version half way."""
        window = self._plan.window
        names = sorted(self._agents)
        self._chance.shuffle(names)
        for agent in self._agents.values():
            agent.program.send(weights_messages.Disturb(corrupt=0.01))
        for stalled in names[:2]:
            self._agents[stalled].program.send(
                weights_messages.Disturb(stall_seconds=60)
            )
        await asyncio.sleep(window / 4)
        read = self._platform.origin_bytes()
        self._publish('v2', self._plan.size)
        began = weights_fleet.monotonic()
        await asyncio.sleep(window / 16)
        self._platform.origin.program.pause(paused=True)
        await asyncio.sleep(window / 16)
        replaced = [self._replace(name) for name in names[2:5]]
        await asyncio.gather(*replaced)
        left = began + window / 16 + window / 4 - weights_fleet.monotonic()
        await asyncio.sleep(max(0, left))
        self._platform.origin.program.pause(paused=False)
        return 'v2', began, self._plan.size + min(read, self._plan.size)

    async def _replace(self, name: str) -> None:
        gone = self._agents.pop(name)
        self._ended.append(gone)
        await gone.end()
        # The instance list lags: the others learn of it a second later.
        await asyncio.sleep(1)
        await self._add_agent()
        self._tell_members()

    async def _add_agent(self) -> None:
        number = self._count
        self._count += 1
        engine = await weights_fleet.Standin.start(
            'engine', '--step-ms', str(self._plan.step_ms)
        )
        start = weights_messages.Start(
            id=f'agent-{number:03}',
            failure_domain=_DOMAINS[number % len(_DOMAINS)],
            engine=engine.address,
            store=self._platform.store.address,
            origin=self._platform.origin.address,
            link_rate=self._plan.link_rate,
            request_rate=self._plan.request_rate,
            seed=self._plan.seed + number,
            settings=self._plan.settings(),
        )
        agent = await weights_fleet.Agent.start(start, engine)
        self._agents[agent.id] = agent
        if self._want is not None:
            self._tell_members()
            agent.program.send(self._want)

    def _tell_members(self) -> None:
        members = tuple(
            agent.member
            for agent in self._agents.values()
            if agent.member is not None and not self._plan.alone
        )
        for agent in self._agents.values():
            agent.program.send(weights_messages.Members(members))

    def _publish(self, version: str, size: int) -> None:
        whole = random.Random(f'{self._plan.seed}{version}').randbytes(size)
        manifest = manifests.Manifest.from_bytes(
            version, whole, self._plan.chunk_kb * 1024
        )
        digest = self._platform.publish(manifest, whole)
        self._revision += 1
        self._want = weights_messages.Want(
            version,
            manifest.digest,
            digest,
            self._revision,
            self._plan.wave,
        )
        for agent in self._agents.values():
            agent.program.send(self._want)

    async def _all_serve(self, version: str, limit: float) -> list[float]:
        waits = [
            asyncio.wait_for(agent.serves(version), limit)
            for agent in self._agents.values()
        ]
        times = await asyncio.gather(*waits, return_exceptions=True)
        return [one for one in times if isinstance(one, float)]

    async def _reports(self) -> list[weights_messages.Figures]:
        return list(
            await asyncio.gather(
                *(agent.report() for agent in self._agents.values())
            )
        )

    def _result(
        self,
        idle: list[weights_messages.Figures],
        figures: list[weights_messages.Figures],
        times: list[float],
        took: float,
        origin: int,
        to_spread: int,
        busy: float,
        version: str,
    ) -> Result:
        half = self._plan.window / 2
        size = self._plan.size
        moved = sum(one.peers + one.origin for one in figures)
        cpu = sum(one.cpu_seconds for one in figures)
        idle_p95 = _p95(idle)
        live_p95 = _p95(figures)
        stuck = tuple(
            one.progress
            for one in figures
            if f'"serving":"{version}"' not in one.progress
        )
        openings = [
            opening
            for agent in (*self._agents.values(), *self._ended)
            for opening in agent.openings
        ]
        wrong = sum(opening.wrong for opening in openings)
        return Result(
            agents=self._plan.agents,
            serving=len(self._agents) - len(stuck),
            size_mb=size / _MEBIBYTE,
            window=self._plan.window,
            faults=self._plan.faults,
            origin_copies=origin / to_spread,
            time_ratio=max(times, default=0) / half,
            half_time_ratio=_median(times) / half,
            baseline_time_ratio=0,
            baseline_origin_copies=0,
            ttft_p95_ratio=live_p95 / (idle_p95 or 1),
            ttft_p95_ms_idle=idle_p95 * 1000,
            ttft_p95_ms=live_p95 * 1000,
            mixed_or_partial=wrong + sum(one.mismatched for one in figures),
            crossed_copies=sum(one.crossed for one in figures) / size,
            sent_copies_most=max(one.sent for one in figures) / size,
            reads_per_s=sum(one.calls for one in figures) / took,
            corrupt=sum(one.corrupt for one in figures),
            stalled=sum(one.stalled for one in figures),
            cpu_ms_per_mb=1000 * cpu / (moved / _MEBIBYTE),
            agents_cpu_share=cpu / took / _cores(),
            machine_cpu_share=busy / took / _cores(),
            stuck=stuck,
        )


def _median(times: list[float]) -> float:
    return statistics.median(times) if times else 0


def _p95(figures: typing.Iterable[weights_messages.Figures]) -> float:
    seconds = [one for each in figures for one in each.first_token_seconds]
    if len(seconds) < 2:
        return 0
    return statistics.quantiles(seconds, n=20)[-1]


def _cores() -> int:
    with open('/proc/stat', encoding='ascii') as file:
        return sum(
            line.startswith('cpu') and line[3].isdigit() for line in file
        )


def _busy_seconds() -> float:
    """Return the processor seconds that the whole machine has spent."""
    with open('/proc/stat', encoding='ascii') as file:
        fields = [int(field) for field in file.readline().split()[1:]]
    return (sum(fields[:7]) - fields[3] - fields[4]) / _TICKS_A_SECOND


def main(
    plan: Plan | None = None,
    *,
    json: bool = False,
    baseline: bool = True,
) -> None:
    """Roll a version out to agents in processes of their own.

    :param json: print one JSON object on the last line.
    :param baseline: whether to measure everyone reading from the origin.
    """
    plan = plan or Plan()
    began = time.monotonic()
    measured = asyncio.run(Run(plan).measure())
    if baseline:
        measured = _with_baseline(plan, measured)
    print(f'took {time.monotonic() - began:.0f} s', file=sys.stderr)
    if json:
        print(msgspec.json.encode(measured).decode())
    else:
        for name in measured.__struct_fields__:
            print(f'{name}: {getattr(measured, name)}')


def _with_baseline(plan: Plan, measured: Result) -> Result:
    """Measure everyone reading from the origin, scaled down in time.

    Both ratios do not depend on S and W as long as the links are the limit,
    so a sixteenth of both gives them in a sixteenth of the time.
    """
    scaled = dataclasses.replace(
        plan,
        size_mb=plan.size_mb / _BASELINE_SCALE,
        window=plan.window / _BASELINE_SCALE,
        faults=False,
        request_rate=0,
        alone=True,
        wave=100,
    )
    alone = asyncio.run(Run(scaled).measure())
    return msgspec.structs.replace(
        measured,
        baseline_time_ratio=alone.time_ratio,
        baseline_origin_copies=alone.origin_copies,
    )


if __name__ == '__main__':
    cyclopts.run(main)
