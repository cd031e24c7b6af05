"""Take the store's records into what a process knows."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.direct import follower, records, routing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from clementinepass.direct import cluster_state, endpoints

#: Seconds that an endpoint is used whose listing lapsed while the store was
#: away: nearly the two seconds in which endpoints list themselves again, and
#: less than those after which one that is gone must get nothing.
_LAPSE_GRACE = 1.9
#: Seconds after the end of an outage by which an endpoint that lives has listed
#: itself again, and this entry has heard of it.
_RELISTED = 2.4
#: Seconds after which a key's malformed records are written of again: their
#: writer may write them anew with each heartbeat, several times a second.
_TOLD_SECONDS = 30.0
#: Keys written of in that time; a writer may use any number of them.
_MOST_TOLD = 100


class NamedVersion(typing.NamedTuple):
    """The version of a model's weights that endpoints should serve."""

    model: str
    version: int


class Readers(typing.NamedTuple):
    """Decode records; each raises ``MalformedMessageError``.

    :param operator: returns ``None`` for a record of no concern.
    :param endpoint: returns ``None`` where the endpoint was removed.
    """

    operator: Callable[
        [records.Record],
        routing.Routing | NamedVersion | None,
    ]
    endpoint: Callable[[records.Record], endpoints.Listing | None]


class Intake:
    """Decode records and take them into the cluster state.

    What can't be decoded changes nothing: what was in force stays so, but for
    the endpoint of that record's own key, which gets nothing more.
    """

    __slots__ = (
        '_cluster',
        '_listings',
        '_operator',
        '_readers',
        '_told_by_key',
    )

    def __init__(
        self, known: cluster_state.ClusterState, readers: Readers
    ) -> None:
        self._cluster = known
        self._readers = readers
        self._listings: follower.Follower | None = None
        self._operator: follower.Follower | None = None
        #: When a malformed record of a key was last written of.
        self._told_by_key: dict[str, float] = {}

    def followers(
        self,
        store: records.Store,
        rng: random.Random,
    ) -> dict[records.Topic, follower.Follower]:
        """Return what follows the operator and the endpoints."""
        self._operator = follower.Follower(
            store,
            records.Topic.OPERATOR,
            self._operator_wrote,
            rng,
        )
        self._listings = follower.Follower(
            store,
            records.Topic.ENDPOINTS,
            self._endpoint_wrote,
            rng,
        )
        self._cluster.store_contact = self._operator_contact
        return {one.topic: one for one in (self._operator, self._listings)}

    def _operator_contact(self) -> float:
        return 0 if self._operator is None else self._operator.contact

    def _operator_wrote(self, record: records.Record) -> None:
        try:
            word = self._readers.operator(record)
        except errors.MalformedMessageError as error:
            self._passed_over(record, error)
            return
        if isinstance(word, NamedVersion):
            now = asyncio.get_running_loop().time()
            if self._operator is not None and not self._operator.started:
                self._cluster.found_named(word.model, word.version, now)
            else:
                self._cluster.named(word.model, word.version, now)
        elif word is not None:
            self._cluster.configured(word)

    def _endpoint_wrote(self, record: records.Record) -> None:
        try:
            listing = self._readers.endpoint(record)
        except errors.MalformedMessageError as error:
            self._passed_over(record, error)
            self._cluster.endpoints.mark_unreadable(record.key)
            return
        if listing is None:
            self._dropped(record.key)
        elif self._cluster.listed(listing) and self._has_listings:
            logger.bind(
                endpoint=listing.id,
                service=listing.service,
                draining=listing.draining,
                version=listing.weights.version,
                layers=listing.weights.end - listing.weights.first,
                offset=record.offset,
                started=listing.started_ms,
            ).info('endpoint listed')

    @property
    def _has_listings(self) -> bool:
        """Tell whether the endpoints that there were at first are known.

        A line for each of thousands took longer than to take them.
        """
        return self._listings is not None and self._listings.started

    def _dropped(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        follow = self._listings
        age = None if follow is None else follow.outage_age(now)
        grace = 0 if age is None else min(_LAPSE_GRACE, _RELISTED - age)
        if self._cluster.endpoints.mark_removed(endpoint_id, now, grace):
            logger.bind(endpoint=endpoint_id, used_for=grace).info(
                'endpoint dropped from the list',
            )

    def _passed_over(self, record: records.Record, error: Exception) -> None:
        """Write a line of a malformed record, unless there was one lately.

        Failure: another writer's record was written anew with each heartbeat,
        and its lines pushed out those of others.
        """
        now = asyncio.get_running_loop().time()
        self._told_by_key = {
            key: at
            for key, at in self._told_by_key.items()
            if now - at < _TOLD_SECONDS
        }
        is_told = record.key in self._told_by_key
        if is_told or len(self._told_by_key) >= _MOST_TOLD:
            return
        self._told_by_key[record.key] = now
        logger.bind(key=record.key, offset=record.offset).error(
            'record passed over: {}',
            error,
        )
