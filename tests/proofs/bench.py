"""Callers, and a trial system that judges what they were told."""

from __future__ import annotations

import concurrent.futures
import threading
import time
import typing

import msgspec
import urllib3

from clementinepass.platform import log_service
from standins import processes
from standins import relay
from standins import relays
from standins import system as systems
from standins import tokens
from tests.proofs import history

VERSION = 'v1'
_WEIGHTS = bytes(range(256)) * 400
#: Fast heartbeats, so that a proof need not wait long for silence.
PEERS = '[peers]\nheartbeat = 200ms\nsilence = 800ms\n'
_ERROR_EVENT = b'event: error\ndata: '
_PATIENCE = 60
_POLL = 0.02
#: Seconds in which a record of the log reaches every entry.
_EVIDENCE_WAY = 1.0


class Stream:
    """One streamed completion under way in a thread of its own."""

    def __init__(self, bench: Bench, entry: str, prompt: str, count: int):
        #: Set with the first piece of the answer.
        self.begun = threading.Event()
        self._bench = bench
        self._future = bench.pool.submit(self._read, entry, prompt, count)
        self._future.add_done_callback(lambda _: self.begun.set())

    def told(self) -> history.Told:
        """Wait for the end and return what the caller was told."""
        return self._future.result(timeout=_PATIENCE)

    def _read(self, entry: str, prompt: str, count: int) -> history.Told:
        told = history.Told(prompt, history.Saying.NOTHING, idempotent=True)
        body = b''
        try:
            answer = self._bench.post(
                entry,
                '/v1/completions',
                completion(prompt, count, stream=True),
                {},
                preload=False,
            )
            told.status = answer.status
            told.request_id = answer.headers.get('X-Request-Id', '')
            for piece in answer.stream(256):
                body += piece
                self.begun.set()
        except urllib3.exceptions.HTTPError as error:
            told.detail = repr(error)
            return self._bench.history.add(told)
        if answer.status != 200:
            take_problem(told, body, answer.headers)
        elif _ERROR_EVENT in body:
            told.saying = history.Saying.TRUNCATED
            problem = msgspec.json.decode(body.split(_ERROR_EVENT)[1])
            told.execution = problem['execution']
            told.reason = problem['reason']
        else:
            _verify(told, tokens.verify_stream, body, prompt, count)
        return self._bench.history.add(told)


