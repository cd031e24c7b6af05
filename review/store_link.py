"""A link to the store with a delay and a bandwidth, as a proxy."""

from __future__ import annotations

import asyncio


class Link:
    """Passes channels on; what the store answers comes at a limited rate.

    :param target: ``host:port`` of the store.
    :param mbps: megabits a second of all answers together.
    :param delay: seconds one way.
    """

    def __init__(self, target: str, mbps: float, delay: float) -> None:
        self._target = target
        self._seconds_per_byte = 8 / (mbps * 1_000_000)
        self._delay = delay
        self._free_at = 0.0
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._pass, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        there = asyncio.create_task(
            self._copy(reader, far_writer, is_limited=False)
        )
        try:
            await self._copy(far_reader, writer, is_limited=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            there.cancel()
            far_writer.close()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_limited: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        while part := await reader.read(4096):
            due_at = loop.time() + self._delay
            if is_limited:
                start = max(self._free_at, loop.time())
                self._free_at = start + len(part) * self._seconds_per_byte
                due_at = self._free_at + self._delay
            await asyncio.sleep(due_at - loop.time())
            writer.write(part)
            await writer.drain()
        writer.close()
