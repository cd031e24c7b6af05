"""A whole trial system of real processes on loopback."""

from __future__ import annotations

import contextlib
import dataclasses
import functools
import hashlib
import pathlib
import shutil
import tempfile
import time
import typing

import msgspec
import urllib3

from clementinepass.configuration import folder, publisher
from clementinepass.platform import log_service, protocols
from clementinepass.weights import manifest as manifests
from standins import processes

_LOOPBACK = '127.0.0.1:0'
_DOMAINS = ('east', 'west', 'north')
_REGION = 'lowland'
_CHUNK = 64 * 1024
_POLL = 0.05
#: Name of the model and of the plain service of a trial system.
MODEL = 'faults'
SERVICE = 'dispatches'
#: Name and key of the team of a trial system.
TEAM = 'habimana'
KEY = 'level-crossing-key'


@dataclasses.dataclass(slots=True, kw_only=True)
class Shape:
    """How many processes a trial system has, and how they are set."""

    entries: int = 2
    engines: int = 3
    services: int = 1
    #: Attempts in flight that each agent's gate admits.
    capacity: int = 16
    queue: int = 0
    concurrency: int = 64
    streams: int = 200
    threads: int = 220
    max_age: str = '1s'
    list_lag: float = 0
    drain_grace: str = '25s'
    engine_arguments: tuple[str, ...] = ()
    service_arguments: tuple[str, ...] = ()
    #: Further sections of settings files, such as ``[peers]``.
    extra_settings: str = ''


