"""A worker in a process of its own: ``worker_process ID IP EVENTS GAP``.

Its streams have neither a length nor chunks and end with their channels. It
prints its port, and what it runs, to standard output. It ends by a signal, and
the system closes its channels then, as it does for any process.
"""

from __future__ import annotations

import asyncio
import sys
import time


async def _serve(
    name: str,
    events: int,
    gap: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        headers = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            field_name, _, field = line.partition(':')
            headers[field_name.lower()] = field.strip()
        await reader.readexactly(int(headers.get('content-length', '0')))
        attempt_id = headers.get('x-attempt-id', '')
        marked = (
            f'X-Attempt-Id: {attempt_id}\r\n'
            f'X-Server-Stamp: stamp-{name}-{attempt_id}\r\n'
            f'X-Instance-Id: {name}\r\n'
        )
        if headers.get('x-expect-instance') != name:
            writer.write(
                f'HTTP/1.1 421 Other\r\n{marked}Content-Length: 0\r\n\r\n'.encode()
            )
            return
        first = int(headers.get('last-event-id', '0')) + 1
        print('runs', attempt_id, 'from', first, flush=True)
        writer.write(
            f'HTTP/1.1 200 OK\r\n{marked}'
            'Content-Type: text/event-stream\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        for number in range(first, events + 1):
            writer.write(b'id: %d\ndata: %d\n\n' % (number, number))
            await writer.drain()
            await asyncio.sleep(gap)
        print('ends', attempt_id, flush=True)
    except (OSError, asyncio.IncompleteReadError):
        print('left', flush=True)
    finally:
        writer.close()


async def _main() -> None:
    name, ip, events, gap = sys.argv[1:]

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve(name, int(events), float(gap), reader, writer)

    server = await asyncio.start_server(serve, ip, 0)
    print(server.sockets[0].getsockname()[1], int(time.time() * 1000))
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main())
