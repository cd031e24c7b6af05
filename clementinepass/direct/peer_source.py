"""Get manifests and pieces from another agent."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import piece_protocol, weights
from clementinepass.http import channel, messages, pool

_OK = 200
_AVAILABILITY_SECONDS = 3.0
#: Seconds for a piece from another agent: those before it are sent first, and
#: on a link narrowed to a tenth five of them take as long.
_PIECE_SECONDS = 4.0
_MANIFEST_SECONDS = 2.5
#: Connections to one agent.
_MAX_CONNECTIONS = 8


class PeerSource:
    """Get manifests and pieces from another agent.

    :param ip: its IP number.
    :param port: the system's own port.
    """

    __slots__ = ('_ip', '_pool')

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._pool = pool.Pool(ip, port, _MAX_CONNECTIONS)

    @property
    def last_received_at(self) -> float:
        """Return the monotonic seconds at which a byte of it last came."""
        return self._pool.heard

    async def manifest(
        self,
        model: str,
        version: int,
    ) -> weights.Manifest | None:
        """Return the manifest of a version; ``None`` if it has none.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{piece_protocol.MANIFESTS}/{model}/{version}'
        body = await self._fetch_body(target, _MANIFEST_SECONDS)
        if body is None:
            return None
        digests = self._decode(body, tuple[str, ...])
        return weights.Manifest(model, version, digests)

    async def available_pieces(
        self,
        model: str,
        version: int,
        known_count: int,
    ) -> weights.Availability:
        """Return what it has, soon after there is more than known.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{piece_protocol.NUMBERS}/{model}/{version}/{known_count}'
        body = await self._fetch_body(target, _AVAILABILITY_SECONDS)
        if body is None:
            return weights.Availability()
        reply = self._decode(body, piece_protocol.AvailabilityReply)
        return weights.Availability(
            frozenset(reply.numbers),
            reply.slow,
            len(reply.numbers),
        )

    async def piece(
        self,
        model: str,
        version: int,
        number: int,
    ) -> weights.Piece:
        """Return a piece, unchecked, waiting a moment until it is there.

        :raises PeerUnavailableError: the agent doesn't answer.
        """
        target = f'/{piece_protocol.PIECES}/{model}/{version}/{number}'
        response = await self._request(target, _PIECE_SECONDS)
        headers = response.headers
        return weights.Piece(
            response.body if response.status == _OK else None,
            source_piece_count=_parse_count(
                headers.get(piece_protocol.PIECE_COUNT_HEADER.lower())
            ),
            seconds=response.seconds,
            is_source_slow=headers.get(piece_protocol.SLOW_HEADER.lower())
            == b'1',
        )

    def _decode(self, found: bytes, kind: typing.Any) -> typing.Any:
        try:
            return msgspec.json.decode(found, type=kind)
        except msgspec.MsgspecError as error:
            raise errors.MalformedMessageError(
                str(error),
                step='decode',
                peer=self._ip,
            ) from error

    async def _fetch_body(self, target: str, seconds: float) -> bytes | None:
        response = await self._request(target, seconds)
        return response.body if response.status == _OK else None

    async def _request(self, target: str, seconds: float) -> pool.Fetched:
        request = messages.request_bytes(
            b'GET',
            target.encode(),
            [(b'Host', self._ip.encode())],
            b'',
        )
        try:
            return await pool.fetch(self._pool, request, seconds)
        except channel.ChannelBrokenError as error:
            raise errors.PeerUnavailableError(
                error.detail,
                step=target,
                peer=self._ip,
            ) from error


def _parse_count(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
