"""Serve records of the store to peers that have read less of it."""

from __future__ import annotations

import asyncio
import typing

from clementinepass.direct import catching_up, record_compression, records
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import follower, topic_state
    from clementinepass.http import messages, replies

_OK = 200
#: Responses cached per topic: peers that send requests at the same moment
#: start from a few different offsets, most of them from 0.
_MAX_CACHED_RESPONSES = 4


class _CacheKey(typing.NamedTuple):
    """The request that a response is for, and the state it was made from."""

    topic: records.Topic
    offset: int
    encoding: bytes
    base_offset: int | None
    revision: int
    next_offset: int

    def is_current(self, newest: _CacheKey) -> bool:
        """Return whether the topic's state is still that of a newer key."""
        state = self.revision, self.next_offset
        return state == (newest.revision, newest.next_offset)


class RecordServer:
    """Serves the followers' records from an offset on.

    Responses are cached.  When 300 processes start together and request a
    snapshot of 3,000 endpoints, encoding and compressing it takes longer than
    sending it.  Done for each of them, the last responses would come after
    their requests had timed out and been sent again.
    """

    __slots__ = ('_responses_by_key', '_followers')

    def __init__(
        self,
        followers: dict[records.Topic, follower.Follower],
    ) -> None:
        self._followers = followers
        self._responses_by_key: dict[_CacheKey, bytes] = {}

    def handles(self, request: messages.Request) -> bool:
        """Return whether a request is for records."""
        return self._topic(request) is not None

    def handle(self, request: messages.Request, reply: replies.Reply) -> None:
        """Send the records of a topic from an offset on.

        They are compressed if the peer accepts it: a few entries send each
        configuration to all entries of a region. Uncompressed, the
        configurations would saturate the links of those few.
        """
        topic = self._topic(request)
        if topic is None:
            raise KeyError(request.path)
        offset = int(request.target.partition(b'?')[2] or b'0')
        topic_follower = self._followers[topic]
        encoding = _choose_encoding(request.headers)
        base_offset = None
        if encoding == record_compression.ZSTD:
            base_offset = _known_base(request.headers, topic_follower.state)
        body = self._response(topic_follower, offset, encoding, base_offset)
        pairs = []
        if encoding:
            pairs.append((b'Content-Encoding', encoding))
        if base_offset is not None:
            pairs.append((record_compression.BASE_HEADER, b'%d' % base_offset))
        reply.send(_OK, pairs, body)

    def _topic(self, request: messages.Request) -> records.Topic | None:
        for topic in self._followers:
            if request.path == catching_up.PATH_PREFIX + topic.value.encode():
                return topic
        return None

    def _response(
        self,
        topic_follower: follower.Follower,
        offset: int,
        encoding: bytes,
        base_offset: int | None,
    ) -> bytes:
        state = topic_follower.state
        base = b'' if base_offset is None else state.base(base_offset)
        age = topic_follower.outage_age(asyncio.get_running_loop().time())
        if age is not None:
            # Not cached: the age of the outage changes all the time.
            page = state.since(offset)._replace(outage_age=age)
            return _encode(page, encoding, base)
        key = _CacheKey(
            topic_follower.topic,
            offset,
            encoding,
            base_offset,
            state.revision,
            state.next_offset,
        )
        response = self._responses_by_key.get(key)
        if response is None:
            response = _encode(state.since(offset), encoding, base)
            self._cache_response(key, response)
        return response

    def _cache_response(self, key: _CacheKey, response: bytes) -> None:
        """Cache a response; evict outdated ones, and the oldest."""
        topic_keys = [
            cached
            for cached in self._responses_by_key
            if cached.topic is key.topic
        ]
        current = [cached for cached in topic_keys if cached.is_current(key)]
        for cached in topic_keys:
            if cached not in current[1 - _MAX_CACHED_RESPONSES :]:
                del self._responses_by_key[cached]
        self._responses_by_key[key] = response


def _choose_encoding(headers: messages.Headers) -> bytes:
    """Return the best encoding that a peer accepts; empty for none."""
    accepted = headers.tokens(b'accept-encoding')
    for encoding in (record_compression.ZSTD, record_compression.DEFLATE):
        if encoding in accepted:
            return encoding
    return b''


def _known_base(
    headers: messages.Headers, state: topic_state.TopicState
) -> int | None:
    """Return the offset of the peer's base if it is known here."""
    offset = record_compression.base_offset(headers)
    return offset if offset is not None and state.base(offset) else None


def _encode(page: records.Page, encoding: bytes, base: bytes) -> bytes:
    body = wire_heartbeats.write_records(page)
    if encoding == record_compression.ZSTD:
        return record_compression.compress(body, base)
    if encoding == record_compression.DEFLATE:
        return record_compression.deflate(body)
    return body
