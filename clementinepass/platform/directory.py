"""HTTP handlers of the directory of entries and of the readiness probe."""

from __future__ import annotations

import asyncio
import typing
import urllib.parse

import msgspec

from clementinepass.direct import directory

if typing.TYPE_CHECKING:
    from clementinepass.http import connection, messages, replies

_RESOLVE = b'/api/resolve'
_READY = b'/api/readyz'
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = [(b'Content-Type', b'application/json')]
#: Maximum number of addresses in one answer; callers accept no more.
_MAX_ADDRESSES = 64


class _Resolved(msgspec.Struct, rename='camel'):
    """Addresses of entries for callers, and how long to cache the list."""

    addresses: list[str]
    ttl_s: float = msgspec.field(name='ttlS')


class HttpDirectory:
    """Serve the directory of entries and the readiness probe over HTTP."""

    __slots__ = ()

    def create_handler(
        self, entry_directory: directory.EntryDirectory
    ) -> connection.Handler:
        """Return a handler that answers from ``entry_directory``."""

        async def answer(  # noqa: WPS430
            request: messages.Request,
            reply: replies.Reply,
        ) -> None:
            if request.path == _RESOLVE:
                self._resolve(entry_directory, request, reply)
            elif request.path == _READY:
                reply.send(
                    _OK if entry_directory.is_ready else _UNAVAILABLE, [], b''
                )
            else:
                reply.send(_NOT_FOUND, [], b'')

        return answer

    def _resolve(
        self,
        entry_directory: directory.EntryDirectory,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        now = asyncio.get_running_loop().time()
        addresses = entry_directory.listed_addresses(now, _query(request))
        resolved = _Resolved(
            addresses[:_MAX_ADDRESSES], entry_directory.list_ttl_seconds(now)
        )
        reply.send(_OK, _JSON, msgspec.json.encode(resolved))


def _query(request: messages.Request) -> directory.Query:
    query = request.target.partition(b'?')[2].decode('latin-1')
    fields = dict(urllib.parse.parse_qsl(query))
    return directory.Query(
        fields.get('name', '').encode('latin-1', 'replace'),
        fields.get('region', ''),
    )
