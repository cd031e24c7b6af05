"""Get manifests and pieces from another agent."""

from __future__ import annotations

import typing

import msgspec

from clementinepass import errors
from clementinepass.direct import piece_words, weights
from clementinepass.http import channel, messages, pool

_OK = 200
_NUMBERS_SECONDS = 3.0
#: Seconds for a piece from another agent: those before it are sent first, and
#: on a link narrowed to a tenth five of them take as long.
_PIECE_SECONDS = 4.0
_MANIFEST_SECONDS = 2.5
#: Connections to one agent.
_MOST_CONNECTIONS = 8


class PeerSource:
    """Get manifests and pieces from another agent.

    :param ip: its IP number.
    :param port: the system's own port.
    """

    __slots__ = ('_ip', '_pool')

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._pool = pool.Pool(ip, port, _MOST_CONNECTIONS)

    @property
    def heard(self) -> float:
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
        target = f'/{piece_words.MANIFESTS}/{model}/{version}'
        found = await self._get(target, _MANIFEST_SECONDS)
        if found is None:
            return None
        digests = self._decode(found, tuple[str, ...])
        return weights.Manifest(model, version, digests)

    async def numbers(
        self,
        model: str,
        version: int,
        known: int,
    ) -> weights.Holding:
        """Return what it has, soon after there is more than known.

        :raises PeerUnavailableError: the agent doesn't answer.
        :raises MalformedMessageError: it answers with something else.
        """
        target = f'/{piece_words.NUMBERS}/{model}/{version}/{known}'
        found = await self._get(target, _NUMBERS_SECONDS)
        if found is None:
            return weights.Holding()
        state = self._decode(found, piece_words.State)
        return weights.Holding(
            frozenset(state.numbers),
            state.slow,
            len(state.numbers),
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
        target = f'/{piece_words.PIECES}/{model}/{version}/{number}'
        fetched = await self._fetch(target, _PIECE_SECONDS)
        headers = fetched.headers
        return weights.Piece(
            fetched.body if fetched.status == _OK else None,
            others=_count(headers.get(piece_words.OTHERS.lower())),
            seconds=fetched.seconds,
            slow=headers.get(piece_words.SLOW.lower()) == b'1',
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

    async def _get(self, target: str, seconds: float) -> bytes | None:
        fetched = await self._fetch(target, seconds)
        return fetched.body if fetched.status == _OK else None

    async def _fetch(self, target: str, seconds: float) -> pool.Fetched:
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


def _count(told: bytes | None) -> int | None:
    return int(told) if told is not None and told.isdigit() else None