class Bench:
    """A trial system with callers whose history is judged at the end."""

    def __init__(self, **shape: typing.Any) -> None:
        shape.setdefault('extra_settings', PEERS)
        self.system = systems.System(systems.Shape(**shape))
        self.history = history.History()
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.relays = relays.Relays()
        #: Addresses of relays by the agent behind each.
        self.relay_addresses: dict[str, str] = {}

    def __enter__(self) -> typing.Self:
        """Start everything and wait until it serves."""
        self.relays.__enter__()
        self.system.__enter__()
        try:
            self.system.bring_into_service(VERSION, _WEIGHTS)
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        self.system.__exit__(*_)
        self.relays.__exit__(None, None, None)
        self.pool.shutdown(wait=False, cancel_futures=True)

    def process(self, name: str) -> processes.Process:
        """Return a process of the system."""
        return self.system.by_name[name]

    def put_relays(self, agents: typing.Iterable[str]) -> None:
        """Lead the entries to agents through relays."""
        for name in agents:
            listening = self.process(name).listening()
            address = self.relays.add(
                relays.RelaySpec(name, listening['peers']),
            )
            self.relay_addresses[name] = address
            self.system.enlist(name, {**listening, 'peers': address})
        for entry in self.system.entries:
            self.system.await_status(self._relayed, 'relayed', entry=entry)

    def silence(self) -> None:
        """Let all relayed connections fall silent; new ones work."""
        rules = relay.Rules(
            mode=relay.Mode.SILENCE,
            scope=relay.Scope.ESTABLISHED,
        )
        for name in self.relay_addresses:
            self.relays.follow(name, rules)

    def cut(self) -> None:
        """Break all relayed connections; new ones work."""
        for name in self.relay_addresses:
            self.relays.follow(name, relay.Rules(mode=relay.Mode.CUT))
            self.relays.follow(name, relay.Rules())

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a process where it is for a while."""
        self.process(name).freeze()
        time.sleep(seconds)
        self.process(name).thaw()

    def post(
        self,
        entry: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        *,
        preload: bool = True,
    ) -> urllib3.BaseHTTPResponse:
        """Send a caller's request on a connection of its own."""
        http = urllib3.HTTPConnectionPool(
            *_host_and_port(self.system.callers[entry]),
            retries=False,
            timeout=_PATIENCE,
        )
        return http.urlopen(
            'POST',
            path,
            body=body,
            headers={
                'Authorization': f'Bearer {systems.KEY}',
                'Content-Type': 'application/json',
                **headers,
            },
            preload_content=preload,
        )

    def stream(self, entry: str, prompt: str, count: int) -> Stream:
        """Begin a streamed completion."""
        return Stream(self, entry, prompt, count)

    def streams(self, names: typing.Iterable[str], count: int) -> list[Stream]:
        """Begin streams over all entries; return once all have begun."""
        entries = self.system.entries
        begun = [
            self.stream(entries[index % len(entries)], name, count)
            for index, name in enumerate(names)
        ]
        for one in begun:
            one.begun.wait(_PATIENCE)
        return begun

    def complete(
        self,
        entry: str,
        prompt: str,
        count: int,
        **headers: str,
    ) -> concurrent.futures.Future[history.Told]:
        """Begin a whole completion; header names have underscores."""
        return self.pool.submit(
            self._complete,
            entry,
            prompt,
            count,
            {name.replace('_', '-'): text for name, text in headers.items()},
        )

    def file(
        self,
        entry: str,
        operation: str,
        key: str = '',
    ) -> concurrent.futures.Future[history.Told]:
        """Begin to file a dispatch: a call that must run at most once."""
        return self.pool.submit(self.file_now, entry, operation, key)

    def fault(self, name: str, **fault: typing.Any) -> None:
        """Order a stand-in to show a fault."""
        self.system.request(
            name,
            'POST',
            '/control/faults',
            msgspec.json.encode({'faults': [fault]}),
        )

    def outage(self, name: str, *, outage: bool) -> None:
        """Begin or end an outage of a stand-in."""
        self.system.request(
            name,
            'POST',
            '/control/faults',
            msgspec.json.encode({'outage': outage}),
        )

    def runs(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the runs that the endpoints counted."""
        by_request: dict[str, int] = {}
        by_operation: dict[str, int] = {}
        for name, process in self.system.by_name.items():
            kind = name.partition('-')[0]
            if kind not in {'engine', 'service'} or not process.running:
                continue
            path = '/v1/runs' if kind == 'engine' else '/control/runs'
            answer = msgspec.json.decode(
                self.system.request(name, 'GET', path),
            )
            for request, count in answer['runs'].items():
                by_request[request] = by_request.get(request, 0) + count
            for path, count in answer.get('runs_by_path', {}).items():
                by_operation[path] = by_operation.get(path, 0) + count
        return by_request, by_operation

    def engine_runs(self, number: int) -> int:
        """Return the number of runs that an engine counted."""
        answer = msgspec.json.decode(
            self.system.request(f'engine-{number}', 'GET', '/v1/runs'),
        )
        return sum(answer['runs'].values())

    def await_running(self, count: int) -> None:
        """Wait until so many requests are in progress at the gates."""
        self.system.await_status(
            lambda status: _running(status) == count,
            f'{count} requests running',
        )

    def await_operation(self, operation: str) -> None:
        """Wait until a service has begun to run an operation."""
        self.await_that(lambda: operation in self.runs()[1], operation)

    def await_phase(self, agent: str, phase: str) -> None:
        """Wait until every entry knows an agent's phase."""
        for entry in self.system.entries:
            self.system.await_status(
                lambda status: _phases(status)[agent] == phase,
                f'{agent} {phase}',
                entry=entry,
            )

    def await_unlisted(self, entry: str, *, at: str) -> None:
        """Wait until callers are no longer sent to an entry."""
        self.await_that(
            lambda: not self._lists(at, entry),
            f'{entry} unlisted',
        )

    def await_listed(self, entry: str, *, at: str) -> None:
        """Wait until callers are sent to an entry."""
        self.await_that(lambda: self._lists(at, entry), f'{entry} listed')

    def await_quarantined(self, entry: str, prompt: str) -> history.Told:
        """Wait until an entry refuses a request as quarantined.

        Only ask where no endpoint would run it meanwhile: evidence reaches
        other entries through the log within a second.
        """
        self.await_that(
            lambda: self.evidence_records() >= 2,
            'evidence published',
        )
        time.sleep(_EVIDENCE_WAY)
        return self.complete(entry, prompt, 3).result()

    def evidence_records(self) -> int:
        """Return the number of records of evidence in the log."""
        log = log_service.HttpLogService(self.system.addresses['log'])
        return log.read('quarantine', 0).end

    def start_entry(self, name: str) -> None:
        """Start another entry, without putting it into the list."""
        self.system.start_entry(name, int(name.rpartition('-')[2]))
        listening = self.process(name).listening()
        self.system.callers[name] = listening['callers']

    def restart_entry(self, name: str) -> None:
        """Start a killed entry anew and wait until it serves."""
        self.process(name).wait()
        # A replaced instance has addresses of its own.
        del self.system.by_name[name]
        del self.system.callers[name]
        self.system.start_entry(name, int(name.rpartition('-')[2]))
        self.system.enlist(name, self.process(name).listening())
        count = self.system.shape.engines + self.system.shape.services
        self.system.await_status(
            lambda status: (
                status['revision'] > 0
                and list(_phases(status).values()).count('serving') == count
            ),
            f'{name} serves',
            entry=name,
        )

    def replace_agent(self, index: int) -> None:
        """Tell an agent to leave, and start another for its endpoint."""
        shape = self.system.shape
        engines = [f'engine-{each}' for each in range(shape.engines)]
        services = [f'service-{each}' for each in range(shape.services)]
        name = f'agent-{index}'
        self.process(name).terminate()
        if self.process(name).wait():
            raise RuntimeError(f'{name} failed while it left')
        del self.system.by_name[name]
        endpoint = (engines + services)[index]
        self.system.start_agent(name, endpoint, index)
        self.system.enlist(name, self.process(name).listening())
        for entry in self.system.entries:
            self.system.await_status(
                lambda status: (
                    list(_phases(status).values()).count('serving')
                    == len(engines + services)
                ),
                f'{name} serves again',
                entry=entry,
            )

    def await_that(
        self,
        holds: typing.Callable[[], bool],
        what: str,
    ) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: it never did.
        """
        deadline = time.monotonic() + _PATIENCE
        while not holds():
            if time.monotonic() > deadline:
                raise TimeoutError(what)
            time.sleep(_POLL)

    def traces(self, request_ids: typing.Container[str]) -> str:
        """Return log lines about some requests, and how daemons ended.

        Lines that are no log lines, such as the stack of a crash, are included.
        """
        lines = []
        for name, process in self.system.by_name.items():
            if not name.startswith(('agent-', 'entry-')):
                continue
            if process.exit_code is not None:
                lines.append(f'{name}: ended with code {process.exit_code}')
            lines.extend(
                f'{name}: {line}'
                for line in process.log.read_text().splitlines()
                if _is_about(line, request_ids)
            )
        return '\n'.join(lines)

    def violations(self) -> list[str]:
        """Return how what callers were told contradicts the runs."""
        return self.history.violations(*self.runs())

    def _lists(self, at: str, entry: str) -> bool:
        answer = self.system.call(at, 'GET', '/v1/entries')
        return self.system.callers[entry].encode() in answer.body

    def _relayed(self, status: typing.Any) -> bool:
        states_by_address = {
            agent['address']: agent for agent in status['agents']
        }
        return all(
            address in states_by_address
            and states_by_address[address]['liveness'] == 'attached'
            for address in self.relay_addresses.values()
        )

    def _complete(
        self,
        entry: str,
        prompt: str,
        count: int,
        headers: dict[str, str],
    ) -> history.Told:
        idempotent = headers.get('Clementinepass-Idempotent', 'yes') == 'yes'
        told = history.Told(prompt, history.Saying.NOTHING, idempotent)
        body = completion(prompt, count, stream=False)
        try:
            answer = self.post(entry, '/v1/completions', body, headers)
        except urllib3.exceptions.HTTPError as error:
            told.detail = repr(error)
            return self.history.add(told)
        told.status = answer.status
        told.request_id = answer.headers.get('X-Request-Id', '')
        if answer.status == 200:
            _verify(told, tokens.verify_whole, answer.data, prompt, count)
        else:
            take_problem(told, answer.data, answer.headers)
        return self.history.add(told)

    def file_now(
        self,
        entry: str,
        operation: str,
        key: str,
    ) -> history.Told:
        """File a dispatch and wait for what is told."""
        headers = {'Idempotency-Key': key} if key else {}
        told = history.Told(operation, history.Saying.NOTHING, False)
        path = f'/v1/services/{systems.SERVICE}{operation}'
        try:
            answer = self.post(entry, path, operation.encode(), headers)
        except urllib3.exceptions.HTTPError as error:
            told.detail = repr(error)
            return self.history.add(told)
        told.status = answer.status
        told.request_id = answer.headers.get('X-Request-Id', '')
        if answer.status != 200:
            take_problem(told, answer.data, answer.headers)
        elif msgspec.json.decode(answer.data)['path'] == operation:
            told.saying = history.Saying.WHOLE
        else:
            told.saying = history.Saying.WRONG
            told.detail = repr(answer.data)
        return self.history.add(told)


def _running(status: typing.Any) -> int:
    return sum(
        agent['state']['running']
        for agent in status['agents']
        if agent['state']
    )


def _phases(status: typing.Any) -> dict[str, str]:
    return {
        agent['id']: agent['state']['phase']
        for agent in status['agents']
        if agent['state']
    }


def completion(prompt: str, count: int, *, stream: bool) -> bytes:
    """Return the body of a completion."""
    return msgspec.json.encode(
        {
            'model': systems.MODEL,
            'prompt': prompt,
            'max_tokens': count,
            'stream': stream,
        },
    )


def take_problem(
    told: history.Told,
    body: bytes,
    headers: typing.Mapping[str, str],
) -> None:
    """Note what a problem says."""
    told.saying = history.Saying.PROBLEM
    problem = msgspec.json.decode(body)
    told.execution = problem['execution']
    told.reason = problem['reason']
    told.request_id = problem['request_id']
    told.retry_after = headers.get('Retry-After', '')
    told.detail = problem.get('detail', '')


def _verify(
    told: history.Told,
    verify: typing.Callable[[bytes, str, int], str],
    body: bytes,
    prompt: str,
    count: int,
) -> None:
    try:
        told.version = verify(body, prompt, count)
    except (ValueError, msgspec.MsgspecError) as error:
        told.saying = history.Saying.WRONG
        told.detail = f'{error}: {body[-200:]!r}'
    else:
        told.saying = history.Saying.WHOLE


def _is_about(line: str, request_ids: typing.Container[str]) -> bool:
    try:
        entry = msgspec.json.decode(line)
    except msgspec.MsgspecError:
        return True
    return entry.get('request_id', '') in request_ids


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
