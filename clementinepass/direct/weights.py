"""What an agent asks of its engine, the origin and other agents."""

from __future__ import annotations

import enum
import typing

from clementinepass.decisions import incarnations
from clementinepass.direct import endpoints


class EngineReport(typing.NamedTuple):
    """An engine's own word, fresh.

    :param busy: whether an order is in progress.
    :param orders: how many orders it has begun since it started.
    :param active: requests running.
    :param started: when it started, as its listing says it.
    """

    weights: endpoints.Weights
    busy: bool
    orders: int
    active: int
    queued: int
    started: int = incarnations.UNKNOWN_START


class Piece(typing.NamedTuple):
    """A piece as it came, unchecked.

    :param payload: ``None`` where the source doesn't have it.
    :param others: how many pieces of the version its source has, if it says.
    :param seconds: from the first byte of the answer to the last.
    :param slow: whether pieces come slowly to the source itself.
    """

    payload: bytes | None
    source_piece_count: int | None = None
    seconds: float = 0
    is_source_slow: bool = False


class Availability(typing.NamedTuple):
    """What an agent that gets pieces has of them.

    :param slow: whether they come slowly to it.
    :param total: how many it has; ``None`` where it doesn't say.
    """

    numbers: frozenset[int] = frozenset()
    is_slow: bool = False
    total: int | None = None


class Manifest(typing.NamedTuple):
    """The SHA-256 of each piece of a version, in hexadecimal."""

    model: str
    version: int
    digests: tuple[str, ...]


class OrderResult(enum.Enum):
    """What an engine said to an order."""

    ACCEPTED = 'accepted'
    #: It was in effect already.
    DONE = 'done'
    #: It doesn't fit the engine's state.
    REJECTED = 'rejected'
    #: There was no answer; it may have been accepted.
    UNKNOWN = 'unknown'


class Engine(typing.Protocol):
    """The engine on the agent's machine."""

    async def report(self) -> EngineReport:
        """Return its state.

        :raises PeerUnavailableError: it doesn't answer.
        """

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return the numbers of the pieces that lie staged.

        :raises PeerUnavailableError: it doesn't answer.
        """

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece, in place of what lies there.

        :raises PeerUnavailableError: it doesn't answer.
        """

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece as it is now; ``None`` if there is none.

        :raises PeerUnavailableError: it doesn't answer.
        """

    async def load(
        self,
        model: str,
        version: int,
        report: EngineReport,
    ) -> OrderResult:
        """Order it to load what is staged, if it is still as reported."""


class Source(typing.Protocol):
    """Hands out manifests and pieces: the origin, or another agent."""

    async def manifest(self, model: str, version: int) -> Manifest | None:
        """Return the manifest of a version; ``None`` if it has none.

        :raises PeerUnavailableError: it doesn't answer.
        """

    @property
    def last_received_at(self) -> float:
        """Return the monotonic seconds at which a byte of it last came."""

    async def available_pieces(
        self,
        model: str,
        version: int,
        known_count: int,
    ) -> Availability:
        """Return what it has, soon after there is more than known.

        :raises PeerUnavailableError: it doesn't answer.
        """

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> Piece:
        """Return a piece, unchecked, waiting a moment until it is there.

        :raises PeerUnavailableError: it doesn't answer.
        """
