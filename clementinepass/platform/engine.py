"""Adapters for the engine beside an agent and for the origin of weights."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import weights
from clementinepass.http import channel, messages, pool
from clementinepass.platform import decoding, draining, registry

_OK = 200
_ACCEPTED = 202
_NOT_FOUND = 404
_GONE = 410
#: Timeout of a call to the local engine. The engine answers within a
#: millisecond, and takes longer on a slow machine.
_ENGINE_TIMEOUT_SECONDS = 2.0
#: Timeout of fetching a piece from the origin. This takes a sixth of a second
#: when half of the origin's link is free, and many times that on a narrow link.
_PIECE_TIMEOUT_SECONDS = 2.5
_MANIFEST_TIMEOUT_SECONDS = 1.5
_T = typing.TypeVar('_T')


class _CamelStruct(msgspec.Struct, rename='camel'):
    """A JSON body with camel-case names; unknown fields are ignored."""


class _Report(_CamelStruct):
    """The engine's state; fields that decisions depend on are required.

    With defaults, a report without its fields would look like that of an
    engine without weights that has started no order, and the agent would
    order the engine to load.
    """

    models: list[registry.Model]
    #: Whether an order is in progress; requests in progress don't count.
    busy: bool
    #: Number of orders accepted. The field of the same name in an endpoint's
    #: record counts heartbeats.
    sequence: decoding.Count
    active: decoding.Count
    queued: decoding.Count
    layers: registry.Layers | list[registry.Layers] | None = None
    #: Factor by which the engine is slower than usual; only one that is slow
    #: or that may become so gives it.
    pace: typing.Annotated[float, msgspec.Meta(gt=0)] = 1
    #: Unix time of the engine's start; older engines omit it.
    born: decoding.UnixMilliseconds | msgspec.UnsetType = msgspec.UNSET


class _StagedPieces(_CamelStruct):
    #: Numbers of the staged pieces.
    held: list[decoding.Count]


class _Manifest(_CamelStruct):
    model: decoding.Name
    version: decoding.PositiveCount
    digests: list[str]


class _Order(_CamelStruct):
    op: str
    model: str
    version: int
    #: Whether running requests are finished (``queue``) or aborted
    #: (``truncate``) before the switch.
    switch_mode: str
    #: Number of orders that the engine must have started, or it rejects the
    #: order.
    expected: int
    #: The engine rejects a token that is lower than the highest it has seen.
    fencing_token: int


class _Client:
    """HTTP client that exchanges complete messages with one address."""

    __slots__ = ('_address', '_pool')

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._pool = pool.Pool.from_address(address, max_connections)

    @property
    def last_received_at(self) -> float:
        """Monotonic time in seconds at which the last byte was received."""
        return self._pool.last_received_at

    async def call(
        self,
        method: bytes,
        target: str,
        body: bytes = b'',
        seconds: float = _ENGINE_TIMEOUT_SECONDS,
        content_type: bytes = b'application/json',
    ) -> pool.Answer:
        """Send a request and return the complete answer.

        :raises PeerUnavailableError: no complete answer arrived in time.
        """
        pairs = [(b'Host', self._address.encode())]
        if body:
            pairs.append((b'Content-Type', content_type))
        request = messages.encode_request(method, target.encode(), pairs, body)
        try:
            return await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PeerUnavailableError(
                error.detail,
                step=target.partition('?')[0],
                peer=self._address,
            ) from error

    def check(self, answer: pool.Answer, step: str) -> None:
        """Check that an answer's status is a success.

        :raises PeerUnavailableError: the status is another.
        """
        if answer.status not in {_OK, _ACCEPTED}:
            raise errors.PeerUnavailableError(
                f'status {answer.status}',
                step=step,
                peer=self._address,
            )

    def decode(
        self,
        answer: pool.Answer,
        body_type: type[_T],
        step: str,
    ) -> _T:
        """Decode an answer's body into ``body_type``.

        :raises MalformedMessageError: the body is not JSON of that type.
        """
        return decoding.decode(answer.body, body_type, step, self._address)


class HttpEngine:
    """Adapter for the HTTP protocol of the engine on the same machine.

    :param address: the engine's address, ``host:port``.
    """

    __slots__ = ('_client',)

    def __init__(self, address: str) -> None:
        self._client = _Client(address, max_connections=4)

    async def report(self) -> weights.EngineReport:
        """Return the engine's state.

        :raises PeerUnavailableError: the engine doesn't answer.
        :raises MalformedMessageError: the report could not be decoded.
        """
        answer = await self._client.call(b'GET', '/api/report')
        self._client.check(answer, 'report')
        report = self._client.decode(answer, _Report, 'report')
        return weights.EngineReport(
            registry.loaded_weights(report.models, report.layers),
            report.busy,
            report.sequence,
            report.active,
            report.queued,
            registry.start_time(report.born),
            is_draining=draining.is_draining(answer.headers),
            pace=report.pace,
        )

    async def staged_numbers(self, model: str) -> frozenset[int]:
        """Return the numbers of the staged pieces.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        answer = await self._client.call(b'GET', f'/api/stage-get/{model}')
        if answer.status == _NOT_FOUND:
            return frozenset()
        self._client.check(answer, 'list staged pieces')
        staged = self._client.decode(
            answer, _StagedPieces, 'list staged pieces'
        )
        return frozenset(staged.held)

    async def stage(self, model: str, number: int, piece: bytes) -> None:
        """Stage a piece, replacing the staged piece of that number.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        answer = await self._client.call(
            b'PUT',
            f'/api/stage-put/{model}?num={number}',
            piece,
            content_type=b'application/octet-stream',
        )
        self._client.check(answer, 'stage')

    async def staged_piece(self, model: str, number: int) -> bytes | None:
        """Return the content of a staged piece; ``None`` if it is not staged.

        :raises PeerUnavailableError: the engine doesn't answer.
        """
        target = f'/api/stage-get/{model}?num={number}'
        answer = await self._client.call(b'GET', target)
        if answer.status == _NOT_FOUND:
            return None
        self._client.check(answer, 'read staged piece')
        return answer.body

    async def load(
        self,
        model: str,
        version: int,
        report: weights.EngineReport,
    ) -> weights.OrderResult:
        """Order the engine to load the staged pieces.

        The order states the number of orders that the engine had started at
        the time of ``report``, so that a delayed order has no effect. The
        version is also the order's fencing token.
        """
        order = _Order(
            'start', model, version, 'truncate', report.orders, version
        )
        body = msgspec.json.encode(order)
        try:
            answer = await self._client.call(b'POST', '/api/order', body)
        except errors.PeerUnavailableError:
            return weights.OrderResult.UNKNOWN
        if answer.status == _ACCEPTED:
            return weights.OrderResult.ACCEPTED
        if answer.status == _OK:
            return weights.OrderResult.DONE
        return weights.OrderResult.REJECTED


class HttpOrigin:
    """Adapter for the HTTP protocol of the origin of weights.

    :param address: the origin's address, ``host:port``.
    """

    __slots__ = ('_client',)

    def __init__(self, address: str) -> None:
        self._client = _Client(address, max_connections=4)

    @property
    def last_received_at(self) -> float:
        """Monotonic time in seconds at which the last byte was received."""
        return self._client.last_received_at

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version; ``None`` if the origin has none.

        :raises PeerUnavailableError: the origin doesn't answer.
        :raises MalformedMessageError: the manifest could not be decoded.
        """
        target = f'/api/manifest/{model}?version={version}'
        answer = await self._client.call(
            b'GET',
            target,
            seconds=_MANIFEST_TIMEOUT_SECONDS,
        )
        if answer.status in {_GONE, _NOT_FOUND}:
            return None
        self._client.check(answer, 'manifest')
        manifest = self._client.decode(answer, _Manifest, 'manifest')
        if (manifest.model, manifest.version) != (model, version):
            raise errors.MalformedMessageError(
                f'the manifest is that of {manifest.model!r}, version '
                f'{manifest.version}',
                step='manifest',
                peer=model,
            )
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
        """Return an empty availability: the origin always has all pieces."""
        return weights.Availability()

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece; its digest is not verified here.

        :raises PeerUnavailableError: the origin doesn't answer.
        """
        target = f'/api/piece/{model}?num={number}&version={version}'
        answer = await self._client.call(
            b'GET',
            target,
            seconds=_PIECE_TIMEOUT_SECONDS,
        )
        if answer.status in {_GONE, _NOT_FOUND}:
            return weights.Piece(None)
        self._client.check(answer, 'piece')
        return weights.Piece(answer.body, seconds=answer.seconds)
