"""Interfaces of an agent to its engine, the origin and other agents."""

from __future__ import annotations

import enum
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints


class EngineReport(typing.NamedTuple):
    """The state of an engine at the time of the report.

    :param weights: the layers that are loaded.
    :param is_busy: whether an order is in progress.
    :param orders: how many orders the engine has begun since its start.
    :param active: how many requests are running.
    :param queued: how many requests wait in the engine.
    :param started_ms: when the engine started, as its listing states it.
    :param is_draining: whether the engine drains; final for its start.
    :param pace: factor by which the engine is slower than usual.
    """

    weights: endpoints.Weights
    is_busy: bool
    orders: int
    active: int
    queued: int
    started_ms: int = incarnations.UNKNOWN_START
    is_draining: bool = False
    pace: float = 1

    @property
    def accepts_orders(self) -> bool:
        """Return whether the engine may be ordered to load.

        Loading cuts off running requests, and an engine that drains runs no
        others afterwards.
        """
        return not (self.is_busy or self.is_draining)


class Piece(typing.NamedTuple):
    """A piece as received, with its digest unchecked.

    :param payload: ``None`` if the source doesn't have the piece.
    :param source_piece_count: how many pieces of the version the source has;
        ``None`` if unknown.
    :param seconds: from the first byte of the response to the last.
    :param is_source_slow: whether pieces arrive slowly at the source itself.
    """

    payload: bytes | None
    source_piece_count: int | None = None
    seconds: float = 0
    is_source_slow: bool = False


class Availability(typing.NamedTuple):
    """The pieces that an agent has of a version that it fetches.

    :param is_slow: whether pieces arrive there slowly.
    :param total: how many pieces it has; ``None`` if unknown.
    """

    numbers: frozenset[int] = frozenset()
    is_slow: bool = False
    total: int | None = None


class Manifest(typing.NamedTuple):
    """The SHA-256 digests of a version's pieces, in hexadecimal."""

    model: str
    version: int
    digests: tuple[str, ...]


class OrderResult(enum.Enum):
    """How an engine responded to an order."""

    ACCEPTED = 'accepted'
    #: The order was already in effect.
    DONE = 'done'
    #: The order doesn't match the engine's state.
    REJECTED = 'rejected'
    #: There was no response; the order may have been accepted.
    UNKNOWN = 'unknown'


class Engine(typing.Protocol):
    """Client for the engine on the agent's machine."""

    async def report(self) -> EngineReport:
        """Return the engine's state.

        :raises PeerUnavailableError: the engine doesn't answer.
        """

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return the numbers of the staged pieces.

        :raises PeerUnavailableError: the engine doesn't answer.
        """

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece, replacing the one that is staged.

        :raises PeerUnavailableError: the engine doesn't answer.
        """

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return the staged piece as it is now; ``None`` if there is none.

        :raises PeerUnavailableError: the engine doesn't answer.
        """

    async def load(
        self,
        model: str,
        version: int,
        report: EngineReport,
    ) -> OrderResult:
        """Order the engine to load the staged pieces.

        :param report: the state in which the engine must still be.
        """


class Source(typing.Protocol):
    """Client for manifests and pieces at the origin or another agent."""

    async def manifest(self, model: str, version: int) -> Manifest | None:
        """Return the manifest of a version; ``None`` if the source has none.

        :raises PeerUnavailableError: the source doesn't answer.
        """

    @property
    def last_received_at(self) -> float:
        """Return when the source last sent a byte, in monotonic seconds."""

    async def available_pieces(
        self,
        model: str,
        version: int,
        known_count: int,
    ) -> Availability:
        """Return the pieces that the source has.

        The response arrives as soon as there are more than known, or after a
        short time.

        :param known_count: how many of the source's pieces are known already.
        :raises PeerUnavailableError: the source doesn't answer.
        """

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> Piece:
        """Return a piece without checking its digest.

        The source may wait a short time for a piece that it doesn't have yet.

        :raises PeerUnavailableError: the source doesn't answer.
        """
