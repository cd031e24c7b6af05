"""What entries and agents tell one another several times a second."""

from __future__ import annotations

import typing

import msgspec

from clementinepass.decisions import incarnations
from clementinepass.direct import members as membership


class DesiredVersion(typing.NamedTuple):
    """A version of a model's weights that the operator named.

    :param age: seconds since its naming was acknowledged, at the sender.
    :param guessed: whether that is a guess, since the sender began later.
    """

    model: str
    version: int
    age: float
    guessed: bool = False


class EngineLoad(typing.NamedTuple):
    """The requests at the engine beside an agent, whoever sent them.

    :param active: those that it runs.
    :param queued: those that wait there.
    :param started: when the engine started, as its listing says it.
    """

    active: int
    queued: int
    started: int = incarnations.UNTOLD


class EngineStatus(typing.NamedTuple):
    """The layers of one version that the engine at an address holds.

    :param congested: whether its machine's link is slow at present.
    :param started: when the engine started, as its listing says it.
    """

    address: str
    version: int
    first: int
    end: int
    congested: bool = False
    started: int = incarnations.UNTOLD


class Heartbeat(msgspec.Struct, kw_only=True):
    """One message.

    :param sender: ``None`` from an agent, which is no entry.
    :param members: entries that the sender knows.
    :param digests: entries that it heard of just now.
    :param wants_introduction: whether the sender is to be told at once who gets this.
    :param in_flight_by_endpoint: the sender's requests at endpoints.
    :param operator_offset: up to where it has read the operator's records.
    :param endpoints_offset: the same of the endpoints' records.
    :param configuration_version: the version of the configuration in force there.
    :param operator_read_ends_in: seconds until the sender's read of the operator's
        records ends that waits for changes; 0 where none does.
    :param endpoints_read_ends_in: the same of the endpoints' records.
    :param engine_statuses: what agents read of their engines.
    :param load: of the sender's engine; such a message says nothing else.
    :param wants_load: whether the sender, an entry, uses the engine of the
        agent that gets this, and is to be told of its load for a while.
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
    desired_versions: tuple[DesiredVersion, ...] = ()
    engine_statuses: tuple[EngineStatus, ...] = ()
    load: EngineLoad | None = None
    wants_load: bool = False
