"""An entry: the parts that serve callers, put together."""

from __future__ import annotations

import asyncio
import random
import typing

import aioprometheus
from loguru import logger

from clementinepass import errors
from clementinepass.direct import (
    attempt,
    beliefs,
    follower,
    gossip,
    leaving,
    members,
    path,
    records,
    request_log,
)
from clementinepass.http import front

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from clementinepass.direct import calls, directory, endpoints, node, routing

#: Seconds between looks for endpoints and members that are gone.
_TIDY_SECONDS = 1.0
#: Seconds for which an entry that fell silent still counts for the budget.
_COUNTED_SECONDS = 12.0
#: Seconds that an entry uses an endpoint whose listing lapsed while the store
#: was away: the time in which endpoints list themselves again.
_LAPSE_GRACE = 2.1
#: Seconds after an outage in which a listing that is dropped may have lapsed
#: during it.
_LAPSE_SEEN = 1.0


class Boundary(typing.NamedTuple):
    """What an entry needs from the users' platform.

    :param read_operator: decodes a record of the operator.
    :param read_endpoint: decodes an endpoint's record.
    """

    store: records.Store
    dialect: calls.Dialect
    spelling: directory.Spelling
    read_operator: Callable[[records.Record], typing.Any]
    read_endpoint: Callable[[records.Record], endpoints.Listing | None]


class Entry:
    """One entry.

    :param own: who it is.
    :param boundary: how it speaks to callers, endpoints and the store.
    """

    def __init__(
        self,
        own: node.Node,
        boundary: Boundary,
        registry: aioprometheus.Registry,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._boundary = boundary
        self.beliefs = beliefs.Beliefs(own)
        operator = follower.Follower(
            boundary.store,
            records.Topic.OPERATOR,
            self._operator_wrote,
            rng,
        )
        listings = follower.Follower(
            boundary.store,
            records.Topic.ENDPOINTS,
            self._endpoint_wrote,
            rng,
        )
        self._followers = {one.topic: one for one in (operator, listings)}
        self.peers = gossip.Peers(own, self._followers, self.beliefs, rng)
        log = request_log.RequestLog(registry)
        self._sender = attempt.Sender(self.beliefs, boundary.dialect, log)
        self._path = path.Path(
            own,
            self.beliefs,
            boundary.dialect,
            self._sender,
            log,
            self._entries,
            rng,
        )
        self.front = front.Front(self._path.serve, self._bounds)
        self._asked = front.Front(boundary.spelling.handler(self))

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.peers.phase is members.Phase.READY

    def offered(self, now: float) -> list[str]:
        """Return the callers' addresses of entries to use."""
        found = [member.callers for member in self.peers.members.ready(now)]
        if self.ready or not found:
            found.append(self._own.callers)
        return found

    async def run(self) -> None:
        """Serve until told to stop."""
        await self._listen()
        leave = leaving.Leaving(self._own, self.front, self.peers)
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(work)
                for work in (
                    *(one.run() for one in self._followers.values()),
                    self.peers.run(),
                    self._tidy(),
                    self._become_ready(),
                )
            ]
            await leave.wait()
            for task in background:
                task.cancel()
        await self.front.close()

    async def _listen(self) -> None:
        for listener, address in (
            (self.front, self._own.callers),
            (self._asked, self._own.readiness),
        ):
            host, _, port = address.rpartition(':')
            await listener.listen(host, int(port))
        if self._own.directory not in {'', self._own.readiness}:
            host, _, port = self._own.directory.rpartition(':')
            second = front.Front(self._asked.handler)
            await second.listen(host, int(port))
        await self.peers.listen()
        logger.bind(node=self._own.name, callers=self._own.callers).info(
            'entry started',
        )

    async def _become_ready(self) -> None:
        """Be ready once configuration and endpoints are known."""
        while not all(one.started for one in self._followers.values()) or (
            self.beliefs.routing is None
        ):
            await asyncio.sleep(0.02)
        if self.peers.phase is members.Phase.STARTING:
            self.peers.phase = members.Phase.READY
            self.peers.speak()
            logger.bind(node=self._own.name).info('entry ready')
        await self._meet()

    async def _meet(self) -> None:
        """Find the other entries, and be found, through the store."""
        store = self._boundary.store
        while True:
            try:
                page = await store.newest(records.Topic.ENTRIES)
                self.peers.met(record.key for record in page.records)
                if not any(one.key == self._own.ip for one in page.records):
                    await store.put(records.Topic.ENTRIES, self._own.ip, b'1')
                return
            except errors.ClementinepassError as error:
                logger.info('entries not read: {}', error)
            await asyncio.sleep(_TIDY_SECONDS)

    async def _tidy(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIDY_SECONDS)
            now = loop.time()
            for endpoint in self.beliefs.forget(now):
                self._sender.forget(endpoint.listing.id)
            self.peers.members.forget(now)

    def _entries(self) -> int:
        now = asyncio.get_running_loop().time()
        return 1 + self.peers.members.lately(now, _COUNTED_SECONDS)

    def _bounds(self) -> front.Bounds:
        current: routing.Routing | None = self.beliefs.routing
        return front.Bounds() if current is None else current.bounds

    def _operator_wrote(self, record: records.Record) -> None:
        try:
            self._take_operator(self._boundary.read_operator(record))
        except errors.MalformedMessageError as error:
            logger.bind(key=record.key, offset=record.offset).error(
                'record passed over: {}',
                error,
            )

    def _take_operator(self, word: typing.Any) -> None:
        if word is None:
            return
        if hasattr(word, 'model'):
            now = asyncio.get_running_loop().time()
            self.beliefs.named(word.model, word.version, now)
        else:
            self.beliefs.configured(word)

    def _endpoint_wrote(self, record: records.Record) -> None:
        now = asyncio.get_running_loop().time()
        try:
            listing = self._boundary.read_endpoint(record)
        except errors.MalformedMessageError as error:
            logger.bind(key=record.key, offset=record.offset).error(
                'record passed over: {}',
                error,
            )
            return
        if listing is None:
            self._endpoint_dropped(record.key, now)
        elif self.beliefs.endpoints.listed(listing):
            logger.bind(
                endpoint=listing.id,
                service=listing.service,
                draining=listing.draining,
                version=listing.weights.version,
                layers=listing.weights.end - listing.weights.first,
                offset=record.offset,
            ).info('endpoint listed')

    def _endpoint_dropped(self, endpoint_id: str, now: float) -> None:
        follow = self._followers[records.Topic.ENDPOINTS]
        lapsed = not follow.in_touch or now - follow.lost_until < _LAPSE_SEEN
        grace = _LAPSE_GRACE if lapsed else 0
        if self.beliefs.endpoints.removed(endpoint_id, now, grace):
            logger.bind(endpoint=endpoint_id, used_for=grace).info(
                'endpoint dropped from the list',
            )
