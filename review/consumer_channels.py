"""Consumers' requests, over channels of their own or over kept ones."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

from review import small_system as system

_numbers = itertools.count(1)


@dataclasses.dataclass
class Answer:
    """What a consumer saw.

    :param status: 0 if no head came.
    :param is_complete: whether the end of the answer was marked.
    """

    id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_complete: bool = False
    seconds: float = 0


def new_id(prefix: str = 'a') -> str:
    """Return an id for one consumer attempt."""
    return f'{prefix}{next(_numbers):06d}'


class Channel:
    """A channel that a consumer keeps for its requests, one at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self,
        path: str,
        attempt_id: str,
        *,
        method: str = 'POST',
        headers: dict[str, str] | None = None,
        body: bytes = b'',
        deadline_ms: int = 6000,
        is_last: bool = False,
    ) -> Answer:
        """Send a request and read its answer to the end.

        The channel is opened if it isn't open, and closed after a failure.

        :param is_last: whether the channel is to end with the answer.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = Answer(attempt_id)
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {system.HOST}',
            f'X-Attempt-Id: {attempt_id}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'X-Api-Key: {system.KEY}',
            *(f'{name}: {field}' for name, field in (headers or {}).items()),
        ]
        if is_last:
            lines.append('Connection: close')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        request = '\r\n'.join([*lines, '', '']).encode() + body
        is_kept = False
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._exchange(request, answer)
            is_kept = answer.headers.get('connection') != 'close'
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if not is_kept or is_last:
                self.close()
        answer.seconds = loop.time() - began
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _exchange(self, request: bytes, answer: Answer) -> None:
        if self._streams is None:
            host, _, port = self.address.rpartition(':')
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rest = head.decode('latin-1').split('\r\n')
        answer.status = int(first.split()[1])
        for line in rest:
            name, _, field = line.partition(':')
            if name:
                answer.headers[name.lower()] = field.strip()
        await _read_body(reader, answer)


async def _read_body(reader: asyncio.StreamReader, answer: Answer) -> None:
    length = answer.headers.get('content-length')
    if length is not None:
        answer.body = await reader.readexactly(int(length))
        answer.is_complete = True
        return
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip(), 16)
        part = await reader.readexactly(size + 2)
        if not size:
            answer.is_complete = True
            return
        answer.body += part[:-2]
