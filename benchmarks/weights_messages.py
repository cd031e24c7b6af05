"""Messages between the weights bench and its agents, one JSON a line."""

from __future__ import annotations

import typing

import msgspec

from clementinepass.weights import protocols
from clementinepass.weights import settings as weight_settings


class Start(msgspec.Struct, frozen=True):
    """What an agent is started with."""

    id: str
    failure_domain: str
    engine: str
    store: str
    origin: str
    #: Bytes a second on each direction of the instance's link.
    link_rate: float
    #: Live requests a second.
    request_rate: float
    seed: int
    settings: weight_settings.WeightSettings


class Members(msgspec.Struct, frozen=True, tag='members'):
    """The view of the members."""

    members: tuple[protocols.Member, ...]


class Want(msgspec.Struct, frozen=True, tag='want'):
    """A version wanted."""

    version: str
    digest: str
    manifest: str
    revision: int
    #: The percentage of replicas that may load at once.
    wave: int


class Disturb(msgspec.Struct, frozen=True, tag='disturb'):
    """Faults on what this agent sends from now on."""

    corrupt: float = 0
    stall_seconds: float = 0


class Report(msgspec.Struct, frozen=True, tag='report'):
    """Ask for the figures since the last report."""


Order = Members | Want | Disturb | Report


class Listening(msgspec.Struct, frozen=True, tag='listening'):
    """The agent listens."""

    port: int


class Opened(msgspec.Struct, frozen=True, tag='opened'):
    """The gate opened."""

    version: str
    #: Monotonic seconds, the same clock for all processes of a machine.
    at: float
    #: Whether the engine was not serving the whole version then.
    wrong: bool


class Figures(msgspec.Struct, frozen=True, tag='figures'):
    """Figures since the last report."""

    origin: int
    peers: int
    crossed: int
    sent: int
    corrupt: int
    stalled: int
    calls: int
    mismatched: int
    refused: int
    cpu_seconds: float
    first_token_seconds: tuple[float, ...]
    progress: str


Event = Listening | Opened | Figures

decode_order: typing.Callable[[bytes], Order] = msgspec.json.Decoder(
    Order
).decode
decode_event: typing.Callable[[bytes], Event] = msgspec.json.Decoder(
    Event
).decode


def line(message: msgspec.Struct) -> bytes:
    """Encode a message as one line."""
    return b'%s\n' % msgspec.json.encode(message)
