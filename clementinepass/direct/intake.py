"""Take the store's records into what a process believes."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.direct import follower, records, routing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from clementinepass.direct import beliefs, endpoints

#: Seconds that an endpoint is used whose listing lapsed while the store was
#: away: nearly the two seconds in which endpoints list themselves again, and
#: less than those after which one that is gone must get nothing.
_LAPSE_GRACE = 1.9
#: Seconds after an outage in which a listing that is dropped may have lapsed
#: during it.
_LAPSE_SEEN = 1.0


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
    """Decode records and take them into beliefs.

    What can't be decoded changes nothing: what was in force stays so.
    """

    __slots__ = ('_beliefs', '_listings', '_operator', '_readers')

    def __init__(self, known: beliefs.Beliefs, readers: Readers) -> None:
        self._beliefs = known
        self._readers = readers
        self._listings: follower.Follower | None = None
        self._operator: follower.Follower | None = None

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
        return {one.topic: one for one in (self._operator, self._listings)}

    def _operator_wrote(self, record: records.Record) -> None:
        try:
            word = self._readers.operator(record)
        except errors.MalformedMessageError as error:
            _passed_over(record, error)
            return
        if isinstance(word, NamedVersion):
            now = asyncio.get_running_loop().time()
            if self._operator is not None and not self._operator.started:
                self._beliefs.found_named(word.model, word.version, now)
            else:
                self._beliefs.named(word.model, word.version, now)
        elif word is not None:
            self._beliefs.configured(word)

    def _endpoint_wrote(self, record: records.Record) -> None:
        try:
            listing = self._readers.endpoint(record)
        except errors.MalformedMessageError as error:
            _passed_over(record, error)
            return
        if listing is None:
            self._dropped(record.key)
        elif self._beliefs.endpoints.listed(listing):
            logger.bind(
                endpoint=listing.id,
                service=listing.service,
                draining=listing.draining,
                version=listing.weights.version,
                layers=listing.weights.end - listing.weights.first,
                offset=record.offset,
            ).info('endpoint listed')

    def _dropped(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        grace = _LAPSE_GRACE if self._may_have_lapsed(now) else 0
        if self._beliefs.endpoints.removed(endpoint_id, now, grace):
            logger.bind(endpoint=endpoint_id, used_for=grace).info(
                'endpoint dropped from the list',
            )

    def _may_have_lapsed(self, now: float) -> bool:
        follow = self._listings
        if follow is None:
            return False
        return not follow.in_touch or now - follow.lost_until < _LAPSE_SEEN


def _passed_over(record: records.Record, error: Exception) -> None:
    logger.bind(key=record.key, offset=record.offset).error(
        'record passed over: {}',
        error,
    )
