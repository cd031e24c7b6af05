"""Requests as admission sees them, and what is decided about them."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from clementinepass.decisions import reasons


class PriorityClass(enum.IntEnum):
    """How urgent a request is to its own team; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class DecisionKind(enum.Enum):
    """What was decided about a request."""

    #: Start it now; a slot is taken until it is reported as finished.
    ADMIT = 'admit'
    #: It waits; a later decision admits or refuses it.
    QUEUE = 'queue'
    #: It is refused and was not run.
    REFUSE = 'refuse'


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """A request that asks for admission."""

    #: Unique among the requests in the entry.
    request_id: str
    #: The team whose promise it counts against.
    team: str
    priority_class: PriorityClass
    #: Monotonic seconds by which the whole answer must be there.
    deadline: float
    #: The expected size in any unit; the time for a unit is learned.
    cost: float = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """What was decided about a ticket, and why."""

    ticket: Ticket
    kind: DecisionKind
    #: Set for refusals only.
    reason: reasons.Refusal | None = None
    #: Seconds after which asking again makes sense; refusals only.
    retry_after: float = 0
