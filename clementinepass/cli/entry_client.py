"""HTTP client with which commands query an entry."""

from __future__ import annotations

import typing

import msgspec
import urllib3

from clementinepass import errors

_TIMEOUT_SECONDS = 10
_OK_STATUS = 200


class AgentState(msgspec.Struct, frozen=True):
    """The state that an agent reported last."""

    phase: str
    kind: str
    serves: str
    version: str
    running: int
    capacity: int
    revision: int
    wanted: str
    chunks_held: int
    chunks_wanted: int
    trouble: str
    bytes_origin: int
    bytes_peers: int
    #: Missing in the answers of entries of older releases.
    bytes_store: int = 0


class Agent(msgspec.Struct, frozen=True):
    """One agent in the view of the queried entry."""

    id: str
    address: str
    region: str
    failure_domain: str
    liveness: str
    state: AgentState | None


class Entry(msgspec.Struct, frozen=True):
    """One entry in the view of the queried entry."""

    id: str
    address: str
    region: str
    failure_domain: str
    state: str
    callers_address: str


class Status(msgspec.Struct, frozen=True):
    """The view that an entry has of the whole system."""

    entry: str
    revision: int
    leaving: bool
    in_progress: int
    entries: tuple[Entry, ...]
    agents: tuple[Agent, ...]


class OfferedEntry(msgspec.Struct, frozen=True):
    """An entry that a caller may use."""

    address: str
    failure_domain: str
    region: str


class OfferedList(msgspec.Struct, frozen=True):
    """The entries that a caller may use, the best first."""

    entries: tuple[OfferedEntry, ...]
    #: Seconds for which callers may cache the list.
    max_age: float


_Document = typing.TypeVar('_Document', bound=msgspec.Struct)


class EntryClient:
    """Client of one entry.

    :param address: the address of the entry for callers, ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._http = urllib3.PoolManager(
            retries=False, timeout=_TIMEOUT_SECONDS
        )

    def status(self) -> Status:
        """Return the view that the entry has of the system."""
        return self._get('/v1/status', Status)

    def offered_entries(self) -> OfferedList:
        """Return the entries that callers should use, the best first."""
        return self._get('/v1/entries', OfferedList)

    def post(
        self,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        """Post a request and return the answer without reading its body.

        :raises PeerUnavailableError: the entry did not answer.
        """
        try:
            return self._http.request(
                'POST',
                f'http://{self._address}{path}',
                body=body,
                headers={'Content-Type': 'application/json', **headers},
                preload_content=False,
                timeout=urllib3.Timeout(connect=_TIMEOUT_SECONDS, read=None),
            )
        except urllib3.exceptions.HTTPError as error:
            raise self._unavailable(path, error) from error

    def _get(self, path: str, document_type: type[_Document]) -> _Document:
        try:
            answer = self._http.request('GET', f'http://{self._address}{path}')
        except urllib3.exceptions.HTTPError as error:
            raise self._unavailable(path, error) from error
        if answer.status != _OK_STATUS:
            raise errors.PeerUnavailableError(
                f'status {answer.status}',
                step=path,
                peer=self._address,
            )
        try:
            return msgspec.json.decode(answer.data, type=document_type)
        except msgspec.MsgspecError as error:
            raise errors.MalformedMessageError(
                str(error),
                step=path,
                peer=self._address,
            ) from error

    def _unavailable(
        self,
        path: str,
        error: Exception,
    ) -> errors.PeerUnavailableError:
        return errors.PeerUnavailableError(
            str(error),
            step=path,
            peer=self._address,
        )
