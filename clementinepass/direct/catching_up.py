"""Fetch records of the store from a peer that knows more of them.

The store may turn this process away, or a read may hang on a connection that
fell silent, while others hear of each change.
"""

from __future__ import annotations

import asyncio
import typing
import zlib

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import start_reading
from clementinepass.direct import records
from clementinepass.http import messages, pool
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import (
        cluster_state,
        follower,
        heartbeats,
        members,
        node,
    )

#: Seconds for which a peer may be ahead in reading the store before its
#: records are fetched from it: the store itself tells within milliseconds.
_BEHIND_SECONDS = 0.25
#: The same for an entry that others of its region tell of the store, until a
#: peer of another region is asked. Those others have it within milliseconds and
#: say so at once; what crosses to a region is to cross once.
_RELYING_SECONDS = 1.0
#: The same for an agent, whose link is narrow: a configuration takes as long
#: as two pieces of weights, and an agent needs little of it.
_AGENT_BEHIND_SECONDS = 4.0
#: Seconds for records from a peer; one that doesn't answer keeps others from
#: being asked. An agent's narrow link takes longer.
_FETCH_SECONDS = 0.8
_AGENT_FETCH_SECONDS = 3.0
#: Bytes of records that are taken from a peer at a time.
_LONGEST_RECORDS = 16 * 1024 * 1024
#: Where peers ask for records, followed by the topic.
PATH = b'/records/'


