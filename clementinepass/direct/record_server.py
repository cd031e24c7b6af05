"""Serve records of the store to peers that have read less of it."""

from __future__ import annotations

import asyncio
import typing
import zlib

from clementinepass.direct import catching_up, records
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import follower
    from clementinepass.http import messages, replies

#: The zlib level that takes the least time.
_FASTEST_COMPRESSION = 1
_OK = 200
#: Responses cached per topic: peers that send requests at the same moment
#: start from a few different offsets, most of them from 0.
_MAX_CACHED_RESPONSES = 4


class _CacheKey(typing.NamedTuple):
    """The request that a response is for, and the state it was made from."""

    topic: records.Topic
    offset: int
    revision: int
    next_offset: int

    def is_current(self, newest: _CacheKey) -> bool:
        """Return whether the topic's state is still that of a newer key."""
        state = self.revision, self.next_offset
        return state == (newest.revision, newest.next_offset)


class _Response(typing.NamedTuple):
    """Encoded records from an offset on."""

    body: bytes
    compressed: bytes


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
        self._responses_by_key: dict[_CacheKey, _Response] = {}

    def handles(self, request: messages.Request) -> bool:
        """Return whether a request is for records."""
        return self._topic(request) is not None

    def handle(self, request: messages.Request, reply: replies.Reply) -> None:
        """Send the records of a topic from an offset on.

        They are compressed if the peer accepts it: a few entries send each
        configuration, some 50 KB, to all entries of a region. Uncompressed,
        the configurations would saturate the links of those few.
        """
        topic = self._topic(request)
        if topic is None:
            raise KeyError(request.path)
        offset = int(request.target.partition(b'?')[2] or b'0')
        response = self._response(self._followers[topic], offset)
        if b'deflate' in request.headers.tokens(b'accept-encoding'):
            pairs = [(b'Content-Encoding', b'deflate')]
            reply.send(_OK, pairs, response.compressed)
        else:
            reply.send(_OK, [], response.body)

    def _topic(self, request: messages.Request) -> records.Topic | None:
        for topic in self._followers:
            if request.path == catching_up.PATH_PREFIX + topic.value.encode():
                return topic
        return None

    def _response(
        self, topic_follower: follower.Follower, offset: int
    ) -> _Response:
        age = topic_follower.outage_age(asyncio.get_running_loop().time())
        if age is not None:
            # Not cached: the age of the outage changes all the time.
            return _encode(
                topic_follower.state.since(offset)._replace(outage_age=age)
            )
        key = _CacheKey(
            topic_follower.topic,
            offset,
            topic_follower.state.revision,
            topic_follower.state.next_offset,
        )
        response = self._responses_by_key.get(key)
        if response is None:
            response = _encode(topic_follower.state.since(offset))
            self._cache_response(key, response)
        return response

    def _cache_response(self, key: _CacheKey, response: _Response) -> None:
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


def _encode(page: records.Page) -> _Response:
    body = wire_heartbeats.write_records(page)
    return _Response(body, zlib.compress(body, _FASTEST_COMPRESSION))
