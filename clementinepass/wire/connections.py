"""Connections between the system's own processes.

Every call has a timeout: a connection can go silent for good while its socket
stays open (something between the two ends has lost track of it), and then no
answer and no reset ever arrives.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

import capnp

from clementinepass import errors
from clementinepass.wire import addresses

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

_Result = typing.TypeVar('_Result')


class Bootstrap(typing.Protocol):
    """A capability server made for one connection."""

    def disconnected(self) -> None:
        """Note that the connection has ended."""


@contextlib.asynccontextmanager
async def listen(
    address: addresses.Address,
    make_bootstrap: Callable[[], Bootstrap],
) -> AsyncIterator[addresses.Address]:
    """Serve a bootstrap capability, made anew for each connection.

    :param address: where to listen; port 0 takes a free port.
    :return: the address that was bound.
    """

    async def serve(stream: typing.Any) -> None:
        bootstrap = make_bootstrap()
        server = capnp.TwoPartyServer(stream, bootstrap=bootstrap)
        try:
            await server.on_disconnect()
        finally:
            bootstrap.disconnected()

    server = await capnp.AsyncIoStream.create_server(
        serve,
        address.host,
        address.port,
    )
    port = server.sockets[0].getsockname()[1]
    try:
        yield addresses.Address(address.host, port)
    finally:
        server.close()


class Connection:
    """One outgoing connection to a peer.

    :param peer: the peer's address, named in errors.
    """

    def __init__(self, peer: str, stream: typing.Any) -> None:
        #: The peer's address.
        self.peer = peer
        self._stream = stream
        self._client = capnp.TwoPartyClient(stream)

    @classmethod
    async def open(
        cls,
        address: addresses.Address,
        timeout: float,
    ) -> Connection:
        """Connect to a peer.

        :param timeout: seconds to wait at most.
        :raises PeerGoneError: nobody listens there.
        :raises PeerUnavailableError: the peer can't be reached.
        """
        try:
            stream = await asyncio.wait_for(
                capnp.AsyncIoStream.create_connection(
                    address.host,
                    address.port,
                ),
                timeout,
            )
        except ConnectionRefusedError as error:
            raise errors.PeerGoneError(
                'connection refused',
                step='connect',
                peer=str(address),
            ) from error
        except (OSError, TimeoutError) as error:
            raise errors.PeerUnavailableError(
                f'connection failed: {error or "timeout"}',
                step='connect',
                peer=str(address),
            ) from error
        return cls(str(address), stream)

    def bootstrap(self, interface: typing.Any) -> typing.Any:
        """Return the peer's bootstrap capability."""
        return self._client.bootstrap().cast_as(interface)

    def close(self) -> None:
        """Drop the connection; calls under way end with an error."""
        with contextlib.suppress(capnp.KjException, RuntimeError):
            self._client.close()
        with contextlib.suppress(capnp.KjException, RuntimeError, OSError):
            self._stream.close()


async def call(
    promise: Awaitable[_Result],
    *,
    step: str,
    peer: str,
    timeout: float,
) -> _Result:
    """Wait for the answer to a call.

    :param step: the call's name, for errors.
    :param timeout: seconds to wait at most.
    :raises PeerUnavailableError: the peer is gone, or silent for too long.
    """
    try:
        return await asyncio.wait_for(_finish(promise), timeout)
    except TimeoutError as error:
        raise errors.PeerUnavailableError(
            f'no answer in {timeout:.3f} s',
            step=step,
            peer=peer,
        ) from error
    except capnp.KjException as error:
        raise errors.PeerUnavailableError(
            _first_line(error),
            step=step,
            peer=peer,
        ) from error


async def _finish(promise: Awaitable[_Result]) -> _Result:
    return await promise


def _first_line(error: Exception) -> str:
    return str(error).partition('\n')[0]
