"""What a request is, and by what it is recognised when it comes again."""

from __future__ import annotations

import enum
import functools
import hashlib
import secrets
import typing

import msgspec

_ID_BYTES = 16
_LENGTH_BYTES = 8
#: Hexadecimal digits of the digest of a prompt part that are used. Processes
#: report many of them.
_PART_DIGITS = 16
#: Digests of prompt parts that are cached: long prompts share most parts.
_MAX_CACHED_DIGESTS = 8192
#: Longest id of a part whose digest is cached.
_MAX_CACHED_ID_BYTES = 64


class TargetKind(enum.Enum):
    """What stands behind a target's name."""

    MODEL = 'model'
    SERVICE = 'service'


class Priority(enum.Enum):
    """The class by which a request waits and is shed."""

    INTERACTIVE = 'interactive'
    BATCH = 'batch'


class AttemptKey(typing.NamedTuple):
    """What identifies one attempt of one request."""

    request_id: str
    attempt: int


class Request(msgspec.Struct, frozen=True):
    """One caller's request, as an entry understood it."""

    id: str
    team: str
    #: The model's or the service's name.
    target: str
    kind: TargetKind
    method: str
    path: str
    body: bytes
    #: Monotonic seconds, on the clock of the entry, by which to answer.
    deadline: float
    content_type: str = 'application/json'
    #: Whether the answer is a stream of server-sent events.
    stream: bool = False
    #: Whether a second run does no harm.
    idempotent: bool = True
    #: The caller's ``Idempotency-Key``; empty for none.
    idempotency_key: str = ''
    priority: Priority = Priority.INTERACTIVE

    @property
    def needs_claim(self) -> bool:
        """Tell whether a claim in the log goes before the dispatch."""
        return bool(self.idempotency_key)

    def fingerprint(self) -> str:
        """Return what is the same when the caller sends the request again."""
        return fingerprint(
            self.team,
            self.target,
            self.method,
            self.path,
            self.body,
        )


def new_request_id() -> str:
    """Return a request id that no other process will make."""
    return secrets.token_hex(_ID_BYTES)


def fingerprint(
    team: str,
    target: str,
    method: str,
    path: str,
    body: bytes,
) -> str:
    """Return a digest of all that an endpoint sees of a request.

    SHA-256 and not a faster hash: a fingerprint refuses requests and tells
    a misused key, so no caller may craft one equal to another's.
    """
    digest = hashlib.sha256()
    for text in (team, target, method, path):
        _add(digest, text.encode())
    _add(digest, body)
    return digest.hexdigest()


def prompt_part_digest(target: str, part_id: bytes) -> str:
    """Return a digest by which a part of prompts is recognised.

    :param target: the model or service that reads the prompt; the same part may
        crash one of them and not another.
    """
    if len(part_id) > _MAX_CACHED_ID_BYTES:
        # A cache of ids as long as a head would fill the memory.
        return _prompt_part_digest(target, part_id)
    return _cached_prompt_part_digest(target, part_id)


@functools.lru_cache(maxsize=_MAX_CACHED_DIGESTS)
def _cached_prompt_part_digest(target: str, part_id: bytes) -> str:
    return _prompt_part_digest(target, part_id)


def _prompt_part_digest(target: str, part_id: bytes) -> str:
    digest = hashlib.sha256()
    for part in (target.encode(), part_id):
        _add(digest, part)
    return digest.hexdigest()[:_PART_DIGITS]


def _add(digest: hashlib._Hash, part: bytes) -> None:
    # The length goes first, so that no two lists of parts read alike.
    digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
    digest.update(part)
