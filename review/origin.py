"""Stand-in for the origin of weights, which runs in the test itself."""

import asyncio
import hashlib
import json
import time
import urllib.parse

import http11
import worker

#: Bandwidth of the origin's link.
LINK_MBPS = 7.3


class Origin:
    """Hands out manifests and pieces.

    :param record: takes a line for each manifest.
    """

    def __init__(self, record, model, chunks, chunk_bytes):
        self._record = record
        self._model = model
        self._chunks = chunks
        self._chunk_bytes = chunk_bytes
        self.address = ''
        self._free_at = 0.0
        #: Answers while manifests may be wrong, and wrong ones among them.
        self.answers = 0
        self.wrong_answers = 0
        #: Time until which each manifest has one spoilt digit.
        self.spoils_until = 0.0

    async def listen(self, host):
        """Listen on a free port of an address."""
        server = await http11.serve(host, 0, self._handle)
        self.address = f'{host}:{server.sockets[0].getsockname()[1]}'

    async def _handle(self, request, writer):
        query = dict(urllib.parse.parse_qsl(request.query))
        version = int(query['version'])
        if time.monotonic() < self.spoils_until:
            self.answers += 1
        if request.path.startswith('/api/piece/'):
            body = worker.piece(version, int(query['num']), self._chunk_bytes)
            await self._take_turn(len(body))
        else:
            body = self._manifest(version)
        writer.write(http11.encode_answer(200, [], body))
        return True

    async def _take_turn(self, size):
        """Wait until the origin's link has carried the bytes of a piece."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size * 8 / (LINK_MBPS * 1e6)
        await asyncio.sleep(self._free_at - now)

    def _manifest(self, version):
        digests = [
            hashlib.sha256(
                worker.piece(version, number, self._chunk_bytes)
            ).hexdigest()
            for number in range(self._chunks)
        ]
        is_spoilt = time.monotonic() < self.spoils_until
        if is_spoilt:
            self.wrong_answers += 1
            first = digests[0]
            digests[0] = ('1' if first[0] == '0' else '0') + first[1:]
        self._record.note(
            'origin sends the manifest of version',
            version,
            'with one wrong digit' if is_spoilt else 'as it is',
        )
        manifest = {
            'model': self._model,
            'version': version,
            'chunkBytes': self._chunk_bytes,
            'layers': 16,
            'digests': digests,
        }
        return json.dumps(manifest).encode()
