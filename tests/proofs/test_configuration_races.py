"""Proof: accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import hashlib
import os
import pathlib
import re
import subprocess
import sys
import tempfile

import msgspec
import testtools
import urllib3

from benchmarks import configuration_reader
from clementinepass.cli import exits
from clementinepass.configuration import (
    fold,
    folder,
    follower,
    publisher,
    records,
)
from clementinepass.platform import log_service
from standins import faults, processes

_OPERATORS = 20
_ROUNDS = 2
_READERS = 6
#: Operators who race for one team.
_TEAMS = 5
#: Seconds between two disturbances.
_PAUSE = 0.4
_APPENDS = f'/v1/streams/{records.STREAM}/'
_STATE = re.compile(r'state (\d+) (\w+) ')
_LOST_TO = re.compile(r'\[(team shared-\d)\] \w+ at revision (\d+) by op')
_UNKNOWN = re.compile('publication (\\w+) is unknown')


@dataclasses.dataclass(frozen=True)
class _Told:
    """What the command line told one operator."""

    code: int
    out: str
    err: str


_Future = concurrent.futures.Future[_Told]


class ConfigurationRacesTest(testtools.TestCase):
    """Twenty operators race while the log fails in every way it can.

    Operators at the real command line set the same teams at the same time.
    Meanwhile the log has outages, freezes and loses answers after the
    effect, its records expire, and processes that follow it are killed and
    replaced. Without the fold's checks one operator's change would
    overwrite another's unseen; without snapshots a new process would start
    from nothing.
    """

    def setUp(self) -> None:
        """Start the log and the processes that follow it."""
        super().setUp()
        where = tempfile.TemporaryDirectory()
        self.addCleanup(where.cleanup)
        self.where = pathlib.Path(where.name)
        self.log = self._start('log', 'standins.log_service')
        self.address = self.log.listening()['listening']
        self.http = urllib3.PoolManager(retries=False, timeout=10)
        service = log_service.HttpLogService(self.address)
        self.service = service
        self.results: list[fold.FoldResult] = []
        self.observer = follower.Follower(service, self.results.append)
        # From here on it folds each record and never needs a snapshot.
        self.observer.poll()
        self.readers = [self._reader(number) for number in range(_READERS)]
        for reader in self.readers:
            reader.wait_for('reading')

    def _start(self, name: str, module: str, *more: str) -> processes.Process:
        process = processes.Process(name, module, more, self.where)
        self.addCleanup(process.stop)
        return process

    def _reader(self, number: int) -> processes.Process:
        return self._start(
            f'reader-{number}',
            'benchmarks.configuration_reader',
            *('--log', self.address, '--every', '5'),
        )

    def _order(self, path: str, body: object) -> None:
        answer = self.http.request(
            'POST',
            f'http://{self.address}/control/{path}',
            body=msgspec.json.encode(body),
        )
        self.assertEqual(200, answer.status)

    def _fail(
        self, *kinds: faults.Kind, calls: int, seconds: float = 0
    ) -> None:
        ordered = tuple(
            faults.Fault(kind, _APPENDS, 'POST', calls, seconds=seconds)
            for kind in kinds
        )
        self._order('faults', faults.FaultOrder(ordered))

    def _publish(self, operator: int, turn: int) -> _Told:
        path = self.where / f'{operator}-{turn}'
        path.mkdir()
        key = hashlib.sha256(f'{operator} {turn}'.encode()).hexdigest()
        text = f'[team shared-{operator % _TEAMS}]\nkey_sha256 = {key}\n'
        (path / 'team.ini').write_text(text)
        ended = subprocess.run(
            [
                *(sys.executable, '-m', 'clementinepass.cli.main', 'config'),
                *('publish', str(path), '--log', self.address, '--json'),
                *('--operator', f'op-{operator}', '-m', f'turn {turn}'),
                *('--timeout', '15'),
            ],
            capture_output=True,
            text=True,
            check=False,
            env={**os.environ, 'PYTHONPATH': os.getcwd()},
        )
        return _Told(ended.returncode, ended.stdout, ended.stderr)

    def _disturb(self, turn: int, told: list[_Future]) -> None:
        """Bring outages, freezes and kills until all operators are told."""
        number = 0
        # Processes are started here, in the test's own thread: one that is
        # started by another thread is ended together with it.
        while concurrent.futures.wait(told, _PAUSE).not_done:
            self._order('faults', faults.FaultOrder(outage=True))
            concurrent.futures.wait(told, _PAUSE)
            self._order('faults', faults.FaultOrder(outage=False))
            self.log.freeze()
            concurrent.futures.wait(told, _PAUSE)
            self.log.thaw()
            if number < 2:
                victim = 2 * turn + number
                self.readers[victim].kill()
                self.readers[victim] = self._reader(_READERS + victim)
            number += 1

    def _race(self, turn: int) -> list[_Told]:
        # Held for a moment, appends come after everybody's check.
        self._fail(faults.Kind.DELAY, calls=_OPERATORS, seconds=1)
        self._fail(faults.Kind.DROP_AFTER, calls=4)
        self._fail(faults.Kind.DROP_BEFORE, calls=1)
        with concurrent.futures.ThreadPoolExecutor(_OPERATORS) as pool:
            told = [
                pool.submit(self._publish, operator, turn)
                for operator in range(_OPERATORS)
            ]
            self._disturb(turn, told)
        self._order('faults', faults.FaultOrder(clear=True, outage=False))
        self._observe()
        return [future.result() for future in told]

    def _observe(self) -> None:
        while self.observer.poll().revision < self.observer.end:
            """Fold on until the end."""

    def test_races(self) -> None:
        """What operators were told is so, everywhere, and stays so."""
        told = self._race(0)
        self._expire()
        told += self._race(1)
        last = publisher.Publisher(self.service).publish(
            folder.Sections.from_values(
                {'team last': {'key_sha256': 'ab' * 32}},
                'last.ini',
            ),
            (),
            operator='last',
            message='after all',
        )
        self._observe()
        self._check_told(told)
        self._check_readers(last.revision)

    def _expire(self) -> None:
        """Let all records expire that a snapshot covers."""
        for reader in self.readers:
            reader.wait_for(f'state {self.observer.current.revision} ')
        fresh = self._reader(2 * _READERS)
        fresh.wait_for('state ')
        body = {
            'stream': records.STREAM,
            'oldest': self._snapshot_revision(),
        }
        self._order('retention', body)
        self.readers.append(self._reader(2 * _READERS + 1))

    def _snapshot_revision(self) -> int:
        page = self.service.read(records.SNAPSHOT_STREAM, 0)
        self.assertTrue(page.records)
        payloads = [record.payload for record in page.records]
        return max(
            msgspec.json.decode(payload)['state']['revision']
            for payload in payloads
        )

    def _check_told(self, told: list[_Told]) -> None:
        by_id = {}
        by_revision = {}
        for result in self.results:
            by_revision[result.state.revision] = result
            if result.publication is not None:
                by_id.setdefault(result.publication.id, result)
        for one in told:
            if one.code == exits.OK:
                accepted = msgspec.json.decode(one.out)
                result = by_id[accepted['id']]
                self.assertTrue(result.accepted, one)
                self.assertEqual(accepted['revision'], result.state.revision)
            elif one.code == exits.REJECTED:
                lost_to = _LOST_TO.search(one.err)
                self.assertIsNotNone(lost_to, one)
                section, revision = lost_to.groups()
                winner = by_revision[int(revision)]
                self.assertTrue(winner.accepted, one)
                self.assertIn(section, winner.publication.touched_sections())
                self.assertIn(winner.publication.operator, one.err)
            else:
                self.assertEqual(exits.UNAVAILABLE, one.code, one.err)
        codes = [one.code for one in told]
        self.assertIn(exits.OK, codes)
        self.assertIn(exits.REJECTED, codes)
        # Nobody was told of a rejection of what is in force, or the reverse:
        # the counts agree but for those who were told "unknown".
        vague = [one for one in told if one.code == exits.UNAVAILABLE]
        accepted = sum(result.accepted for result in self.results) - 1
        self.assertTrue(
            codes.count(exits.OK)
            <= accepted
            <= codes.count(exits.OK) + len(vague),
        )
        for one in vague:
            unknown = _UNKNOWN.search(one.err)
            self.assertTrue(unknown or '(step ' in one.err, one)

    def _check_readers(self, last: int) -> None:
        states = {
            result.state.revision: configuration_reader.digest(result.state)
            for result in self.results
        }
        for reader in self.readers:
            try:
                reader.wait_for(f'state {last} {states[last]}')
            except TimeoutError:
                self.fail(reader.log.read_text()[-3000:])
        logs = sorted(self.where.glob('reader-*.log'))
        self.assertLess(len(self.readers), len(logs))
        for path in logs:
            seen = _STATE.findall(path.read_text())
            revisions = [int(revision) for revision, _ in seen]
            self.assertEqual(sorted(set(revisions)), revisions, path)
            for revision, digest in seen:
                self.assertEqual(states[int(revision)], digest, path)
