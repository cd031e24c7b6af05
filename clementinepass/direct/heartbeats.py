"""Messages that entries and agents exchange several times a second."""

from __future__ import annotations

import typing

import msgspec

from clementinepass.decisions import incarnations
from clementinepass.direct import evidence_reports
from clementinepass.direct import members as membership
from clementinepass.direct import part_sets as sets_of_parts
from clementinepass.direct.placement import messages as slots


class DesiredVersion(typing.NamedTuple):
    """A version of a model's weights that the operator wants loaded.

    :param age: seconds since the store acknowledged the record of the version,
        by the sender's clock.
    :param guessed: whether the age is an estimate, because the sender started
        after the version was written.
    """

    model: str
    version: int
    age: float
    guessed: bool = False


class EngineLoad(typing.NamedTuple):
    """The requests at the engine beside an agent, from all entries.

    :param active: requests that the engine runs.
    :param queued: requests that wait in its queue.
    :param started_ms: start of the engine in Unix time, as in its listing.
    :param pace: factor by which the engine is slower than usual.
    """

    active: int
    queued: int
    started_ms: int = incarnations.UNKNOWN_START
    pace: float = 1


class EngineStatus(typing.NamedTuple):
    """The weights loaded by the engine at an address, and its link's state.

    :param first: the first layer loaded.
    :param end: the layer after the last one loaded.
    :param congested: whether the link of its machine is slow at present.
    :param started_ms: start of the engine in Unix time, as in its listing.
    """

    address: str
    version: int
    first: int
    end: int
    congested: bool = False
    started_ms: int = incarnations.UNKNOWN_START


class EndpointLimit(typing.NamedTuple):
    """The limit of requests that an endpoint names in its answers.

    :param started_ms: start of the endpoint in Unix time, as in its listing.
    :param rate: requests a second; ``None`` if the limit has ended.
    :param age: seconds since the answer that said so.
    """

    endpoint_id: str
    started_ms: int
    rate: float | None
    age: float


class Heartbeat(msgspec.Struct, kw_only=True):
    """One heartbeat message.

    :param sender: the sending entry; ``None`` if an agent sends it.
    :param members: entries that the sender knows.
    :param digests: entries that the sender has lately seen to be alive, in
        their own heartbeats or in those of others.
    :param wants_introduction: whether the receiver must reply at once with its
        own :class:`~clementinepass.direct.members.Member`.
    :param in_flight_by_endpoint: the sender's requests at endpoints.
    :param operator_offset: the next offset of the operator's records at the
        sender.
    :param endpoints_offset: the next offset of the endpoints' records there.
    :param configuration_version: the version of the configuration that the
        sender has in force.
    :param operator_read_ends_in: seconds until the sender's pending read of
        the operator's records ends; 0 if none is pending.
    :param endpoints_read_ends_in: the same for the endpoints' records.
    :param operator_contact_age: seconds since the sender, or who reads for it,
        last heard from the store about the operator's records; 0 if never.
    :param store_distances: the shortest known time to connect to the store, in
        seconds, by region.
    :param desired_versions: the desired versions that the sender knows.
    :param engine_statuses: the state of the sender's engine, if the sender is
        an agent.
    :param crash_evidence: crashes of endpoints under requests, with ages in
        place of times.
    :param endpoint_limits: limits that endpoints name in their answers.
    :param load: the load of the sender's engine; such a message carries
        nothing else.
    :param slot: a message on a slot of an engine; such a message carries
        nothing else.
    :param wanted_part_sets: ids of sets of prompt parts that the sender asks
        for; such a message carries nothing else.
    :param part_sets: sets that the sender was asked for; such a message carries
        nothing else.
    :param wants_load: whether the sender, an entry, uses the engine of the
        receiving agent and subscribes to its load for a while.
    """

    sender: membership.Member | None = None
    members: tuple[membership.Member, ...] = ()
    digests: tuple[membership.Digest, ...] = ()
    wants_introduction: bool = False
    in_flight_by_endpoint: dict[str, int] = msgspec.field(default_factory=dict)
    operator_offset: int = 0
    endpoints_offset: int = 0
    configuration_version: int = 0
    operator_read_ends_in: float = 0
    endpoints_read_ends_in: float = 0
    operator_contact_age: float = 0
    store_distances: dict[str, float] = msgspec.field(default_factory=dict)
    desired_versions: tuple[DesiredVersion, ...] = ()
    engine_statuses: tuple[EngineStatus, ...] = ()
    crash_evidence: evidence_reports.Report = evidence_reports.Report()
    endpoint_limits: tuple[EndpointLimit, ...] = ()
    load: EngineLoad | None = None
    slot: slots.SlotMessage | None = None
    wanted_part_sets: tuple[str, ...] = ()
    part_sets: tuple[sets_of_parts.PartSet, ...] = ()
    wants_load: bool = False
