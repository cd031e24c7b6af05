"""Encode and decode the messages between entries and agents as Cap'n Proto.

Messages from a peer are validated here: text that is not valid UTF-8 and
unknown enumeration values raise :class:`errors.MalformedMessageError`.
"""

from __future__ import annotations

import enum
import typing

import capnp
import msgspec

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_Message = typing.TypeVar('_Message')


class Phase(enum.Enum):
    """Whether an agent accepts requests: not yet, now, or no longer."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class Peer(msgspec.Struct, frozen=True):
    """Identity of the process at one end of a connection."""

    id: str
    #: Increases with each start of the process.
    incarnation: int
    failure_domain: str


class AgentState(msgspec.Struct, frozen=True):
    """State that an agent reports to the entries."""

    sequence: int
    phase: Phase
    #: ``engine`` or ``service``.
    kind: str
    #: The model or service that the endpoint runs.
    serves: str
    #: The version served; empty while the gate is closed.
    version: str
    running: int
    capacity: int
    #: The configuration revision in force.
    revision: int
    incarnation: int
    #: The desired version, from the configuration.
    wanted: str = ''
    chunks_held: int = 0
    chunks_wanted: int = 0
    #: Why the desired version is not being served; empty if nothing is wrong.
    trouble: str = ''
    bytes_origin: int = 0
    bytes_peers: int = 0
    #: Bytes of manifests, which are fetched from the weight store.
    bytes_store: int = 0


#: The gate's reason for rejecting a suspect request while another suspect
#: runs.
SUSPECT_RUNNING = 'suspect_running'


class Dispatch(msgspec.Struct, frozen=True):
    """One attempt of a request, sent from an entry to an agent."""

    request_id: str
    attempt: int
    team: str
    target: str
    #: The version of weights pinned for this attempt; empty for plain services.
    version: str
    method: str
    path: str
    content_type: str
    body: bytes
    #: Milliseconds until the caller's deadline.
    remaining: int
    stream: bool
    priority: int
    #: Unix time in milliseconds after which the gate must not admit the
    #: attempt.
    admit_before: int
    #: Whether the request was in flight when an endpoint died.
    suspect: bool = False


class Verdict(msgspec.Struct, frozen=True):
    """The gate's answer to a dispatch or a resumption."""

    accepted: bool
    reason: str = ''
    #: Milliseconds to wait before the next try; 0 to retry at once.
    retry_after: int = 0


def read(
    read_message: Callable[[typing.Any], _Message],
    reader: typing.Any,
    peer: str,
) -> _Message:
    """Decode one message; convert decoding failures into a typed error.

    :param read_message: decodes the message; its name is the error's step.
    :param peer: the sender, named in the error.
    :raises MalformedMessageError: the message is malformed.
    """
    try:
        return read_message(reader)
    except (capnp.KjException, ValueError, AttributeError) as error:
        raise errors.MalformedMessageError(
            f'malformed message: {error}',
            step=read_message.__name__,
            peer=peer,
        ) from error


def read_peer(reader: typing.Any) -> Peer:
    """Decode the identity of a peer."""
    return Peer(
        id=reader.id,
        incarnation=reader.incarnation,
        failure_domain=reader.failureDomain,
    )


def write_peer(peer: Peer, builder: typing.Any) -> None:
    """Encode the identity of a process."""
    builder.id = peer.id
    builder.incarnation = peer.incarnation
    builder.failureDomain = peer.failure_domain


def read_state(reader: typing.Any) -> AgentState:
    """Decode an agent's state."""
    return AgentState(
        sequence=reader.sequence,
        phase=Phase(str(reader.phase)),
        kind=reader.kind,
        serves=reader.serves,
        version=reader.version,
        running=reader.running,
        capacity=reader.capacity,
        revision=reader.revision,
        incarnation=reader.incarnation,
        wanted=reader.wanted,
        chunks_held=reader.chunksHeld,
        chunks_wanted=reader.chunksWanted,
        trouble=reader.trouble,
        bytes_origin=reader.bytesOrigin,
        bytes_peers=reader.bytesPeers,
        bytes_store=reader.bytesStore,
    )


def write_state(state: AgentState, builder: typing.Any) -> None:
    """Encode an agent's state."""
    builder.sequence = state.sequence
    builder.phase = state.phase.value
    builder.kind = state.kind
    builder.serves = state.serves
    builder.version = state.version
    builder.running = state.running
    builder.capacity = state.capacity
    builder.revision = state.revision
    builder.incarnation = state.incarnation
    builder.wanted = state.wanted
    builder.chunksHeld = state.chunks_held
    builder.chunksWanted = state.chunks_wanted
    builder.trouble = state.trouble
    builder.bytesOrigin = state.bytes_origin
    builder.bytesPeers = state.bytes_peers
    builder.bytesStore = state.bytes_store


def read_dispatch(reader: typing.Any) -> Dispatch:
    """Decode a dispatch."""
    return Dispatch(
        request_id=reader.requestId,
        attempt=reader.attempt,
        team=reader.team,
        target=reader.target,
        version=reader.version,
        method=reader.method,
        path=reader.path,
        content_type=reader.contentType,
        body=bytes(reader.body),
        remaining=reader.remaining,
        stream=reader.stream,
        priority=reader.priority,
        admit_before=reader.admitBefore,
        suspect=reader.suspect,
    )


def write_dispatch(dispatch: Dispatch, builder: typing.Any) -> None:
    """Encode a dispatch."""
    builder.requestId = dispatch.request_id
    builder.attempt = dispatch.attempt
    builder.team = dispatch.team
    builder.target = dispatch.target
    builder.version = dispatch.version
    builder.method = dispatch.method
    builder.path = dispatch.path
    builder.contentType = dispatch.content_type
    builder.body = dispatch.body
    builder.remaining = dispatch.remaining
    builder.stream = dispatch.stream
    builder.priority = dispatch.priority
    builder.admitBefore = dispatch.admit_before
    builder.suspect = dispatch.suspect


def read_verdict(reader: typing.Any) -> Verdict:
    """Decode a verdict."""
    return Verdict(
        accepted=reader.accepted,
        reason=reader.reason,
        retry_after=reader.retryAfter,
    )


def write_verdict(verdict: Verdict, builder: typing.Any) -> None:
    """Encode a verdict."""
    builder.accepted = verdict.accepted
    builder.reason = verdict.reason
    builder.retryAfter = verdict.retry_after