class Answer(typing.NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes


class System:
    """Start, use and stop a trial system.

    :param folder: where settings and logs go; kept when given.
    """

    def __init__(
        self,
        shape: Shape | None = None,
        folder: pathlib.Path | None = None,
    ) -> None:
        self.shape = shape or Shape()
        self._own_folder = folder is None
        self.folder = folder or pathlib.Path(
            tempfile.mkdtemp(prefix='clementinepass-'),
        )
        self.folder.mkdir(parents=True, exist_ok=True)
        #: All processes by name.
        self.by_name: dict[str, processes.Process] = {}
        #: Addresses of platform and endpoints by name of the process.
        self.addresses: dict[str, str] = {}
        #: Addresses for callers by name of the entry.
        self.callers: dict[str, str] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self._serves_by_agent: dict[str, str] = {}

    def __enter__(self) -> typing.Self:
        """Start everything."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop everything."""
        self.stop()
        if self._own_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def entries(self) -> list[str]:
        """Return the names of the entries."""
        return sorted(self.callers)

    def start(self) -> None:
        """Start platform, endpoints, agents and entries."""
        self.start_platform()
        engines = [f'engine-{number}' for number in range(self.shape.engines)]
        services = [
            f'service-{number}' for number in range(self.shape.services)
        ]
        for name in engines:
            self.start_endpoint(name)
        for name in services:
            self.start_endpoint(name)
        for index, name in enumerate((*engines, *services)):
            self.start_agent(f'agent-{index}', name, index)
        for index in range(self.shape.entries):
            self.start_entry(f'entry-{index}', index)
        self.await_listening()

    def start_platform(self) -> None:
        """Start the platform's stand-ins and wait until they listen."""
        self.run('log', 'standins.log_service')
        self.run(
            'list',
            'standins.instance_list',
            '--lag',
            str(self.shape.list_lag),
        )
        self.run('store', 'standins.weight_store')
        self.run('origin', 'standins.origin')
        for name in ('log', 'list', 'store', 'origin'):
            self._learn_address(name)

    def start_endpoint(self, name: str) -> None:
        """Start an engine or a service and wait until it listens."""
        kind = name.partition('-')[0]
        arguments = (
            self.shape.engine_arguments
            if kind == 'engine'
            else self.shape.service_arguments
        )
        port = self.addresses.get(name, _LOOPBACK)
        self.run(name, f'standins.{kind}', '--listen', port, *arguments)
        self._learn_address(name)

    def start_agent(self, name: str, endpoint: str, index: int) -> None:
        """Start the agent before an endpoint."""
        kind = endpoint.partition('-')[0]
        serves = MODEL if kind == 'engine' else SERVICE
        self._serves_by_agent[name] = serves
        self._start_daemon(
            name,
            index,
            role='agent',
            section=(
                f'[endpoint]\nkind = {kind}\n'
                f'address = {self.addresses[endpoint]}\n'
                f'serves = {serves}\ncapacity = {self.shape.capacity}\n'
                f'queue = {self.shape.queue}\n'
            ),
        )

    def start_entry(self, name: str, index: int) -> None:
        """Start an entry."""
        shape = self.shape
        listen = self.callers.get(name, _LOOPBACK)
        self._start_daemon(
            name,
            index,
            role='entry',
            section=(
                f'[callers]\nlisten = {listen}\nthreads = {shape.threads}\n'
                f'streams = {shape.streams}\nmax_age = {shape.max_age}\n'
            ),
        )

    def await_listening(self) -> None:
        """Wait for all daemons and put them into the instance list."""
        for name, process in self.by_name.items():
            if name.startswith(('agent-', 'entry-')):
                self.enlist(name, process.listening())

    def enlist(
        self,
        name: str,
        listening: typing.Mapping[str, str],
        state: protocols.InstanceState = protocols.InstanceState.LIVE,
    ) -> None:
        """Put a daemon into the instance list."""
        role = protocols.Role(name.partition('-')[0])
        if role is protocols.Role.ENTRY:
            self.callers[name] = listening['callers']
        instance = protocols.Instance(
            id=name,
            role=role,
            address=listening['peers'],
            region=_REGION,
            failure_domain=domain_of(int(name.rpartition('-')[2])),
            state=state,
            callers_address=listening.get('callers', ''),
            serves=self._serves_by_agent.get(name, ''),
        )
        self.put('list', f'/v1/instances/{name}', instance)

    def publish_weights(self, version: str, whole: bytes) -> str:
        """Put weights into store and origin; return the manifest's digest."""
        manifest = manifests.Manifest.from_bytes(version, whole, _CHUNK)
        encoded = manifest.encode()
        digest = hashlib.sha256(encoded).hexdigest()
        self.request('store', 'PUT', f'/v1/manifests/{digest}', encoded)
        for start in range(0, len(whole), _CHUNK):
            chunk = whole[start : start + _CHUNK]
            name = hashlib.sha256(chunk).hexdigest()
            self.request('origin', 'PUT', f'/v1/chunks/{name}', chunk)
        return digest

    def write_configuration(
        self,
        version: str,
        manifest: str,
    ) -> pathlib.Path:
        """Write the operators' folder and return its path."""
        folder = self.folder / 'configuration'
        folder.mkdir(exist_ok=True)
        key = hashlib.sha256(KEY.encode()).hexdigest()
        shares = self.shape.concurrency
        files = {
            '10-teams.ini': f'[team {TEAM}]\nkey_sha256 = {key}\n',
            '20-models.ini': (
                f'[model {MODEL}]\nversion = {version}\n\n'
                f'[version {version}]\nmodel = {MODEL}\n'
                f'manifest = {manifest}\n'
            ),
            '30-services.ini': f'[service {SERVICE}]\nidempotent = no\n',
            '40-promises.ini': (
                f'[promise {TEAM}/{MODEL}]\nconcurrency = {shares}\n'
                'first_token = 870ms\n\n'
                f'[promise {TEAM}/{SERVICE}]\nconcurrency = {shares}\n'
                'first_token = 870ms\n'
            ),
        }
        for name, text in files.items():
            (folder / name).write_text(text)
        return folder

    def publish_configuration(self, folder_path: pathlib.Path) -> int:
        """Publish the operators' folder; return the revision in force."""
        log = log_service.HttpLogService(self.addresses['log'])
        accepted = publisher.Publisher(log).publish(
            folder.read(folder_path),
            (),
            operator='trial',
            message='trial system',
        )
        return accepted.revision

    def bring_into_service(self, version: str, whole: bytes) -> None:
        """Publish weights and configuration; wait until all serve them."""
        manifest = self.publish_weights(version, whole)
        self.publish_configuration(
            self.write_configuration(version, manifest),
        )
        self.await_serving(version)

    def status(self, entry: str = 'entry-0') -> typing.Any:
        """Return an entry's status document."""
        answer = self.call(entry, 'GET', '/v1/status')
        return msgspec.json.decode(answer.body)

    def await_status(
        self,
        holds: typing.Callable[[typing.Any], bool],
        what: str,
        timeout: float = 60,
        entry: str = 'entry-0',
    ) -> typing.Any:
        """Wait until an entry's status fulfils a condition.

        :raises TimeoutError: it never did.
        """
        deadline = time.monotonic() + timeout
        while True:
            status = None
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                status = self.status(entry)
            if status is not None and holds(status):
                return status
            if time.monotonic() > deadline:
                raise TimeoutError(f'{what}: not in {timeout} s; {status}')
            time.sleep(_POLL)

    def await_serving(self, version: str, timeout: float = 60) -> None:
        """Wait until every entry sees all agents serve.

        :param version: the version that the engines must serve.
        """
        count = self.shape.engines + self.shape.services
        holds = functools.partial(_all_serve, version=version, count=count)
        for entry in self.entries:
            self.await_status(
                holds,
                f'{entry}: {version} served everywhere',
                timeout,
                entry,
            )

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: typing.Mapping[str, str] | None = None,
        timeout: float = 60,
    ) -> Answer:
        """Send a caller's request to an entry."""
        answer = self.http.request(
            method,
            f'http://{self.callers[entry]}{path}',
            body=body,
            headers={
                'Authorization': f'Bearer {KEY}',
                'Content-Type': 'application/json',
                **(headers or {}),
            },
            timeout=timeout,
        )
        return Answer(answer.status, answer.headers, answer.data)

    def request(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes | None = None,
    ) -> bytes:
        """Send a request to a stand-in and return the answer's body."""
        answer = self.http.request(
            method,
            f'http://{self.addresses[name]}{path}',
            body=body,
            timeout=30,
        )
        if answer.status >= 300:
            raise RuntimeError(f'{name} {path}: {answer.status}')
        return answer.data

    def put(self, name: str, path: str, document: typing.Any) -> None:
        """Send a JSON document to a stand-in."""
        self.request(name, 'PUT', path, msgspec.json.encode(document))

    def run(self, name: str, module: str, *arguments: str) -> None:
        """Start a process."""
        self.by_name[name] = processes.Process(
            name,
            module,
            arguments,
            self.folder,
        )

    def stop(self) -> None:
        """End every process that was started."""
        for process in self.by_name.values():
            process.stop()

    def _start_daemon(
        self,
        name: str,
        index: int,
        *,
        role: str,
        section: str,
    ) -> None:
        known = self.by_name.get(name)
        listen = known.listening()['peers'] if known else _LOOPBACK
        text = (
            f'[daemon]\nrole = {role}\nid = {name}\nregion = {_REGION}\n'
            f'failure_domain = {domain_of(index)}\nlisten = {listen}\n'
            f'metrics_listen = {_LOOPBACK}\n'
            f'drain_grace = {self.shape.drain_grace}\n\n'
            f'[platform]\nlog = {self.addresses["log"]}\n'
            f'instance_list = {self.addresses["list"]}\n'
            f'weight_store = {self.addresses["store"]}\n'
            f'origin = {self.addresses["origin"]}\n\n'
            f'[logging]\nformat = json\n\n{section}\n'
            f'{self.shape.extra_settings}'
        )
        path = self.folder / f'{name}.ini'
        path.write_text(text)
        self.run(name, 'clementinepass.daemon', str(path))

    def _learn_address(self, name: str) -> None:
        self.addresses[name] = self.by_name[name].listening()['listening']


def domain_of(index: int) -> str:
    """Return the failure domain of the instance with a number."""
    return _DOMAINS[index % len(_DOMAINS)]


def _all_serve(status: typing.Any, version: str, count: int) -> bool:
    states = [
        agent['state']
        for agent in status['agents']
        if agent['state'] and agent['liveness'] == 'attached'
    ]
    serving = [
        state
        for state in states
        if state['phase'] == 'serving'
        and (state['kind'] == 'service' or state['version'] == version)
    ]
    return len(serving) >= count
