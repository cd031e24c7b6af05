"""Fetch records of the store from a peer that has read further.

The store may reject this process, or a read may hang on a silent connection,
while peers receive each change.
"""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.decisions import start_reading
from clementinepass.direct import record_compression, records
from clementinepass.http import messages, pool
from clementinepass.wire import heartbeats as wire_heartbeats

if typing.TYPE_CHECKING:
    from clementinepass.direct import (
        cluster_state,
        follower,
        heartbeats,
        members,
        node,
        topic_state,
        turns,
    )

#: Seconds for which a peer may be ahead in reading the store before records
#: are fetched from it: the store itself delivers them within milliseconds.
_FETCH_DELAY_SECONDS = 0.25
#: The same delay for an entry that relies on other readers of its region,
#: before it fetches from a peer of another region. The readers have a record
#: within milliseconds and announce it at once, and a record should cross the
#: link between regions only once.
_OTHER_REGION_DELAY_SECONDS = 1.0
#: Seconds for which entries of another region may be ahead in the operator's
#: records before the first entries of this region, in their order, fetch them
#: there. The second one does so only if the first one has not announced them.
_RELAY_DELAYS_SECONDS: tuple[float, ...] = (0, 0.3)
#: The same delay for an agent. Its link is narrow: a configuration takes as
#: long as two pieces of weights, and an agent needs little of it.
_AGENT_FETCH_DELAY_SECONDS = 4.0
#: Longest time without a byte of a fetch from a peer. A peer that does not
#: answer delays the fetch from another one. The narrow link of an agent takes
#: longer.
_MAX_SILENCE_SECONDS = 0.8
_AGENT_MAX_SILENCE_SECONDS = 3.0
#: Timeout of a fetch from a peer. It is long, since another fetch over the same
#: narrow link would take as long again.
_FETCH_TIMEOUT_SECONDS = 6.0
#: Path of peers' requests for records; the topic follows it.
PATH_PREFIX = b'/records/'


