"""Messages by which entries ask agents for slots of their engines."""

from __future__ import annotations

import typing

from clementinepass.decisions import incarnations


class SlotQuery(typing.NamedTuple):
    """An entry asks for a slot of the engine beside the receiving agent.

    :param number: the entry's number of the request that waits.
    :param urgency: 0 is served first.
    :param timely_seconds: for how long an answer in time is possible; 0 if it
        is not.
    :param wait_seconds: for how long it waits.
    """

    number: int
    urgency: int
    timely_seconds: float
    wait_seconds: float


class SlotOffer(typing.NamedTuple):
    """An agent offers a slot of its engine to a waiting request.

    :param started_ms: start of the engine in Unix time, as in its listing.
    """

    number: int
    started_ms: int = incarnations.UNKNOWN_START


class SlotReturn(typing.NamedTuple):
    """An entry does not use a slot that it was offered."""

    number: int


SlotMessage = SlotQuery | SlotOffer | SlotReturn
