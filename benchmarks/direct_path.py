"""What an entry of the direct path adds to the first event of a stream.

``scripts/bench direct_path [--rate N] [--seconds N]``: each request is sent to
a stand-in endpoint once through an entry and once without, at random moments;
endpoints answer at once, so that what is measured is the entry and loopback.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import resource
import typing

from loguru import logger

from clementinepass.http import channel, messages
from standins import machines

_CONFIG: dict[str, typing.Any] = {
    'version': 1,
    'routes': [{**machines.STREAM_ROUTE, 'service': 'desk'}],
    'services': [{'name': 'desk'}],
}
_MS = 1000
_PARTS = (0.5, 0.95, 0.99)
_WARM_UP = 20


async def _first(address: str, name: str, pairs: list[messages.Pair]) -> float:
    """Return the seconds to the first event of one request."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(':')
    used = await channel.Channel.connect(host, int(port), 1)
    try:
        begun = loop.time()
        used.send(
            messages.encode_request(
                b'POST',
                b'/stream/a',
                [
                    (b'Host', b'h'),
                    (b'X-Attempt-Id', name.encode()),
                    (b'X-Deadline-Ms', b'6000'),
                    *pairs,
                ],
                b'{}',
            ),
        )
        await used.read_head()
        await used.read()
        return loop.time() - begun
    finally:
        used.abort()


async def _play(rate: float, seconds: float) -> dict[str, list[float]]:
    """Return the times by way."""
    rng = random.Random(1)
    found: dict[str, list[float]] = {'through': [], 'without': []}
    async with machines.Machines((), config=_CONFIG) as world:
        await machines.until(lambda: all(one.is_ready for one in world.entries))
        direct = [(b'X-Expect-Instance', world.desk.id.encode())]
        for number in range(int(rate * seconds)):
            entry = world.entries[0].callers_address
            through = await _first(entry, f't{number}', [])
            without = await _first(world.desk.address, f'w{number}', direct)
            found['through'].append(through)
            found['without'].append(without)
            await asyncio.sleep(rng.expovariate(rate))
    return found


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=20)
    parser.add_argument('--seconds', type=float, default=20)
    options = parser.parse_args()
    logger.remove()
    found = asyncio.run(_play(options.rate, options.seconds))
    at = {
        way: [sorted(times[_WARM_UP:])[_place(part, times)] for part in _PARTS]
        for way, times in found.items()
    }
    for part, through, without in zip(
        _PARTS, at['through'], at['without'], strict=True
    ):
        added = (through - without) * _MS
        print(
            f'p{part * 100:.0f}  through {through * _MS:.2f} ms  '
            f'without {without * _MS:.2f} ms  added {added:.2f} ms',
        )
    used = resource.getrusage(resource.RUSAGE_SELF)
    count = len(found['through'])
    cpu = (used.ru_utime + used.ru_stime) / count * _MS
    print(f'{count} requests, {cpu:.1f} ms of processor each, all parts')


def _place(part: float, times: list[float]) -> int:
    return int(part * (len(times) - _WARM_UP - 1))


if __name__ == '__main__':
    main()
