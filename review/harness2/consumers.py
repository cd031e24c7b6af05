"""A consumer's request over a channel of its own."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools

from review.harness2 import system

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


async def send(
    address: str,
    path: str,
    attempt_id: str,
    *,
    method: str = 'POST',
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    deadline_ms: int = 6000,
) -> Answer:
    """Send one request and read its answer to the end."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = Answer(attempt_id)
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            await _exchange(
                address, path, answer, method, headers or {}, body, deadline_ms
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    answer.seconds = loop.time() - began
    return answer


async def _exchange(
    address: str,
    path: str,
    answer: Answer,
    method: str,
    headers: dict[str, str],
    body: bytes,
    deadline_ms: int,
) -> None:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {system.HOST}',
            f'X-Attempt-Id: {answer.id}',
            f'X-Deadline-Ms: {deadline_ms}',
            f'X-Api-Key: {system.KEY}',
            'Connection: close',
            *(f'{name}: {field}' for name, field in headers.items()),
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rest = head.decode('latin-1').split('\r\n')
        answer.status = int(first.split()[1])
        for line in rest:
            name, _, field = line.partition(':')
            if name:
                answer.headers[name.lower()] = field.strip()
        await _read_body(reader, answer)
    finally:
        writer.close()


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
