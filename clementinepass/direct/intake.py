"""Apply the store's records to the cluster state."""

from __future__ import annotations

import asyncio
import typing

from loguru import logger

from clementinepass import errors
from clementinepass.direct import evacuation, follower, records, routing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from clementinepass.direct import cluster_state, endpoints

#: Seconds for which an endpoint is still used after its listing lapsed during
#: an outage of the store. Nearly the two seconds in which endpoints list
#: themselves again, and less than the two seconds after which an endpoint that
#: is gone must get no more requests.
_LAPSE_GRACE_SECONDS = 1.9
#: Seconds after the end of an outage by which a live endpoint has listed itself
#: again and this entry has received the listing.
_RELIST_SECONDS = 2.4
#: Seconds between log lines on malformed records of one key: their writer may
#: repeat them with each heartbeat, several times a second.
_LOG_INTERVAL_SECONDS = 30.0
#: Most keys logged in that time: a writer may use any number of keys.
_MAX_LOGGED_KEYS = 100


class DesiredVersion(typing.NamedTuple):
    """The version of a model's weights that endpoints should serve."""

    model: str
    version: int


#: An operator's record, decoded.
OperatorRecord = routing.Routing | DesiredVersion | evacuation.Evacuation


class Decoders(typing.NamedTuple):
    """Functions that decode records or raise ``MalformedMessageError``.

    :param operator: decodes an operator's record; returns ``None`` for one
        that is not relevant.
    :param endpoint: decodes a listing; returns ``None`` for a removed one.
    """

    operator: Callable[
        [records.Record],
        OperatorRecord | None,
    ]
    endpoint: Callable[[records.Record], endpoints.Listing | None]


class Intake:
    """Decodes records and applies them to the cluster state.

    Malformed records are ignored, except that an endpoint whose own record is
    malformed gets no more requests.
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
        #: When a malformed record of a key was last logged.
        self._logged_at_by_key: dict[str, float] = {}

    def create_followers(
        self,
        store: records.Store,
        rng: random.Random,
    ) -> dict[records.Topic, follower.Follower]:
        """Return the followers of the operator's and endpoints' records."""
        self._operator_follower = follower.Follower(
            store,
            records.Topic.OPERATOR,
            self._apply_operator_record,
            rng,
            self._is_newer_operator_record,
        )
        self._endpoint_follower = follower.Follower(
            store,
            records.Topic.ENDPOINTS,
            self._apply_endpoint_record,
            rng,
            self._is_newer_listing,
        )
        self._cluster.last_store_contact = self._last_operator_contact
        return {
            topic_follower.topic: topic_follower
            for topic_follower in (
                self._operator_follower,
                self._endpoint_follower,
            )
        }

    def _last_operator_contact(self) -> float:
        return (
            0
            if self._operator_follower is None
            else self._operator_follower.last_contact
        )

    def _apply_operator_record(self, record: records.Record) -> None:
        try:
            decoded = self._decoders.operator(record)
        except errors.MalformedMessageError as error:
            self._log_malformed(record, error)
            return
        if isinstance(decoded, DesiredVersion):
            self._apply_desired_version(decoded)
        elif isinstance(decoded, evacuation.Evacuation):
            self._cluster.evacuated.apply(decoded)
        elif decoded is not None:
            self._cluster.apply_configuration(decoded)

    def _apply_desired_version(self, desired: DesiredVersion) -> None:
        """Record a desired version; its time is known if it was just written.

        Records of a peer, and those that are read again, were written earlier.
        """
        operator_follower = self._operator_follower
        if operator_follower is None or not operator_follower.is_initialized:
            self._cluster.add_earlier_desired_version(
                desired.model, desired.version
            )
            return
        self._cluster.add_desired_version(
            desired.model,
            desired.version,
            asyncio.get_running_loop().time(),
            guessed=not operator_follower.is_reading_changes,
        )

    def _is_newer_operator_record(
        self, record: records.Record, known: records.Record
    ) -> bool:
        """Return whether a record is to replace the known one of its key.

        An evacuation has no version. When the store comes back from a copy, its
        present records of evacuations count, as the operator sees these.
        """
        try:
            decoded = self._decoders.operator(record)
            decoded_known = self._decoders.operator(known)
        except errors.MalformedMessageError:
            return True
        if isinstance(decoded, evacuation.Evacuation) or isinstance(
            decoded_known, evacuation.Evacuation
        ):
            return True
        if decoded is None or decoded_known is None:
            return True
        return decoded.version > decoded_known.version

    def _is_newer_listing(
        self, record: records.Record, known: records.Record
    ) -> bool:
        """Return whether an endpoint wrote a listing after the known one."""
        try:
            listing = self._decoders.endpoint(record)
            known_listing = self._decoders.endpoint(known)
        except errors.MalformedMessageError:
            return True
        if listing is None or known_listing is None:
            return True
        return listing.is_newer_than(known_listing)

    def _apply_endpoint_record(self, record: records.Record) -> None:
        try:
            listing = self._decoders.endpoint(record)
        except errors.MalformedMessageError as error:
            self._log_malformed(record, error)
            self._cluster.endpoints.mark_unreadable(record.key)
            return
        if listing is None:
            self._remove_endpoint(record.key)
        elif (
            self._cluster.update_listing(
                listing, is_initial=not self._has_initial_listings
            )
            and self._has_initial_listings
        ):
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
    def _has_initial_listings(self) -> bool:
        """Return whether the initial listings have been applied.

        They are not logged: with thousands of endpoints the log lines would
        take longer than applying the listings.
        """
        return (
            self._endpoint_follower is not None
            and self._endpoint_follower.is_initialized
        )

    def _remove_endpoint(self, endpoint_id: str) -> None:
        now = asyncio.get_running_loop().time()
        topic_follower = self._endpoint_follower
        age = None if topic_follower is None else topic_follower.outage_age(now)
        grace = (
            0
            if age is None
            else min(_LAPSE_GRACE_SECONDS, _RELIST_SECONDS - age)
        )
        if self._cluster.endpoints.mark_removed(endpoint_id, now, grace):
            logger.bind(endpoint=endpoint_id, used_for=grace).info(
                'endpoint dropped from the list',
            )

    def _log_malformed(self, record: records.Record, error: Exception) -> None:
        """Log a malformed record, unless its key was logged lately.

        Another writer may repeat a malformed record with each heartbeat; its
        lines would crowd out others.
        """
        now = asyncio.get_running_loop().time()
        self._logged_at_by_key = {
            key: at
            for key, at in self._logged_at_by_key.items()
            if now - at < _LOG_INTERVAL_SECONDS
        }
        is_logged = record.key in self._logged_at_by_key
        if is_logged or len(self._logged_at_by_key) >= _MAX_LOGGED_KEYS:
            return
        self._logged_at_by_key[record.key] = now
        logger.bind(key=record.key, offset=record.offset).error(
            'record passed over: {}',
            error,
        )
