"""What the transfer of weights asks of its surroundings."""

from __future__ import annotations

import enum
import typing

import msgspec


class Phase(enum.Enum):
    """How far a replica is with the version wanted."""

    #: No version is wanted.
    IDLE = 'idle'
    #: Chunks are on their way.
    FETCHING = 'fetching'
    #: Everything is held and verified; the wave has not come round yet.
    WAITING = 'waiting'
    #: The engine has been ordered to load.
    LOADING = 'loading'
    #: The engine serves the version wanted.
    SERVING = 'serving'
    #: It can't go on by itself; the progress says why.
    STUCK = 'stuck'


#: The percentage of replicas that load at once where nothing else is said.
DEFAULT_WAVE = 25


class Wanted(msgspec.Struct, frozen=True):
    """The version that a replica is to serve."""

    version: str
    #: The digest that names the manifest in the weight store.
    manifest: str
    #: The configuration revision; the order's fencing number.
    revision: int
    #: The percentage of replicas that may be loading at once.
    wave: int = DEFAULT_WAVE


class Member(msgspec.Struct, frozen=True):
    """An agent that serves the same model."""

    id: str
    host: str
    port: int
    region: str
    failure_domain: str
    alive: bool = True


class Holdings(msgspec.Struct, frozen=True):
    """Which chunks of a manifest a peer has; the first chunk's bit lowest."""

    held: int = 0
    #: Chunks on their way to the peer from the origin or another domain.
    coming: int = 0
    #: Differs whenever something changed, also after a restart.
    sequence: int = 0


class Standing(msgspec.Struct, frozen=True):
    """What a peer says of its own replica."""

    phase: Phase
    #: The configuration revision of the version that it wants.
    revision: int


class Members(typing.Protocol):
    """The view of who else serves a model; it lags and differs."""

    def peers_for(self, model: str) -> typing.Sequence[Member]:
        """Return the agents of a model, with or without oneself."""


class ChunkPeers(typing.Protocol):
    """Other agents, as sources of chunks.

    Every call may raise ``PeerUnavailableError``, and may never return; the
    caller sets the time limit. ``PeerBusyError`` means: ask another for now.
    """

    async def manifest(self, member: Member, digest: str) -> bytes:
        """Return a manifest's bytes."""

    async def holdings(
        self,
        member: Member,
        manifest: str,
        known: int,
    ) -> Holdings:
        """Return what a peer holds once that differs from ``known``."""

    async def read(
        self,
        member: Member,
        digest: str,
        offset: int,
        length: int,
    ) -> bytes:
        """Return a slice of a chunk."""

    async def standing(self, member: Member) -> Standing:
        """Return how far a peer's replica is."""

    def reset(self, member: Member) -> None:
        """Give the connection to a peer up; the next call opens a new one."""


class Gate(typing.Protocol):
    """Stands before the engine and lets requests through."""

    def open(self, version: str) -> None:
        """Let new requests for ``version`` through, and no others."""

    def close(self, reason: str) -> None:
        """Let no new request through; those in progress go on."""
