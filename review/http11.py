"""A small HTTP/1.1 server and client for the stand-ins; standard library."""

import asyncio


class Request:
    """One request that a stand-in has received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition('?')
        self.headers = headers
        self.body = body

    def header(self, name):
        """Return the first value of a header, or an empty text."""
        for known, text in self.headers:
            if known.lower() == name:
                return text
        return ''


async def read_head(reader):
    """Return the lines of a head; none at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return []
    return head.decode('latin-1').split('\r\n')[:-2]


def parse_headers(lines):
    """Return the pairs of header lines."""
    pairs = []
    for line in lines:
        name, _, text = line.partition(':')
        pairs.append((name, text.strip()))
    return pairs


async def read_body(reader, headers):
    """Return a body that has a length or chunks."""
    lowered = {name.lower(): text for name, text in headers}
    if lowered.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(lowered.get('content-length', '0')))


async def read_request(reader):
    """Return the next request; ``None`` at the end of the connection."""
    lines = await read_head(reader)
    if not lines:
        return None
    method, target, _ = lines[0].split(' ', 2)
    headers = parse_headers(lines[1:])
    try:
        body = await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status, pairs, body):
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} Answer']
    lines += [f'{name}: {text}' for name, text in pairs]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def serve(host, port, handle):
    """Listen; ``handle(request, writer)`` writes an answer.

    It returns whether the connection is kept.
    """

    async def connected(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handle(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, backlog=512)


async def exchange(address, method, target, pairs=(), body=b'', seconds=5):
    """Send a request on a new connection; return status, pairs and body.

    An answer that is cut off raises an error.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in pairs]
            if not any(name.lower() == 'host' for name, _ in pairs):
                lines.append(f'Host: {address}')
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await read_head(reader)
            if not head:
                raise ConnectionResetError('no answer')
            status = int(head[0].split(' ')[1])
            headers = parse_headers(head[1:])
            return status, headers, await read_body(reader, headers)
        finally:
            writer.close()
