"""The users' store of records: topics whose newest record of each key stays.

Only what the system uses: appending to and reading from keyed topics of one
part, long reads, and the newest record of each key.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import typing
import urllib.parse

import msgspec

from clementinepass.http import front, replies

if typing.TYPE_CHECKING:
    from clementinepass.http import messages

HOST = '127.0.0.1'
_OK = 200
_GONE = 410
_UNAVAILABLE = 503
_MS = 1000
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8


class _Topic:
    """The records of one topic."""

    def __init__(self) -> None:
        #: Key and value of each record; ``None`` for a removal.
        self.records: list[tuple[bytes, bytes | None]] = []
        #: The first offset that is still kept.
        self.first = 0
        self.changed = asyncio.Event()

    def add(self, key: bytes, payload: bytes | None) -> int:
        """Add a record and return its offset."""
        self.records.append((key, payload))
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()
        return len(self.records) - 1


class KeyedStore:
    """The store, with an operator's hand and faults."""

    def __init__(self) -> None:
        self._topics: dict[str, _Topic] = {}
        self._front = front.Front(self._handle)
        self.address = ''
        #: Whether each call is refused.
        self.down = False
        self._silenced = asyncio.Event()
        #: Calls that came, and those for the newest records by topic.
        self.calls = 0
        #: Records that reads were answered with, by topic.
        self.handed_out_by_topic: collections.Counter[str] = (
            collections.Counter()
        )
        self.newest_by_topic: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> typing.Self:
        """Listen on a port of its own."""
        self.address = f'{HOST}:{await self._front.listen(HOST, 0)}'
        return self

    async def __aexit__(self, *raised: object) -> None:
        """Stop listening."""
        await self._front.close()

    def put(self, topic: str, key: str, payload: typing.Any) -> None:
        """Write a record; ``None`` removes its key."""
        encoded = None if payload is None else msgspec.json.encode(payload)
        self._topic(topic).add(key.encode(), encoded)

    def put_raw(self, topic: str, key: bytes, payload: bytes) -> None:
        """Write a record as any writer may, of any bytes."""
        self._topic(topic).add(key, payload)

    def forget(self, topic: str) -> None:
        """Drop the history of a topic."""
        known = self._topic(topic)
        known.first = len(known.records)
        known.changed.set()

    def silence(self) -> None:
        """Leave the reads that are open without an answer, for good.

        Their connections stay, and new reads are answered.
        """
        silenced = self._silenced
        self._silenced = asyncio.Event()
        silenced.set()

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        self.calls += 1
        if self.down:
            reply.send(_UNAVAILABLE, [], b'')
            return
        path, _, text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        topic = self._topic(query['topic'])
        if path.endswith('log-append'):
            self._append(topic, request.body, reply)
        elif path.endswith('log-newest'):
            self.newest_by_topic[query['topic']] += 1
            self._newest(topic, reply)
        else:
            await self._read(topic, query, reply)

    def _append(
        self,
        topic: _Topic,
        body: bytes,
        reply: replies.Reply,
    ) -> None:
        whole = body[_LENGTH_BYTES:]
        end = 1 + whole[0]
        offset = topic.add(whole[1:end], whole[end:] or None)
        reply.send(_OK, [], msgspec.json.encode({'offset': offset}))

    def _newest(self, topic: _Topic, reply: replies.Reply) -> None:
        newest = {
            key: (offset, payload)
            for offset, (key, payload) in enumerate(topic.records)
        }
        entries = [
            {
                'key': key.decode(errors='replace'),
                'offset': offset,
                'value': base64.b64encode(payload).decode(),
            }
            for key, (offset, payload) in newest.items()
            if payload is not None
        ]
        answer = {'entries': entries, 'endOffset': len(topic.records)}
        reply.send(_OK, [], msgspec.json.encode(answer))

    async def _read(
        self,
        topic: _Topic,
        query: dict[str, str],
        reply: replies.Reply,
    ) -> None:
        offset = int(query['from'])
        if len(topic.records) <= offset:
            wait = int(query.get('waitMs', '0')) / _MS
            silenced = self._silenced
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await topic.changed.wait()
            if silenced.is_set():
                await asyncio.Event().wait()
        if offset < topic.first:
            reply.send(_GONE, [], b'{}')
            return
        parts = [
            len(topic.records).to_bytes(_OFFSET_BYTES, 'big'),
            topic.first.to_bytes(_OFFSET_BYTES, 'big'),
        ]
        handed_out = topic.records[offset:]
        self.handed_out_by_topic[query['topic']] += len(handed_out)
        for key, payload in handed_out:
            whole = bytes((len(key),)) + key + (payload or b'')
            parts.append(len(whole).to_bytes(_LENGTH_BYTES, 'big') + whole)
        reply.send(_OK, [], b''.join(parts))