class CatchingUp:
    """Watch how far peers have read, and ask one that has read further.

    :param own: who this process is.
    :param followers: what is followed, by topic.
    :param known: the state of the cluster.
    """

    __slots__ = (
        '_ahead_by_topic',
        '_behind_since',
        '_begun',
        '_cluster',
        '_fetch_seconds',
        '_fetching_by_topic',
        '_followers',
        '_own',
        '_patience_by_topic',
        '_revision_behind_since',
    )

    def __init__(
        self,
        own: node.Node,
        followers: dict[records.Topic, follower.Follower],
        known: cluster_state.ClusterState,
    ) -> None:
        self._own = own
        self._followers = followers
        self._cluster = known
        is_entry = bool(own.callers)
        self._fetch_seconds = (
            _FETCH_SECONDS if is_entry else _AGENT_FETCH_SECONDS
        )
        self._patience_by_topic = {
            records.Topic.OPERATOR: (
                _BEHIND_SECONDS if is_entry else _AGENT_BEHIND_SECONDS
            ),
            records.Topic.ENDPOINTS: _BEHIND_SECONDS,
        }
        #: The furthest that a peer was heard to have read, and since when
        #: this process hasn't.
        self._ahead_by_topic: dict[records.Topic, int] = {}
        self._behind_since: dict[records.Topic, float] = {}
        #: When this process first heard of a peer; ``None`` before.
        self._begun: float | None = None
        #: Since when a peer has had a newer configuration in force.
        self._revision_behind_since: float | None = None
        self._fetching_by_topic: dict[records.Topic, asyncio.Task[None]] = {}

    def heard(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        """Compare what a peer knows with what this process does."""
        if not self._may_ask(heartbeat, now):
            return
        is_near = heartbeat.sender is not None and self._is_near(
            heartbeat.sender
        )
        for topic, offset in (
            (records.Topic.OPERATOR, heartbeat.operator_offset),
            (records.Topic.ENDPOINTS, heartbeat.endpoints_offset),
        ):
            self._compare(topic, offset, ip, now, is_near=is_near)
        self._compare_configuration(heartbeat.configuration, ip, now)

    def _may_ask(self, heartbeat: heartbeats.Heartbeat, now: float) -> bool:
        """Tell whether to take first records from a peer as far as that."""
        if all(one.started for one in self._followers.values()):
            return True
        if self._begun is None:
            self._begun = now
        sender = heartbeat.sender
        return start_reading.may_request(
            # An agent's link is narrow, and its heartbeats have no sender.
            is_same_region=sender is not None and self._is_near(sender),
            uptime_seconds=now - self._begun,
        )

    def _is_near(self, member: members.Member) -> bool:
        return member.region == self._own.region

    def _patience(self, own: follower.Follower, *, is_near: bool) -> float:
        """Return for how long a peer is ahead before it is asked."""
        if own.is_reading:
            return self._patience_by_topic[own.topic]
        return 0 if is_near else _RELYING_SECONDS

    def _compare(
        self,
        topic: records.Topic,
        offset: int,
        ip: str,
        now: float,
        *,
        is_near: bool,
    ) -> None:
        """Fetch records from a peer that has read further for a while.

        Failure: peers that had read less far, too, each began the wait anew,
        and where they were many the one that knew was never asked.

        A peer that has read nothing has nothing to hand over. Failure: of two
        that started together one took the other's empty records for all that
        there was, and what the store told it next for news.
        """
        own = self._followers.get(topic)
        if own is None or not offset:
            return
        read = own.known.next_offset
        ahead = max(offset, self._ahead_by_topic.get(topic, 0))
        self._ahead_by_topic[topic] = ahead
        if own.started and ahead <= read:
            self._behind_since.pop(topic, None)
        if own.started and offset <= read:
            return
        since = self._behind_since.setdefault(topic, now)
        patience = self._patience(own, is_near=is_near)
        if own.started and now - since < patience:
            return
        if topic not in self._fetching_by_topic:
            self._behind_since[topic] = now
            self._begin(own, ip, whole=False)

    def _compare_configuration(self, version: int, ip: str, now: float) -> None:
        """Fetch the operator's records anew where a peer has newer ones.

        Failure: an entry served for seconds by the configuration before the
        last, though it had read as far as its peers by the offsets. Whatever
        lost the record, what is in force there and here says that it's lost.
        """
        current = self._cluster.routing
        if current is None or version <= current.version:
            if current is not None and version == current.version:
                self._revision_behind_since = None
            return
        own = self._followers[records.Topic.OPERATOR]
        if self._revision_behind_since is None:
            self._revision_behind_since = now
        behind = now - self._revision_behind_since
        patience = 2 * self._patience(own, is_near=False)
        if behind >= patience and own.topic not in self._fetching_by_topic:
            self._revision_behind_since = now
            logger.bind(
                peer=ip,
                there=version,
                here=current.version,
                offset=own.known.next_offset,
            ).warning('a peer has a newer configuration')
            self._begin(own, ip, whole=True)

    def _begin(self, own: follower.Follower, ip: str, *, whole: bool) -> None:
        task = asyncio.create_task(self._fetch(own, ip, whole=whole))
        self._fetching_by_topic[own.topic] = task

    async def _fetch(
        self,
        own: follower.Follower,
        ip: str,
        *,
        whole: bool,
    ) -> None:
        offset = 0 if whole else own.known.next_offset
        request = messages.request_bytes(
            b'GET',
            b'%b?%d' % (PATH + own.topic.value.encode(), offset),
            [(b'Host', ip.encode()), (b'Accept-Encoding', b'deflate')],
            b'',
        )
        peers = pool.Pool(ip, self._own.first_port)
        try:
            fetched = await pool.fetch(peers, request, self._fetch_seconds)
            page = wire_heartbeats.read_records(_decompressed(fetched, ip), ip)
        except errors.ClementinepassError as error:
            logger.bind(peer=ip).info('records not fetched: {}', error)
            return
        finally:
            peers.close()
            self._fetching_by_topic.pop(own.topic, None)
        if not page.next_offset:
            # It has started anew since it said how far it had read.
            logger.bind(peer=ip).info('records not fetched: it has none')
            return
        news = own.take_anew(page) if whole else own.take(page, ip)
        logger.bind(
            peer=ip,
            topic=own.topic.value,
            news=news,
            offset=page.next_offset,
        ).info('records taken from a peer')


def _decompressed(fetched: pool.Answer, peer: str) -> bytes:
    """Return the body of an answer as it was before it was compressed.

    :raises MalformedMessageError: it can't be.
    """
    if b'deflate' not in fetched.headers.tokens(b'content-encoding'):
        return fetched.body
    reader = zlib.decompressobj()
    try:
        body = reader.decompress(fetched.body, _LONGEST_RECORDS)
    except zlib.error as error:
        raise errors.MalformedMessageError(
            str(error),
            step='read records',
            peer=peer,
        ) from error
    if not reader.eof:
        raise errors.MalformedMessageError(
            'cut short or too long',
            step='read records',
            peer=peer,
        )
    return body
