"""Requests that ask for admission, and the decisions about them."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from clementinepass.decisions import reasons


class PriorityClass(enum.IntEnum):
    """Urgency of a request within its team; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class DecisionKind(enum.Enum):
    """Kind of an admission decision."""

    #: The request starts now and occupies a slot until it is released.
    ADMIT = 'admit'
    #: The request waits until a later decision admits or refuses it.
    QUEUE = 'queue'
    #: The request is refused and does not run.
    REFUSE = 'refuse'


@dataclasses.dataclass(slots=True, frozen=True)
class Ticket:
    """A request that asks for admission."""

    #: Identifier, unique among the requests of the entry.
    request_id: str
    #: Team whose promise the request is counted against.
    team: str
    priority_class: PriorityClass
    #: Time (monotonic seconds) by which the complete answer is due.
    deadline: float
    #: Expected size in an arbitrary unit; admission control measures the
    #: service time of a unit.
    cost: float = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Decision:
    """An admission decision about a ticket, with its reason."""

    ticket: Ticket
    kind: DecisionKind
    #: Reason of a refusal, ``None`` for other decisions.
    reason: reasons.Refusal | None = None
    #: Seconds after which the caller should retry; 0 unless refused.
    retry_after: float = 0
