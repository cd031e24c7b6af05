"""Serve records of the store to peers that know less of them."""

from __future__ import annotations

import asyncio
import typing
import zlib

from clementinepass.direct import catching_up, records
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import follower
    from clementinepass.http import messages, replies

#: Level of compression that costs least time.
_FASTEST_COMPRESSION = 1
_OK = 200
#: Answers kept by topic: those that ask at the same moment know one of a few
#: offsets, mostly nothing.
_MAX_CACHED_RESPONSES = 4


class _CacheKey(typing.NamedTuple):
    """What an answer is for, and what was known when it was written."""

    topic: records.Topic
    offset: int
    revision: int
    next_offset: int

    def is_current(self, newest: _CacheKey) -> bool:
        """Tell whether nothing has changed since."""
        mine = self.revision, self.next_offset
        return mine == (newest.revision, newest.next_offset)


class _Response(typing.NamedTuple):
    """Records from an offset on, as they are sent."""

    body: bytes
    compressed: bytes


class RecordServer:
    """Serves what the followers have from an offset on.

    Load: a snapshot of 3,000 endpoints, asked for by 300 processes that start
    together.  To write and compress it takes longer than to send it; done for
    each, the last were answered when they had long given up and asked anew.
    """

    __slots__ = ('_responses_by_key', '_followers')

    def __init__(
        self,
        followers: dict[records.Topic, follower.Follower],
    ) -> None:
        self._followers = followers
        self._responses_by_key: dict[_CacheKey, _Response] = {}

    def handles(self, request: messages.Request) -> bool:
        """Tell whether a request asks for records."""
        return self._topic(request) is not None

    def handle(self, request: messages.Request, reply: replies.Reply) -> None:
        """Hand over what a topic has from an offset on.

        Load: a configuration of 50 KB that a few hand to all of a region. They
        are compressed, or the links of those few would be full.
        """
        topic = self._topic(request)
        if topic is None:
            raise KeyError(request.path)
        offset = int(request.target.partition(b'?')[2] or b'0')
        answer = self._response(self._followers[topic], offset)
        if b'deflate' in request.headers.tokens(b'accept-encoding'):
            pairs = [(b'Content-Encoding', b'deflate')]
            reply.send(_OK, pairs, answer.compressed)
        else:
            reply.send(_OK, [], answer.body)

    def _topic(self, request: messages.Request) -> records.Topic | None:
        for topic in self._followers:
            if request.path == catching_up.PATH_PREFIX + topic.value.encode():
                return topic
        return None

    def _response(self, own: follower.Follower, offset: int) -> _Response:
        age = own.outage_age(asyncio.get_running_loop().time())
        if age is not None:
            # How old the outage is differs from moment to moment.
            return _encode(own.state.since(offset)._replace(outage_age=age))
        key = _CacheKey(
            own.topic,
            offset,
            own.state.revision,
            own.state.next_offset,
        )
        known = self._responses_by_key.get(key)
        if known is None:
            known = _encode(own.state.since(offset))
            self._cache_response(key, known)
        return known

    def _cache_response(self, key: _CacheKey, answer: _Response) -> None:
        """Keep an answer; drop those that are out of date, and the oldest."""
        of_topic = [
            each for each in self._responses_by_key if each.topic is key.topic
        ]
        current = [each for each in of_topic if each.is_current(key)]
        for each in of_topic:
            if each not in current[1 - _MAX_CACHED_RESPONSES :]:
                del self._responses_by_key[each]
        self._responses_by_key[key] = answer


def _encode(page: records.Page) -> _Response:
    body = wire_heartbeats.write_records(page)
    return _Response(body, zlib.compress(body, _FASTEST_COMPRESSION))
