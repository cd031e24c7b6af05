"""Cap'n Proto connections between entries and agents.

Every call has a timeout: a connection can go silent permanently while its
socket stays open, for example when a device on the path has lost its
connection state, and then neither an answer nor a reset ever arrives.
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
#: Number of equal parts in which a timeout is counted.
_TIMEOUT_PARTS = 4
#: Seconds by which a part ends late if this process got no processor.
_PAUSE_SECONDS = 0.1
#: Number of late parts that are not counted. A process that is always late
#: would never find a peer silent otherwise.
_MAX_LATE_PARTS = 8


class Bootstrap(typing.Protocol):
    """Capability server for a single connection."""

    def disconnected(self) -> None:
        """Handle the end of the connection."""


@contextlib.asynccontextmanager
async def listen(
    address: addresses.Address,
    make_bootstrap: Callable[[], Bootstrap],
) -> AsyncIterator[addresses.Address]:
    """Listen for connections and serve a new bootstrap capability to each.

    :param address: the address to listen on; port 0 selects a free port.
    :param make_bootstrap: creates the capability for a connection.
    :returns: the bound address.
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
    """An outgoing connection to a peer.

    :param peer: the peer's address, for error messages.
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

        :param timeout: maximum number of seconds to wait.
        :raises PeerGoneError: no process listens on the address.
        :raises PeerUnavailableError: the peer is unreachable.
        """
        try:
            stream = await wait_for(
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
        """Close the connection; calls in flight fail."""
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
    """Return the answer to a call.

    :param step: the name of the call, for error messages.
    :param peer: the address of the peer, for error messages.
    :param timeout: maximum number of seconds to wait.
    :raises PeerUnavailableError: the connection was lost, or no answer arrived
        in time.
    """
    try:
        return await wait_for(_await_promise(promise), timeout)
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


async def wait_for(
    awaitable: Awaitable[_Result],
    timeout: float,
) -> _Result:
    """Wait for a result, without the time in which this process was paused.

    A process that was suspended or got no processor finds all its timeouts
    expired at once, with the answers unread in its sockets. Every peer would
    seem silent, and requests would be refused as if there were no endpoint.

    :param timeout: maximum number of seconds to wait.
    :raises TimeoutError: there was no result in time.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(awaitable)
    remaining = _TIMEOUT_PARTS
    late_parts = 0
    try:
        while remaining and not task.done():
            due = loop.time() + timeout / _TIMEOUT_PARTS
            await asyncio.wait((task,), timeout=timeout / _TIMEOUT_PARTS)
            is_late = loop.time() - due >= _PAUSE_SECONDS
            if is_late and late_parts < _MAX_LATE_PARTS:
                late_parts += 1
            else:
                remaining -= 1
        if task.done():
            return task.result()
        raise TimeoutError
    finally:
        _abandon(task)


def _abandon(task: asyncio.Future[typing.Any]) -> None:
    """Cancel a task whose result nobody reads any more."""
    if not task.cancel():
        return
    task.add_done_callback(
        lambda done: done.cancelled() or done.exception(),
    )


async def _await_promise(promise: Awaitable[_Result]) -> _Result:
    return await promise


def _first_line(error: Exception) -> str:
    return str(error).partition('\n')[0]
