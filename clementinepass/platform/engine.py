"""Adapters for the engine on an agent's machine and the origin of weights."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import weights
from clementinepass.http import channel, messages, pool
from clementinepass.platform import decoding, registry

_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_GONE = 410
#: Seconds for a call to the engine beside; it answers in a millisecond, and
#: later when the machine is slow.
_LOCAL_SECONDS = 2.0
#: Seconds for a piece from the origin: a sixth of a second when half its link
#: is free, and many times that when its link is narrow.
_ORIGIN_SECONDS = 2.5
_MANIFEST_SECONDS = 1.5
_T = typing.TypeVar('_T')


class _Camel(msgspec.Struct, rename='camel'):
    """A body in the engines' spelling; unknown fields are passed over."""


class _Report(_Camel):
    """All that is needed must be there.

    Failure: a report without its fields read as that of an engine that holds
    nothing and has begun no order, and that is what has an engine loaded.
    """

    models: list[registry.Model]
    #: Whether an order is in progress, not whether requests are.
    busy: bool
    #: The number of orders accepted, unlike the field of the same name in
    #: the endpoint's record, which counts heartbeats.
    sequence: decoding.Count
    active: decoding.Count
    queued: decoding.Count
    layers: registry.Layers | list[registry.Layers] | None = None
    #: Milliseconds of Unix time at its start; older engines don't tell it.
    born: decoding.Moment | msgspec.UnsetType = msgspec.UNSET


class _Held(_Camel):
    #: Numbers of the pieces that lie staged.
    held: list[decoding.Count]


class _Manifest(_Camel):
    model: decoding.Name
    version: decoding.Positive
    digests: list[str]


class _Order(_Camel):
    op: str
    model: str
    version: int
    #: Whether running requests are finished first (``queue``) or cut.
    switch_mode: str
    #: The number of orders that the engine must have begun.
    expected: int
    #: The engine refuses one that is lower than any that it has seen.
    fencing_token: int


class _Caller:
    """Exchange whole messages with one address."""

    __slots__ = ('_address', '_pool')

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._pool = pool.Pool.from_address(address, most)

    @property
    def heard(self) -> float:
        """Return the monotonic seconds at which a byte of it last came."""
        return self._pool.heard

    async def call(
        self,
        method: bytes,
        target: str,
        body: bytes = b'',
        seconds: float = _LOCAL_SECONDS,
        content_type: bytes = b'application/json',
    ) -> pool.Fetched:
        """Return the answer.

        :raises PeerUnavailableError: there is none.
        """
        pairs = [(b'Host', self._address.encode())]
        if body:
            pairs.append((b'Content-Type', content_type))
        request = messages.request_bytes(method, target.encode(), pairs, body)
        try:
            return await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PeerUnavailableError(
                error.detail,
                step=target.partition('?')[0],
                peer=self._address,
            ) from error

    def check(self, fetched: pool.Fetched, step: str) -> None:
        """Raise an error for any answer but success.

        :raises PeerUnavailableError: the answer is something else.
        """
        if fetched.status not in {_OK, _ACCEPTED}:
            raise errors.PeerUnavailableError(
                f'status {fetched.status}',
                step=step,
                peer=self._address,
            )

    def decode(
        self,
        fetched: pool.Fetched,
        kind: type[_T],
        step: str,
    ) -> _T:
        """Decode a body.

        :raises MalformedMessageError: it is something else.
        """
        return decoding.decode(fetched.body, kind, step, self._address)


class HttpEngine:
    """Speak the engine's protocol, from its own machine.

    :param address: ``host:port`` of the engine.
    """

    __slots__ = ('_caller',)

    def __init__(self, address: str) -> None:
        self._caller = _Caller(address, most=4)

    async def report(self) -> weights.EngineReport:
        """Return the engine's state.

        :raises PeerUnavailableError: it doesn't answer.
        """
        fetched = await self._caller.call(b'GET', '/api/report')
        self._caller.check(fetched, 'report')
        report = self._caller.decode(fetched, _Report, 'report')
        return weights.EngineReport(
            registry.weights(report.models, report.layers),
            report.busy,
            report.sequence,
            report.active,
            report.queued,
            registry.started(report.born),
        )

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return the numbers of the pieces that lie staged.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        fetched = await self._caller.call(b'GET', f'/api/stage-get/{model}')
        if fetched.status == _NOT_FOUND:
            return frozenset()
        self._caller.check(fetched, 'list what is staged')
        held = self._caller.decode(fetched, _Held, 'list what is staged')
        return frozenset(held.held)

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece, in place of what lies there.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        fetched = await self._caller.call(
            b'PUT',
            f'/api/stage-put/{model}?num={number}',
            piece,
            content_type=b'application/octet-stream',
        )
        self._caller.check(fetched, 'stage')

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return a staged piece as it is now; ``None`` if there is none.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        target = f'/api/stage-get/{model}?num={number}'
        fetched = await self._caller.call(b'GET', target)
        if fetched.status == _NOT_FOUND:
            return None
        self._caller.check(fetched, 'read what is staged')
        return fetched.body

    async def load(
        self,
        model: str,
        version: int,
        report: weights.EngineReport,
    ) -> weights.OrderResult:
        """Order the engine to load what is staged.

        It names the number of orders that the engine had begun when it was
        looked at, so that one that was held up on the way does nothing.
        """
        order = _Order(
            'start', model, version, 'truncate', report.orders, version
        )
        body = msgspec.json.encode(order)
        try:
            fetched = await self._caller.call(b'POST', '/api/order', body)
        except errors.PeerUnavailableError:
            return weights.OrderResult.UNKNOWN
        if fetched.status == _ACCEPTED:
            return weights.OrderResult.ACCEPTED
        if fetched.status == _OK:
            return weights.OrderResult.DONE
        return weights.OrderResult.REJECTED


class HttpOrigin:
    """Speak the protocol of the service that hands out weights.

    :param address: ``host:port``.
    """

    __slots__ = ('_caller',)

    def __init__(self, address: str) -> None:
        self._caller = _Caller(address, most=4)

    @property
    def last_received_at(self) -> float:
        """Return the monotonic seconds at which a byte of it last came."""
        return self._caller.heard

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version; ``None`` if it has none.

        :raises PeerUnavailableError: the origin doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/api/manifest/{model}?version={version}'
        fetched = await self._caller.call(
            b'GET',
            target,
            seconds=_MANIFEST_SECONDS,
        )
        if fetched.status in {_GONE, _NOT_FOUND}:
            return None
        self._caller.check(fetched, 'manifest')
        manifest = self._caller.decode(fetched, _Manifest, 'manifest')
        return weights.Manifest(
            manifest.model,
            manifest.version,
            tuple(manifest.digests),
        )

    async def available_pieces(
        self,
        model: str,
        version: int,
        known_count: int,
    ) -> weights.Availability:
        """Return nothing: the origin has all pieces, and isn't asked."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, unchecked.

        :raises PeerUnavailableError: the origin doesn't answer.
        """
        target = f'/api/piece/{model}?num={number}&version={version}'
        fetched = await self._caller.call(
            b'GET',
            target,
            seconds=_ORIGIN_SECONDS,
        )
        if fetched.status in {_GONE, _NOT_FOUND}:
            return weights.Piece(None)
        self._caller.check(fetched, 'piece')
        return weights.Piece(fetched.body, seconds=fetched.seconds)
