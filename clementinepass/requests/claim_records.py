"""Records of idempotency claims, and the streams that hold them."""

from __future__ import annotations

import hashlib

import msgspec
import xxhash

#: Streams over which claims are spread.  Each entry appends to each at its
#: own pace, so more of them mean more appends a second at the log service;
#: fewer mean longer reading for an entry that has just started.
PARTITIONS = 4
#: Bytes of an answer's body that a record keeps.  Dispatches are answered
#: by short documents; longer answers are recorded as ran without the body.
MAX_KEPT_BODY = 64 * 1024
_STREAM_PREFIX = 'claims'


class KeptAnswer(msgspec.Struct, frozen=True):
    """An answer that a repeat gets from the record."""

    status: int
    content_type: str
    body: bytes


class Claim(msgspec.Struct, frozen=True, tag='claim'):
    """An entry wants to run the request that a key stands for."""

    key: str
    #: Names this claim among all others.
    id: str
    #: The process that claims.
    holder: str
    #: The request's fingerprint: a key stands for one request.
    fingerprint: str


class Ran(msgspec.Struct, frozen=True, tag='ran'):
    """The request ran; its answer, unless it was too large."""

    key: str
    id: str
    fingerprint: str
    answer: KeptAnswer | None = None


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The request may have run; its holder knows no more."""

    key: str
    id: str
    fingerprint: str


class Released(msgspec.Struct, frozen=True, tag='released'):
    """The request was not run, and its holder will not run it."""

    key: str
    id: str


#: A record that says how a claim ended.
Outcome = Ran | Unknown | Released
#: Any record of a claims stream.
ClaimRecord = Claim | Outcome

_decoder = msgspec.msgpack.Decoder(ClaimRecord)


def encode(record: ClaimRecord) -> bytes:
    """Return a record as the payload of the log."""
    return msgspec.msgpack.encode(record)


def decode(payload: bytes) -> ClaimRecord | None:
    """Return the record of a payload; None for one that isn't a record.

    A payload that nobody can decode must not stop every entry's reading.
    All entries skip it alike.
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError:
        return None


def key_of(team: str, idempotency_key: str) -> str:
    """Return what stands for a team's key in the records.

    A digest, so that the log shows no caller's keys and their length does
    not matter.
    """
    team_digest = hashlib.sha256(team.encode()).digest()
    return hashlib.sha256(team_digest + idempotency_key.encode()).hexdigest()


def partition_of(key: str) -> int:
    """Return the partition of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % PARTITIONS


def stream_of(partition: int) -> str:
    """Return the name of a partition's stream."""
    return f'{_STREAM_PREFIX}-{partition}'


def kept(status: int, content_type: str, body: bytes) -> KeptAnswer | None:
    """Return an answer to be kept, or None for one that is too large."""
    if len(body) > MAX_KEPT_BODY:
        return None
    return KeptAnswer(status, content_type, body)
