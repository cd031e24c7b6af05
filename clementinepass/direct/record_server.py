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
_FASTEST = 1
_OK = 200
#: Answers kept by topic: those that ask at the same moment know one of a few
#: offsets, mostly nothing.
_MOST_KEPT = 4


class _Key(typing.NamedTuple):
    """What an answer is for, and what was known when it was written."""

    topic: records.Topic
    offset: int
    revision: int
    next_offset: int

    def is_current(self, newest: _Key) -> bool:
        """Tell whether nothing has changed since."""
        mine = self.revision, self.next_offset
        return mine == (newest.revision, newest.next_offset)


class _Answer(typing.NamedTuple):
    """Records from an offset on, as they are sent."""

    body: bytes
    compressed: bytes


class RecordServer:
    """Serves what the followers have from an offset on.

    Load: a snapshot of 3,000 endpoints, asked for by 300 processes that start
    together.  To write and compress it takes longer than to send it; done for
    each, the last were answered when they had long given up and asked anew.
    """

    __slots__ = ('_answers_by_key', '_followers')

    def __init__(
        self,
        followers: dict[records.Topic, follower.Follower],
    ) -> None:
        self._followers = followers
        self._answers_by_key: dict[_Key, _Answer] = {}

    def serves(self, request: messages.Request) -> bool:
        """Tell whether a request asks for records."""
        return self._topic(request) is not None

    def serve(self, request: messages.Request, reply: replies.Reply) -> None:
        """Hand over what a topic has from an offset on.

        Load: a configuration of 50 KB that a few hand to all of a region. They
        are compressed, or the links of those few would be full.
        """
        topic = self._topic(request)
        if topic is None:
            raise KeyError(request.path)
        offset = int(request.target.partition(b'?')[2] or b'0')
        answer = self._answer(self._followers[topic], offset)
        if b'deflate' in request.headers.tokens(b'accept-encoding'):
            pairs = [(b'Content-Encoding', b'deflate')]
            reply.send(_OK, pairs, answer.compressed)
        else:
            reply.send(_OK, [], answer.body)

    def _topic(self, request: messages.Request) -> records.Topic | None:
        for topic in self._followers:
            if request.path == catching_up.PATH + topic.value.encode():
                return topic
        return None

    def _answer(self, own: follower.Follower, offset: int) -> _Answer:
        age = own.outage_age(asyncio.get_running_loop().time())
        if age is not None:
            # How old the outage is differs from moment to moment.
            return _written(own.known.since(offset)._replace(outage_age=age))
        key = _Key(
            own.topic,
            offset,
            own.known.revision,
            own.known.next_offset,
        )
        known = self._answers_by_key.get(key)
        if known is None:
            known = _written(own.known.since(offset))
            self._keep(key, known)
        return known

    def _keep(self, key: _Key, answer: _Answer) -> None:
        """Keep an answer; drop those that are out of date, and the oldest."""
        of_topic = [
            each for each in self._answers_by_key if each.topic is key.topic
        ]
        current = [each for each in of_topic if each.is_current(key)]
        for each in of_topic:
            if each not in current[1 - _MOST_KEPT :]:
                del self._answers_by_key[each]
        self._answers_by_key[key] = answer


def _written(page: records.Page) -> _Answer:
    body = wire_heartbeats.write_records(page)
    return _Answer(body, zlib.compress(body, _FASTEST))
