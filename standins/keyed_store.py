"""The users' store of records: topics whose newest record of each key stays.

Only what the system uses: appending to and reading from keyed topics of one
part, long reads, and the newest record of each key. In a drill the store is put
back to a copy; all answers tell its era, which then rises by one.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import math
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
_TOO_MANY_REQUESTS = 429
_MS = 1000
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_ERA_HEADER = b'Store-Era'
#: Most records in a page of the newest ones.
_MAX_NEWEST = 500


#: Key and value of each record; ``None`` for a removal.
_Records = list[tuple[bytes, bytes | None]]


class _Topic:
    """The records of one topic."""

    def __init__(self) -> None:
        self.records: _Records = []
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
        #: Calls that are answered in a second; more are rejected.
        self.max_calls_per_second = math.inf
        self.rejected_calls = 0
        #: Seconds that the newest records of a topic take.
        self.newest_delay_by_topic: dict[str, float] = {}
        #: Bytes of records in a second that a read is answered with.
        self.bytes_per_second = math.inf
        self._calls_by_second: collections.Counter[int] = collections.Counter()
        #: How often the store was put back to a copy, counted from 1.
        self.era = 1
        self._copied_records_by_topic: dict[str, _Records] = {}
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

    def make_copy(self) -> None:
        """Copy all records, to be put back later."""
        self._copied_records_by_topic = {
            name: list(topic.records) for name, topic in self._topics.items()
        }

    def restore_copy(self) -> None:
        """Come back from the copy: what was written since is lost.

        Reads that are open stay so until there is a record for them.
        """
        for name, topic in self._topics.items():
            topic.records = list(self._copied_records_by_topic.get(name, ()))
        self.era += 1
        self.down = False

    def put_copy(self, topic: str, records: _Records) -> None:
        """Replace a topic of the copy."""
        self._copied_records_by_topic[topic] = records

    def drop_from_copy(self, topic: str, key: str) -> None:
        """Drop the records of a key from the copy."""
        self._copied_records_by_topic[topic] = [
            record
            for record in self._copied_records_by_topic[topic]
            if record[0] != key.encode()
        ]

    def keys(self, topic: str) -> set[bytes]:
        """Return the keys of a topic that are not removed."""
        newest = dict(self._topic(topic).records)
        return {key for key, payload in newest.items() if payload is not None}

    def _send(self, reply: replies.Reply, status: int, body: bytes) -> None:
        reply.send(status, [(_ERA_HEADER, b'%d' % self.era)], body)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        self.calls += 1
        second = int(asyncio.get_running_loop().time())
        self._calls_by_second[second] += 1
        if self._calls_by_second[second] > self.max_calls_per_second:
            self.rejected_calls += 1
            self._send(reply, _TOO_MANY_REQUESTS, b'')
            return
        if self.down:
            self._send(reply, _UNAVAILABLE, b'')
            return
        path, _, text = request.target.decode().partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        topic = self._topic(query['topic'])
        if path.endswith('log-append'):
            self._append(topic, request.body, reply)
        elif path.endswith('log-newest'):
            self.newest_by_topic[query['topic']] += 1
            await asyncio.sleep(
                self.newest_delay_by_topic.get(query['topic'], 0)
            )
            self._newest(topic, query.get('after', ''), reply)
        else:
            await self._read(topic, query, reply)

    def _append(
        self,
        topic: _Topic,
        body: bytes,
        reply: replies.Reply,
    ) -> None:
        first_offset = len(topic.records)
        position = 0
        while position < len(body):
            start = position + _LENGTH_BYTES
            length = int.from_bytes(body[position:start], 'big')
            position = start + length
            whole = body[start:position]
            end = 1 + whole[0]
            topic.add(whole[1:end], whole[end:] or None)
        answer = {'offset': first_offset, 'endOffset': len(topic.records)}
        self._send(reply, _OK, msgspec.json.encode(answer))

    def _newest(self, topic: _Topic, after: str, reply: replies.Reply) -> None:
        newest = {
            key: (offset, payload)
            for offset, (key, payload) in enumerate(topic.records)
        }
        entries = [
            {
                'key': key.decode(errors='surrogateescape'),
                'offset': offset,
                'value': base64.b64encode(payload).decode(),
            }
            for key, (offset, payload) in sorted(newest.items())
            if payload is not None and key > after.encode()
        ]
        page = entries[:_MAX_NEWEST]
        answer = {
            'entries': page,
            'endOffset': len(topic.records),
            'hasMore': len(entries) > len(page),
        }
        # Unlike msgspec, it encodes the lone surrogates of odd keys.
        self._send(reply, _OK, json.dumps(answer).encode())

    async def _read(
        self,
        topic: _Topic,
        query: dict[str, str],
        reply: replies.Reply,
    ) -> None:
        offset = int(query['from'])
        if len(topic.records) == offset:
            wait = int(query.get('waitMs', '0')) / _MS
            silenced = self._silenced
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await topic.changed.wait()
            if silenced.is_set():
                await asyncio.Event().wait()
        if not topic.first <= offset <= len(topic.records):
            gone = {'firstOffset': topic.first}
            self._send(reply, _GONE, msgspec.json.encode(gone))
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
        body = b''.join(parts)
        await asyncio.sleep(len(body) / self.bytes_per_second)
        self._send(reply, _OK, body)
