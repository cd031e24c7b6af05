"""Cost of the fold, and time from publishing to being in force everywhere."""

from __future__ import annotations

import hashlib
import math
import pathlib
import re
import statistics
import tempfile
import time
import typing

import cyclopts
import msgspec
import urllib3

from clementinepass import errors
from clementinepass.configuration import (
    changes,
    excerpt,
    fold,
    folder,
    publisher,
    state,
)
from clementinepass.platform import log_service, protocols
from standins import faults, processes

_SIZES = (100, 1000, 5000)
_RUNS = 3
_RECORDS = 200
_US = 1e6
_MS = 1e3
_RETRY = 0.02
_SHARE = 0.95
_STATE = re.compile(r'state (\d+) \w+ ([0-9.]+)')


class Slope(msgspec.Struct, frozen=True):
    """Costs at one number of sections."""

    run: int
    sections: int
    state_bytes: int
    #: What one agent is given of the state.
    excerpt_bytes: int
    record_bytes: int
    fold_us_per_record: float
    encode_ms: float
    decode_ms: float


class Spread(msgspec.Struct, frozen=True):
    """Seconds from the call of ``publish`` until every reader has it."""

    run: int
    readers: int
    publications: int
    p50: float
    p95: float
    most: float


class Report(msgspec.Struct, frozen=True):
    """All figures."""

    slopes: tuple[Slope, ...]
    healthy: tuple[Spread, ...]
    #: Counted from the end of an outage of the log.
    after_outage: tuple[Spread, ...]


def main(
    *,
    readers: int = 24,
    publications: int = 60,
    outages: int = 4,
    json: bool = False,
) -> None:
    """Measure and print; the last line is the report as JSON.

    :param readers: processes that follow the configuration.
    :param publications: publications in each run with a healthy log.
    :param outages: outages in each run.
    :param json: print nothing but the report.
    """
    slopes = [_slope(run, size) for size in _SIZES for run in range(_RUNS)]
    healthy = []
    after_outage = []
    for run in range(_RUNS):
        with _Bench(readers) as bench:
            healthy.append(bench.spread(run, publications))
            after_outage.append(bench.spread(run, outages, outage=1.0))
    report = Report(tuple(slopes), tuple(healthy), tuple(after_outage))
    if not json:
        for row in (*slopes, *healthy, *after_outage):
            print(row)
    print(msgspec.json.encode(report).decode())


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _sections(size: int) -> folder.Sections:
    """Return as many sections, half of them teams and half promises."""
    base = {
        'model m': {'version': 'v'},
        'version v': {'model': 'm', 'manifest': _digest('m')},
    }
    for number in range((size - len(base)) // 2):
        name = f'team-{number:06}'
        base[f'team {name}'] = {'key_sha256': _digest(name)}
        promised = {'concurrency': '4', 'first_token': '800ms'}
        base[f'promise {name}/m'] = promised
    return folder.Sections.from_values(base, 'bench')


def _apply(
    current: state.State,
    sections: folder.Sections,
) -> tuple[state.State, int]:
    """Fold one publication and return the state and the record's length."""
    wanted = changes.Changes.between(current, sections, ())
    publication = wanted.with_key_owners(current).publication(
        current,
        unique_id='0' * 32,
        operator='bench',
        message='a change',
    )
    record = protocols.Record(current.revision, publication.encode())
    return fold.fold(current, record).state, len(record.payload)


def _slope(run: int, size: int) -> Slope:
    current, _ = _apply(state.State(), _sections(size))
    change = {'team team-000000': {'key_sha256': _digest(f'{run}')}}
    sections = folder.Sections.from_values(change, 'bench')
    _, record_bytes = _apply(current, sections)
    took: float = 0
    for number in range(_RECORDS):
        wanted = {'model m': {'version': 'v', 'wave': f'{number % 99 + 1}%'}}
        publication = changes.Changes(wanted, ()).publication(
            current,
            unique_id='0' * 32,
            operator='bench',
            message='a change',
        )
        record = protocols.Record(current.revision, publication.encode())
        start = time.perf_counter()
        current = fold.fold(current, record).state
        took += time.perf_counter() - start
    start = time.perf_counter()
    payload = current.encode()
    encoded = time.perf_counter()
    state.State.decode(payload)
    decoded = time.perf_counter()
    return Slope(
        run=run,
        sections=size,
        state_bytes=len(payload),
        excerpt_bytes=len(excerpt.for_endpoint(current, 'm').encode()),
        record_bytes=record_bytes,
        fold_us_per_record=round(took / _RECORDS * _US, 1),
        encode_ms=round((encoded - start) * _MS, 3),
        decode_ms=round((decoded - encoded) * _MS, 3),
    )


class _Bench:
    """A log and processes that follow it."""

    def __init__(self, readers: int) -> None:
        self._where = tempfile.TemporaryDirectory()
        where = pathlib.Path(self._where.name)
        self._log = processes.Process('log', 'standins.log_service', (), where)
        self._address = self._log.listening()['listening']
        self._readers = [
            processes.Process(
                f'reader-{number}',
                'benchmarks.configuration_reader',
                ('--log', self._address, '--every', '200'),
                where,
            )
            for number in range(readers)
        ]
        for reader in self._readers:
            reader.wait_for('reading')
        service = log_service.HttpLogService(self._address)
        self._publisher = publisher.Publisher(service)
        self._http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> _Bench:
        return self

    def __exit__(self, *_: object) -> None:
        for process in (*self._readers, self._log):
            process.stop()
        self._where.cleanup()

    def spread(self, run: int, count: int, outage: float = 0) -> Spread:
        """Publish one after another and measure each."""
        taken = sorted(self._once(outage) for _ in range(count))
        return Spread(
            run=run,
            readers=len(self._readers),
            publications=count,
            p50=round(statistics.median(taken), 4),
            p95=round(taken[math.ceil(_SHARE * len(taken)) - 1], 4),
            most=round(taken[-1], 4),
        )

    def _once(self, outage: float) -> float:
        if outage:
            self._order(begin=True)
            time.sleep(outage)
            self._order(begin=False)
        start = time.monotonic()
        revision = self._publish(_digest(str(start)))
        seen = [
            _seen_at(reader.wait_for(f'state {revision} '))
            for reader in self._readers
        ]
        return max(seen) - start

    def _publish(self, key: str) -> int:
        change = {'team alpha': {'key_sha256': key}}
        sections = folder.Sections.from_values(change, 'bench')
        while True:
            try:
                return self._publisher.publish(
                    sections,
                    (),
                    operator='bench',
                    message='a change',
                ).revision
            except errors.PlatformUnavailableError:
                time.sleep(_RETRY)

    def _order(self, *, begin: bool) -> None:
        self._http.request(
            'POST',
            f'http://{self._address}/control/faults',
            body=msgspec.json.encode(faults.FaultOrder(outage=begin)),
        )


def _seen_at(line: str) -> float:
    match = typing.cast(re.Match[str], _STATE.search(line))
    return float(match.group(2))


if __name__ == '__main__':
    cyclopts.run(main)
