"""HTTP handlers of the directory of entries and of the readiness probe."""

from __future__ import annotations

import asyncio
import typing

import msgspec

if typing.TYPE_CHECKING:
    from clementinepass.direct import directory
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
                self._resolve(entry_directory, reply)
            elif request.path == _READY:
                reply.send(
                    _OK if entry_directory.is_ready else _UNAVAILABLE, [], b''
                )
            else:
                reply.send(_NOT_FOUND, [], b'')

        return answer

    def _resolve(
        self, entry_directory: directory.EntryDirectory, reply: replies.Reply
    ) -> None:
        now = asyncio.get_running_loop().time()
        addresses = entry_directory.listed_addresses(now)[:_MAX_ADDRESSES]
        resolved = _Resolved(addresses, entry_directory.list_ttl_seconds(now))
        reply.send(_OK, _JSON, msgspec.json.encode(resolved))
