"""Load tool: many streams from one process, their times as JSON.

Run as a program by the benches, several at a time, so that the tool's own
processor time doesn't show in what it measures.
"""

from __future__ import annotations

import asyncio
import sys
import time
import typing

import cyclopts
import msgspec

_EVENT = b'data: '
_DONE = b'data: [DONE]'
_TIMEOUT = 120


class StreamTimes(msgspec.Struct):
    """What one stream saw; seconds."""

    status: int = 0
    #: From sending to the first event.
    first: float = 0
    #: Between one event and the next.
    gaps: list[float] = msgspec.field(default_factory=list)
    #: From sending to the end of the answer.
    total: float = 0
    #: Whether the end mark came.
    whole: bool = False


class Report(msgspec.Struct):
    """What all streams of one process saw."""

    streams: list[StreamTimes]


class Plan(msgspec.Struct, frozen=True):
    """What each stream sends, and to whom."""

    address: str
    body: bytes
    key: str


def main(
    *,
    address: str,
    key: str,
    model: str,
    streams: int,
    tokens: int,
    rounds: int = 1,
    prompt: str = 'lamp',
) -> None:
    """Run streams at the same time and print their times as JSON.

    :param address: ``host:port`` of an entry or an engine.
    :param streams: streams at a time.
    :param tokens: tokens of each stream.
    :param rounds: streams one after the other in each place.
    """
    body = msgspec.json.encode(
        {
            'model': model,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        },
    )
    plan = Plan(address, body, key)
    report = asyncio.run(_run(plan, streams, rounds))
    sys.stdout.buffer.write(msgspec.json.encode(report))


async def _run(plan: Plan, streams: int, rounds: int) -> Report:
    places = await asyncio.gather(
        *(_place(plan, rounds, number / streams) for number in range(streams)),
    )
    return Report([times for place in places for times in place])


async def _place(
    plan: Plan,
    rounds: int,
    delay: float,
) -> list[StreamTimes]:
    # Spread over a second: callers don't all begin at the same instant.
    await asyncio.sleep(delay)
    return [await _stream(plan) for _ in range(rounds)]


async def _stream(plan: Plan) -> StreamTimes:
    times = StreamTimes()
    host, _, port = plan.address.rpartition(':')
    began = time.perf_counter()
    try:
        async with asyncio.timeout(_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_request(plan))
            await _read(reader, times, began)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        times.whole = False
    times.total = time.perf_counter() - began
    return times


def _request(plan: Plan) -> bytes:
    head = (
        'POST /v1/completions HTTP/1.1\r\n'
        f'Host: {plan.address}\r\n'
        f'Authorization: Bearer {plan.key}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(plan.body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + plan.body


async def _read(
    reader: asyncio.StreamReader,
    times: StreamTimes,
    began: float,
) -> None:
    status_line = await reader.readline()
    times.status = int(status_line.split()[1])
    last: float = 0
    async for line in reader:
        if not line.startswith(_EVENT):
            continue
        now = time.perf_counter()
        if line.startswith(_DONE):
            times.whole = True
        elif last:
            times.gaps.append(now - last)
            last = now
        else:
            times.first = now - began
            last = now


def percentile(values: typing.Sequence[float], percent: float) -> float:
    """Return a percentile by rank; 0 for no values."""
    if not values:
        return 0
    ordered = sorted(values)
    rank = round(percent / 100 * (len(ordered) - 1))
    return ordered[rank]


if __name__ == '__main__':
    cyclopts.run(main)