class PeerCatchUp:
    """Compares offsets with peers and fetches records from those ahead.

    :param local_node: the local node.
    :param followers: the followers of the store's topics.
    :param cluster: the state of the cluster.
    :param operator_turns: the schedule of reads of the operator's records.
    """

    __slots__ = (
        '_peer_offset_by_topic',
        '_behind_since_by_topic',
        '_first_received_at',
        '_cluster',
        '_max_silence_seconds',
        '_operator_turns',
        '_fetch_task_by_topic',
        '_followers',
        '_local_node',
        '_fetch_delay_by_topic',
        '_configuration_behind_since',
    )

    def __init__(
        self,
        local_node: node.Node,
        followers: dict[records.Topic, follower.Follower],
        cluster: cluster_state.ClusterState,
        operator_turns: turns.ReadTurns,
    ) -> None:
        self._local_node = local_node
        self._followers = followers
        self._cluster = cluster
        self._operator_turns = operator_turns
        is_entry = bool(local_node.callers)
        self._max_silence_seconds = (
            _MAX_SILENCE_SECONDS if is_entry else _AGENT_MAX_SILENCE_SECONDS
        )
        self._fetch_delay_by_topic = {
            records.Topic.OPERATOR: (
                _FETCH_DELAY_SECONDS if is_entry else _AGENT_FETCH_DELAY_SECONDS
            ),
            records.Topic.ENDPOINTS: _FETCH_DELAY_SECONDS,
        }
        #: The highest offset that a peer announced.
        self._peer_offset_by_topic: dict[records.Topic, int] = {}
        #: Monotonic seconds since when this process has been behind a peer, or
        #: at which it last started a fetch.
        self._behind_since_by_topic: dict[records.Topic, float] = {}
        #: Monotonic seconds at which a heartbeat first came before all topics
        #: had been read; ``None`` before that.
        self._first_received_at: float | None = None
        #: Monotonic seconds since when a peer has had a newer configuration, or
        #: at which it was last fetched; ``None`` if no peer has.
        self._configuration_behind_since: float | None = None
        self._fetch_task_by_topic: dict[records.Topic, asyncio.Task[None]] = {}

    def handle_heartbeat(
        self, heartbeat: heartbeats.Heartbeat, ip: str, now: float
    ) -> None:
        """Compare a peer's offsets with the local ones; fetch if behind."""
        if not self._may_fetch(heartbeat, now):
            return
        is_same_region = heartbeat.sender is not None and self._is_same_region(
            heartbeat.sender
        )
        for topic, offset in (
            (records.Topic.OPERATOR, heartbeat.operator_offset),
            (records.Topic.ENDPOINTS, heartbeat.endpoints_offset),
        ):
            self._compare_offset(
                topic, offset, ip, now, is_same_region=is_same_region
            )
        self._compare_configuration(
            heartbeat.configuration_version,
            ip,
            now,
            is_same_region=is_same_region,
        )

    def _may_fetch(self, heartbeat: heartbeats.Heartbeat, now: float) -> bool:
        """Return whether records may be fetched from a heartbeat's sender.

        Only a process that has not read all topics yet is restricted: at first
        it fetches from entries of its own region only.
        """
        if all(
            topic_follower.is_initialized
            for topic_follower in self._followers.values()
        ):
            return True
        if self._first_received_at is None:
            self._first_received_at = now
        sender = heartbeat.sender
        return start_reading.may_request(
            # Heartbeats of agents, whose links are narrow, name no sender.
            is_same_region=sender is not None and self._is_same_region(sender),
            uptime_seconds=now - self._first_received_at,
        )

    def _is_same_region(self, member: members.Member) -> bool:
        return member.region == self._local_node.region

    def _fetch_delay(
        self,
        topic_follower: follower.Follower,
        now: float,
        *,
        is_same_region: bool,
    ) -> float:
        """Return for how long a peer must be ahead before a fetch."""
        if topic_follower.is_reading:
            return self._fetch_delay_by_topic[topic_follower.topic]
        if is_same_region:
            return 0
        if topic_follower.topic is records.Topic.OPERATOR:
            rank = self._operator_turns.rank(now)
            if rank < len(_RELAY_DELAYS_SECONDS):
                return _RELAY_DELAYS_SECONDS[rank]
        return _OTHER_REGION_DELAY_SECONDS

    def _compare_offset(
        self,
        topic: records.Topic,
        offset: int,
        ip: str,
        now: float,
        *,
        is_same_region: bool,
    ) -> None:
        """Fetch records if peers have been ahead for the fetch delay.

        The delay counts from the first peer that is ahead. If heartbeats of
        peers that are behind, too, restarted it, a fetch from the peer that
        is ahead would never start where such peers are many.

        A peer at offset 0 has read nothing and is ignored. Of two processes
        that start together one would otherwise treat the other's empty page
        as the whole topic, and the records that the store sends next as new.
        """
        topic_follower = self._followers.get(topic)
        if topic_follower is None or not offset:
            return
        local_offset = topic_follower.state.next_offset
        ahead = max(offset, self._peer_offset_by_topic.get(topic, 0))
        self._peer_offset_by_topic[topic] = ahead
        if topic_follower.is_initialized and ahead <= local_offset:
            self._behind_since_by_topic.pop(topic, None)
        if topic_follower.is_initialized and offset <= local_offset:
            return
        since = self._behind_since_by_topic.setdefault(topic, now)
        delay = self._fetch_delay(
            topic_follower, now, is_same_region=is_same_region
        )
        if topic_follower.is_initialized and now - since < delay:
            return
        if topic not in self._fetch_task_by_topic:
            self._behind_since_by_topic[topic] = now
            self._start_fetch(
                topic_follower,
                ip,
                from_start=False,
                is_same_region=is_same_region,
            )

    def _compare_configuration(
        self, version: int, ip: str, now: float, *, is_same_region: bool
    ) -> None:
        """Fetch all of the operator's records if a peer's version is newer.

        An entry may have lost a record although its offset equals that of its
        peers; it would serve by the previous configuration for seconds.
        Comparing the versions in force detects the loss, whatever caused it.
        """
        current = self._cluster.routing
        if current is None or version <= current.version:
            if current is not None and version == current.version:
                self._configuration_behind_since = None
            return
        operator = self._followers[records.Topic.OPERATOR]
        if self._configuration_behind_since is None:
            self._configuration_behind_since = now
        behind = now - self._configuration_behind_since
        delay = 2 * max(
            self._fetch_delay(operator, now, is_same_region=False),
            _FETCH_DELAY_SECONDS,
        )
        if behind >= delay and operator.topic not in self._fetch_task_by_topic:
            self._configuration_behind_since = now
            logger.bind(
                peer=ip,
                there=version,
                here=current.version,
                offset=operator.state.next_offset,
            ).warning('a peer has a newer configuration')
            self._start_fetch(
                operator, ip, from_start=True, is_same_region=is_same_region
            )

    def _start_fetch(
        self,
        topic_follower: follower.Follower,
        ip: str,
        *,
        from_start: bool,
        is_same_region: bool,
    ) -> None:
        source = (
            records.Source.REGION
            if is_same_region
            else records.Source.OTHER_REGION
        )
        task = asyncio.create_task(
            self._fetch(topic_follower, ip, source, from_start=from_start)
        )
        self._fetch_task_by_topic[topic_follower.topic] = task

    async def _fetch(
        self,
        topic_follower: follower.Follower,
        ip: str,
        source: records.Source,
        *,
        from_start: bool,
    ) -> None:
        started_at = asyncio.get_running_loop().time()
        offset = 0 if from_start else topic_follower.state.next_offset
        request = _encode_request(
            topic_follower.topic,
            ip,
            offset,
            topic_follower.state.base_offset,
        )
        peers = pool.Pool(ip, self._local_node.first_port)
        try:
            answer = await pool.fetch(
                peers,
                request,
                _FETCH_TIMEOUT_SECONDS,
                max_silence_seconds=self._max_silence_seconds,
            )
            page = _decode_answer(answer, topic_follower.state, ip)
        except errors.ClementinepassError as error:
            logger.bind(peer=ip).info('records not fetched: {}', error)
            return
        finally:
            peers.close()
            self._fetch_task_by_topic.pop(topic_follower.topic, None)
        size = len(answer.body)
        topic_follower.received_bytes_by_source[source] += size
        if not page.next_offset:
            # The peer has restarted since it announced its offset.
            logger.bind(peer=ip).info('records not fetched: the peer has none')
            return
        new_count = (
            topic_follower.reapply(page)
            if from_start
            else topic_follower.apply(page, ip)
        )
        logger.bind(
            peer=ip,
            topic=topic_follower.topic.value,
            news=new_count,
            offset=page.next_offset,
            bytes=size,
            seconds=round(asyncio.get_running_loop().time() - started_at, 3),
        ).info('records taken from a peer')


def _encode_request(
    topic: records.Topic, ip: str, offset: int, base_offset: int | None
) -> bytes:
    pairs = [
        (b'Host', ip.encode()),
        (
            b'Accept-Encoding',
            b', '.join((record_compression.ZSTD, record_compression.DEFLATE)),
        ),
    ]
    if base_offset is not None:
        pairs.append((record_compression.BASE_HEADER, b'%d' % base_offset))
    target = b'%b%b?%d' % (PATH_PREFIX, topic.value.encode(), offset)
    return messages.encode_request(b'GET', target, pairs, b'')


def _decode_answer(
    answer: pool.Answer, state: topic_state.TopicState, peer: str
) -> records.Page:
    """Decode the records that a peer sent.

    :raises MalformedMessageError: the body can't be decoded.
    """
    encoding = answer.headers.get(b'content-encoding') or b''
    base_offset = record_compression.base_offset(answer.headers)
    base = b'' if base_offset is None else state.base(base_offset)
    try:
        body = record_compression.decompress(answer.body, encoding, peer, base)
    except errors.MalformedMessageError:
        if base_offset is not None:
            # The peer's record differs. The next request names another one.
            state.drop_base(base_offset)
        raise
    return wire_heartbeats.read_records(body, peer)
