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
_LAPSE_GRACE_SECONDS = 1.9
#: Seconds after the end of an outage by which an endpoint that lives has listed
#: itself again, and this entry has heard of it.
_RELIST_SECONDS = 2.4
#: Seconds after which a key's malformed records are written of again: their
#: writer may write them anew with each heartbeat, several times a second.
_LOG_INTERVAL_SECONDS = 30.0
#: Keys written of in that time; a writer may use any number of them.
_MAX_LOGGED_KEYS = 100


class DesiredVersion(typing.NamedTuple):
    """The version of a model's weights that endpoints should serve."""

    model: str
    version: int


class Decoders(typing.NamedTuple):
    """Decode records; each raises ``MalformedMessageError``.

    :param operator: returns ``None`` for a record of no concern.
    :param endpoint: returns ``None`` where the endpoint was removed.
    """

    operator: Callable[
        [records.Record],
        routing.Routing | DesiredVersion | None,
    ]
    endpoint: Callable[[records.Record], endpoints.Listing | None]


class Intake:
    """Decode records and take them into the cluster state.

    What can't be decoded changes nothing: what was in force stays so, but for
    the endpoint of that record's own key, which gets nothing more.
    """

    __slots__ = (
        '_cluster',
        '_endpoint_follower',
        '_operator_follower',
        '_decoders',
        '_logged_at_by_key',
    )

    def __init__(
        self, cluster: cluster_state.ClusterState, decoders: Decoders
    ) -> None:
        self._cluster = cluster
        self._decoders = decoders
        self._endpoint_follower: follower.Follower | None = None
        self._operator_follower: follower.Follower | None = None
        #: When a malformed record of a key was last written of.
        self._logged_at_by_key: dict[str, float] = {}

    def create_followers(
        self,
        store: records.Store,
        rng: random.Random,
    ) -> dict[records.Topic, follower.Follower]:
        """Return what follows the operator and the endpoints."""
        self._operator_follower = follower.Follower(
            store,
            records.Topic.OPERATOR,
            self._apply_operator_record,
            rng,
        )
        self._endpoint_follower = follower.Follower(
            store,
            records.Topic.ENDPOINTS,
            self._apply_endpoint_record,
            rng,
        )
        self._cluster.last_store_contact = self._last_operator_contact
        return {
            one.topic: one
            for one in (self._operator_follower, self._endpoint_follower)
        }

    def _last_operator_contact(self) -> float:
        return (
            0
            if self._operator_follower is None
            else self._operator_follower.last_contact
        )

    def _apply_operator_record(self, record: records.Record) -> None:
        try:
            word = self._decoders.operator(record)
        except errors.MalformedMessageError as error:
            self._log_malformed(record, error)
            return
        if isinstance(word, DesiredVersion):
            now = asyncio.get_running_loop().time()
            if (
                self._operator_follower is not None
                and not self._operator_follower.is_initialized
            ):
                self._cluster.add_earlier_desired_version(
                    word.model, word.version, now
                )
            else:
                self._cluster.add_desired_version(word.model, word.version, now)
        elif word is not None:
            self._cluster.apply_configuration(word)

    def _apply_endpoint_record(self, record: records.Record) -> None:
        try:
            listing = self._decoders.endpoint(record)
        except errors.MalformedMessageError as error:
            self._log_malformed(record, error)
            self._cluster.endpoints.unreadable(record.key)
            return
        if listing is None:
            self._remove_endpoint(record.key)
        elif (
            self._cluster.update_listing(listing) and self._has_initial_listings
        ):
            logger.bind(
                endpoint=listing.id,
                service=listing.service,
                draining=listing.draining,
                version=listing.weights.version,
                layers=listing.weights.end - listing.weights.first,
                offset=record.offset,
                started=listing.started,
            ).info('endpoint listed')

    @property
    def _has_initial_listings(self) -> bool:
        """Tell whether the endpoints that there were at first are known.

        A line for each of thousands took longer than to take them.
        """
        return (
            self._endpoint_follower is not None
            and self._endpoint_follower.is_initialized
        )

    def _remove_endpoint(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        follow = self._endpoint_follower
        age = None if follow is None else follow.outage_age(now)
        grace = (
            0
            if age is None
            else min(_LAPSE_GRACE_SECONDS, _RELIST_SECONDS - age)
        )
        if self._cluster.endpoints.removed(endpoint_id, now, grace):
            logger.bind(endpoint=endpoint_id, used_for=grace).info(
                'endpoint dropped from the list',
            )

    def _log_malformed(self, record: records.Record, error: Exception) -> None:
        """Write a line of a malformed record, unless there was one lately.

        Failure: another writer's record was written anew with each heartbeat,
        and its lines pushed out those of others.
        """
        now = asyncio.get_running_loop().time()
        self._logged_at_by_key = {
            key: at
            for key, at in self._logged_at_by_key.items()
            if now - at < _LOG_INTERVAL_SECONDS
        }
        is_told = record.key in self._logged_at_by_key
        if is_told or len(self._logged_at_by_key) >= _MAX_LOGGED_KEYS:
            return
        self._logged_at_by_key[record.key] = now
        logger.bind(key=record.key, offset=record.offset).error(
            'record passed over: {}',
            error,
        )
