"""Server and clients for the transfer of weights between agents."""

from __future__ import annotations

import asyncio
import typing

import capnp

from clementinepass import errors
from clementinepass.weights import protocols, seed
from clementinepass.wire import schema

_BITS_PER_BYTE = 8
_BYTE_ORDER: typing.Final = 'little'


class WeightsServer(schema.weights.Weights.Server):
    """Serve manifests and chunks of a seed to other agents.

    :param sender: the seed whose manifests and chunks are served.
    """

    def __init__(self, sender: seed.Seed) -> None:
        self._seed = sender

    async def manifest(
        self,
        digest: str,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return a manifest's bytes; none if the manifest is unknown."""
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
        """Return the seed's chunks once their sequence is not ``known``."""
        holdings = await self._seed.holdings(manifest, known)
        _context.results.held = _encode_bitmap(holdings.held)
        _context.results.coming = _encode_bitmap(holdings.coming)
        _context.results.sequence = holdings.sequence

    async def read(
        self,
        digest: str,
        offset: int,
        length: int,
        _context: typing.Any,
        **_rest: typing.Any,
    ) -> None:
        """Return a slice of a chunk; no bytes if the seed declines."""
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
        """Return the phase and the revision of the local replica."""
        _context.results.phase = self._seed.standing.phase.value
        _context.results.revision = self._seed.standing.revision


class WeightsPeers:
    """Clients of other agents, with one connection per agent, opened on demand.

    Must be used inside ``capnp.kj_loop``. A failed call closes its connection,
    and a caller that times out must reset it: a connection that has gone
    silent may never recover, while a new one works.

    :param connect_timeout: seconds for opening a connection.
    """

    def __init__(self, connect_timeout: float = 3) -> None:
        self._connect_timeout = connect_timeout
        self._client_tasks_by_member: dict[
            protocols.Member, asyncio.Task[_PeerClient]
        ] = {}

    async def manifest(self, member: protocols.Member, digest: str) -> bytes:
        """Fetch a manifest's bytes from a peer."""
        answer = await self._call(
            member, lambda weights: weights.manifest(digest=digest)
        )
        return _require_payload(answer.payload, member)

    async def holdings(
        self,
        member: protocols.Member,
        manifest: str,
        known: int,
    ) -> protocols.Holdings:
        """Return a peer's chunks once their sequence differs from ``known``."""
        answer = await self._call(
            member,
            lambda weights: weights.holdings(manifest=manifest, known=known),
        )
        return protocols.Holdings(
            _decode_bitmap(answer.held),
            _decode_bitmap(answer.coming),
            answer.sequence,
        )

    async def read(
        self,
        member: protocols.Member,
        digest: str,
        offset: int,
        length: int,
    ) -> bytes:
        """Fetch a slice of a chunk from a peer."""
        answer = await self._call(
            member,
            lambda weights: weights.read(
                digest=digest, offset=offset, length=length
            ),
        )
        return _require_payload(answer.payload, member)

    async def standing(self, member: protocols.Member) -> protocols.Standing:
        """Return the phase and the revision of a peer's replica."""
        answer = await self._call(member, lambda weights: weights.standing())
        return protocols.Standing(
            protocols.Phase(answer.phase), answer.revision
        )

    def reset(self, member: protocols.Member) -> None:
        """Close the connection to a peer; the next call opens a new one."""
        client_task = self._client_tasks_by_member.pop(member, None)
        if client_task is None:
            return
        if not client_task.done():
            client_task.cancel()
        elif not client_task.cancelled() and client_task.exception() is None:
            client_task.result().client.close()

    def close(self) -> None:
        """Close all connections."""
        for member in tuple(self._client_tasks_by_member):
            self.reset(member)

    async def _call(
        self,
        member: protocols.Member,
        call: typing.Callable[[typing.Any], typing.Awaitable[typing.Any]],
    ) -> typing.Any:
        try:
            peer_client = await self._connect(member)
            return await call(peer_client.weights)
        except (capnp.KjException, OSError, TimeoutError) as error:
            self.reset(member)
            raise errors.PeerUnavailableError(
                str(error) or 'connection timed out',
                step='weights',
                peer=member.id,
            ) from error

    async def _connect(self, member: protocols.Member) -> _PeerClient:
        client_task = self._client_tasks_by_member.get(member)
        if client_task is None:
            client_task = asyncio.create_task(self._open(member))
            self._client_tasks_by_member[member] = client_task
        try:
            return await asyncio.shield(client_task)
        except asyncio.CancelledError:
            # Another caller has reset this connection while it was being
            # opened, which cancels the shared task. Raised as it is, the
            # error would look like a cancellation of this caller, whose
            # task would end silently.
            task = asyncio.current_task()
            if client_task.cancelled() and task and not task.cancelling():
                raise errors.PeerUnavailableError(
                    'connection reset by another caller',
                    step='weights',
                    peer=member.id,
                ) from None
            raise

    async def _open(self, member: protocols.Member) -> _PeerClient:
        async with asyncio.timeout(self._connect_timeout):
            stream = await capnp.AsyncIoStream.create_connection(
                member.host, member.port
            )
            client = capnp.TwoPartyClient(stream)
            agent = client.bootstrap().cast_as(schema.peers.Agent)
            answer = await agent.weights()
        return _PeerClient(client, answer.weights)


class _PeerClient:
    __slots__ = ('client', 'weights')

    def __init__(self, client: typing.Any, weights: typing.Any) -> None:
        self.client = client
        self.weights = weights


def _encode_bitmap(bits: int) -> bytes:
    return bits.to_bytes(
        (bits.bit_length() + _BITS_PER_BYTE - 1) // _BITS_PER_BYTE, _BYTE_ORDER
    )


def _decode_bitmap(payload: bytes) -> int:
    return int.from_bytes(payload, _BYTE_ORDER)


def _require_payload(payload: bytes, member: protocols.Member) -> bytes:
    if not payload:
        raise errors.PeerBusyError(
            'peer declined the request for now', step='weights', peer=member.id
        )
    return payload
