"""Weights between agents over Cap'n Proto RPC: the server and the clients."""

from __future__ import annotations

import asyncio
import typing

import capnp

from clementinepass import errors
from clementinepass.weights import protocols, seed
from clementinepass.wire import schema

_BITS = 8
_LITTLE: typing.Final = 'little'


class WeightsServer(schema.weights.Weights.Server):
    """Answer other agents out of a seed."""

    def __init__(self, sender: seed.Seed) -> None:
        self._seed = sender

    async def manifest(
        self,
        digest: str,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return a manifest's bytes."""
        try:
            _context.results.payload = self._seed.manifest(digest)
        except errors.PeerBusyError:
            _context.results.payload = b''

    async def holdings(
        self,
        manifest: str,
        known: int,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return what is held once it differs from what is known."""
        holdings = await self._seed.holdings(manifest, known)
        _context.results.held = _packed(holdings.held)
        _context.results.coming = _packed(holdings.coming)
        _context.results.sequence = holdings.sequence

    async def read(
        self,
        digest: str,
        offset: int,
        length: int,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return a slice of a chunk."""
        try:
            part = await self._seed.read(digest, offset, length)
        except errors.PeerBusyError:
            part = b''
        _context.results.payload = part

    async def standing(
        self,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return how far the own replica is."""
        _context.results.phase = self._seed.standing.phase.value
        _context.results.revision = self._seed.standing.revision


class WeightsPeers:
    """Clients of other agents, one connection each, opened on demand.

    Must be used inside ``capnp.kj_loop``. A call that fails closes its
    connection, and a caller that waits in vain resets it: one that went
    silent for good never comes back, while a new one works.

    :param connect_timeout: seconds for opening a connection.
    """

    def __init__(self, connect_timeout: float = 3) -> None:
        self._connect_timeout = connect_timeout
        self._links: dict[protocols.Member, asyncio.Task[_Link]] = {}

    async def manifest(self, member: protocols.Member, digest: str) -> bytes:
        """Return a manifest's bytes."""
        answer = await self._call(
            member, lambda weights: weights.manifest(digest=digest)
        )
        return _not_empty(answer.payload, member)

    async def holdings(
        self,
        member: protocols.Member,
        manifest: str,
        known: int,
    ) -> protocols.Holdings:
        """Return what a peer holds once that differs from ``known``."""
        answer = await self._call(
            member,
            lambda weights: weights.holdings(manifest=manifest, known=known),
        )
        return protocols.Holdings(
            _unpacked(answer.held), _unpacked(answer.coming), answer.sequence
        )

    async def read(
        self,
        member: protocols.Member,
        digest: str,
        offset: int,
        length: int,
    ) -> bytes:
        """Return a slice of a chunk."""
        answer = await self._call(
            member,
            lambda weights: weights.read(
                digest=digest, offset=offset, length=length
            ),
        )
        return _not_empty(answer.payload, member)

    async def standing(self, member: protocols.Member) -> protocols.Standing:
        """Return how far a peer's replica is."""
        answer = await self._call(member, lambda weights: weights.standing())
        return protocols.Standing(
            protocols.Phase(answer.phase), answer.revision
        )

    def reset(self, member: protocols.Member) -> None:
        """Give the connection to a peer up; the next call opens a new one."""
        opening = self._links.pop(member, None)
        if opening is None:
            return
        if not opening.done():
            opening.cancel()
        elif not opening.cancelled() and opening.exception() is None:
            opening.result().client.close()

    def close(self) -> None:
        """Close all connections."""
        for member in tuple(self._links):
            self.reset(member)

    async def _call(
        self,
        member: protocols.Member,
        call: typing.Callable[[typing.Any], typing.Awaitable[typing.Any]],
    ) -> typing.Any:
        try:
            link = await self._link(member)
            return await call(link.weights)
        except (capnp.KjException, OSError, TimeoutError) as error:
            self.reset(member)
            raise errors.PeerUnavailableError(
                str(error) or 'connection timed out',
                step='weights',
                peer=member.id,
            ) from error

    async def _link(self, member: protocols.Member) -> _Link:
        opening = self._links.get(member)
        if opening is None:
            opening = asyncio.create_task(self._open(member))
            self._links[member] = opening
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            # Another caller has given this connection up while it was being
            # opened. That cancels the opening and must not pass for the
            # cancellation of this caller, whose task would end in silence.
            task = asyncio.current_task()
            if opening.cancelled() and task and not task.cancelling():
                raise errors.PeerUnavailableError(
                    'connection given up', step='weights', peer=member.id
                ) from None
            raise

    async def _open(self, member: protocols.Member) -> _Link:
        async with asyncio.timeout(self._connect_timeout):
            stream = await capnp.AsyncIoStream.create_connection(
                member.host, member.port
            )
            client = capnp.TwoPartyClient(stream)
            agent = client.bootstrap().cast_as(schema.peers.Agent)
            answer = await agent.weights()
        return _Link(client, answer.weights)


class _Link:
    __slots__ = ('client', 'weights')

    def __init__(self, client: typing.Any, weights: typing.Any) -> None:
        self.client = client
        self.weights = weights


def _packed(bits: int) -> bytes:
    return bits.to_bytes((bits.bit_length() + _BITS - 1) // _BITS, _LITTLE)


def _unpacked(payload: bytes) -> int:
    return int.from_bytes(payload, _LITTLE)


def _not_empty(payload: bytes, member: protocols.Member) -> bytes:
    if not payload:
        raise errors.PeerBusyError(
            'declined for now', step='weights', peer=member.id
        )
    return payload
