"""Callers of the direct path that follow the users' pages.

They ask where to connect and keep the answer, some of them three times as
long; come back once after a promise that nothing ran, no sooner than told; and
give a stream up after a gap.  What they get is checked as it comes.
"""

from __future__ import annotations

import asyncio
import typing

import msgspec

from clementinepass.direct import events
from clementinepass.http import channel, messages, pool
from standins import stepping_engine

if typing.TYPE_CHECKING:
    import random

_OK = 200
_PROMISES = frozenset((429, 503))
#: Seconds that a caller has, and in which the first event is on time.
DEADLINE = 6.0
AIM = 0.4
#: Seconds between events of a stream on time, and after which it is given up.
GAP = 0.3
_PATIENCE = 2.4
#: The part of the time left that a caller waits at most when told to.
_WAIT_PART = 1 / 3
#: One caller in so many keeps the list of entries three times as long.
_KEEPS_LONG = 4


class Told(typing.NamedTuple):
    """What a caller got for one request.

    :param kind: ``in aim``, ``late``, ``refused`` or ``failed``.
    :param first: seconds to the first event of a stream that was whole.
    """

    kind: str
    first: float = 0


class _Attempt(typing.NamedTuple):
    """What one attempt came to.

    :param wait: seconds to wait before coming back, after a promise.
    """

    whole: bool = False
    promised: bool = False
    first: float = 0
    longest_gap: float = 0
    wait: float = 0


class _Offer(msgspec.Struct):
    """Where to connect, and for how long."""

    addresses: list[str]
    ttlS: float  # noqa: N815


class Callers:
    """All callers of a day.

    :param directories: ``host:port`` of entries that say where to connect.
    """

    def __init__(self, directories: list[str], rng: random.Random) -> None:
        self._directories = directories
        self._rng = rng
        self._offer: list[str] = []
        self._offer_until: float = 0
        self._serial = 0
        #: What each request came to.
        self.told: list[Told] = []
        #: Ids of attempts that were promised not to have run.
        self.promised: set[str] = set()
        #: What was wrong with an answer, a line each.
        self.broken: list[str] = []

    async def ask(self, target: bytes, prompt: int, answer: int) -> None:
        """Send one request, come back once if told to, and keep the result."""
        self._serial += 1
        name = f'r{self._serial}'
        loop = asyncio.get_running_loop()
        begun = loop.time()
        tried = await self._try(f'{name}-0', target, prompt, answer, begun)
        if tried.promised:
            left = begun + DEADLINE - loop.time()
            await asyncio.sleep(min(tried.wait, left * _WAIT_PART))
            tried = await self._try(f'{name}-1', target, prompt, answer, begun)
        self.told.append(_told(tried, begun))

    async def _try(
        self,
        name: str,
        target: bytes,
        prompt: int,
        answer: int,
        begun: float,
    ) -> _Attempt:
        left = begun + DEADLINE - asyncio.get_running_loop().time()
        request = _request(name, target, prompt, answer, left)
        try:
            async with asyncio.timeout(left):
                return await self._exchange(name, request, answer)
        except (TimeoutError, channel.ChannelBrokenError):
            return _Attempt()
        except events.StreamBrokenError as error:
            self.broken.append(f'ORDER {name}: {error}')
            return _Attempt()

    async def _exchange(
        self,
        name: str,
        request: bytes,
        answer: int,
    ) -> _Attempt:
        host, _, port = (await self._address()).rpartition(':')
        used = await channel.Channel.connect(host, int(port), 1)
        try:
            used.send(request)
            return await self._read(name, used, answer)
        finally:
            used.abort()

    async def _read(
        self,
        name: str,
        used: channel.Channel,
        answer: int,
    ) -> _Attempt:
        head = await used.read_head()
        if head.headers.get(b'x-attempt-id') != name.encode():
            self.broken.append(f'MIXED {name}: the answer is of another')
        if head.status in _PROMISES:
            self.promised.add(name)
            wait = float(head.headers.get(b'retry-after') or b'0')
            return _Attempt(promised=True, wait=wait)
        if head.status != _OK:
            return _Attempt()
        if head.headers.get(b'x-server-stamp') is None:
            self.broken.append(f'MIXED {name}: a success without a stamp')
        return await self._events(name, used, answer)

    async def _events(
        self,
        name: str,
        used: channel.Channel,
        answer: int,
    ) -> _Attempt:
        loop = asyncio.get_running_loop()
        splitter = events.EventSplitter(None)
        first = float(0)
        before = float(0)
        longest = float(0)
        while True:
            async with asyncio.timeout(_PATIENCE):
                part = await used.read()
            now = loop.time()
            if not part:
                break
            if list(splitter.feed(part)):
                first = first or now
                longest = max(longest, now - (before or now))
                before = now
        wanted = max(answer // stepping_engine.STRIDE, 1)
        if splitter.last_id != wanted - 1 or splitter.has_partial_event:
            self.broken.append(f'ORDER {name}: ended as whole too soon')
        return _Attempt(whole=True, first=first, longest_gap=longest)

    async def _address(self) -> str:
        loop = asyncio.get_running_loop()
        if loop.time() >= self._offer_until or not self._offer:
            await self._resolve()
        return self._rng.choice(self._offer)

    async def _resolve(self) -> None:
        request = messages.encode_request(
            b'GET',
            b'/api/resolve?name=h&region=a&zone=a',
            [(b'Host', b'h')],
            b'',
        )
        for address in self._rng.sample(self._directories, 2):
            try:
                fetched = await pool.fetch(
                    pool.Pool.from_address(address),
                    request,
                    1,
                )
            except channel.ChannelBrokenError:
                continue
            offer = msgspec.json.decode(fetched.body, type=_Offer)
            times = 1 if self._rng.randrange(_KEEPS_LONG) else 3
            now = asyncio.get_running_loop().time()
            self._offer = offer.addresses
            self._offer_until = now + offer.ttlS * times
            return


def _request(
    name: str,
    target: bytes,
    prompt: int,
    answer: int,
    left: float,
) -> bytes:
    return messages.encode_request(
        b'POST',
        target,
        [
            (b'Host', b'h'),
            (b'X-Attempt-Id', name.encode()),
            (b'X-Token-Usage', b'%d,%d' % (prompt, answer)),
            (b'X-Deadline-Ms', b'%d' % int(left * 1000)),
        ],
        b'{}',
    )


def _told(tried: _Attempt, begun: float) -> Told:
    if not tried.whole:
        return Told('refused' if tried.promised else 'failed')
    first = tried.first - begun
    on_time = first <= AIM and tried.longest_gap <= GAP
    return Told('in aim' if on_time else 'late', first)
