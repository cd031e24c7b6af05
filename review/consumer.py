"""Stand-in for consumers."""

import asyncio

import http11

HOST = 'desk.example'


class Answer:
    """What a consumer got for one request."""

    def __init__(self, status=0, headers=(), body=b'', is_whole=False):
        self.status = status
        self.headers = {name.lower(): text for name, text in headers}
        self.body = body
        #: Whether the answer ended as the protocol says.
        self.is_whole = is_whole


async def ask(address, method, target, name, deadline_ms, body=b'', **more):
    """Send one request on a new channel and read what comes back."""
    pairs = [
        ('Host', HOST),
        ('X-Attempt-Id', name),
        ('X-Deadline-Ms', str(deadline_ms)),
        *more.get('pairs', ()),
    ]
    host, _, port = address.rpartition(':')
    seconds = deadline_ms / 1000 + 2
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                return await _exchange(
                    reader, writer, method, target, pairs, body
                )
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer()


async def _exchange(reader, writer, method, target, pairs, body):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in pairs]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    head = await http11.read_head(reader)
    if not head:
        return Answer()
    status = int(head[0].split(' ')[1])
    headers = http11.parse_headers(head[1:])
    try:
        whole = await http11.read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers)
    return Answer(status, headers, whole, is_whole=True)
