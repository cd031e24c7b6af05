"""New weights are named while the origin corrupts a few answers."""

from __future__ import annotations

import asyncio
import os
import pathlib
import typing

from review.harness2 import consumers, deadly, origin, system

_ENGINES = 2
_SECONDS = 60.0
_SEND_GAP = 0.1
#: Largest share of refused and failed requests with which a day passes.
_ALLOWED_SHARE = 0.6


async def _play(record: system.Record) -> int:
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    world = system.System(record, 2)
    source = origin.Origin(record, _ENGINES if is_troubled else 0)
    engines = [origin.Engine(f'w{one}', world) for one in range(_ENGINES)]
    async with world:
        try:
            await source.start('127.0.0.1')
            services = [
                *deadly.services(),
                {
                    'name': 'weights',
                    'origin': source.address,
                    'zone': system.ZONE,
                    'linkMbps': 7.3,
                    'maxConns': 48,
                },
            ]
            ips = [f'{world.worker_net}.{one + 1}' for one in range(_ENGINES)]
            for ip, engine in zip(ips, engines, strict=True):
                await engine.start(ip)
                engine.report()
            world.configure(1, deadly.routes(), services)
            beat = asyncio.create_task(_beat(engines))
            await world.start_entries()
            for ip, engine in zip(ips, engines, strict=True):
                world.start(
                    'agent', f'agent-{ip}', _settings(world, ip, engine)
                )
            await asyncio.sleep(system.STABLE_WINDOW_S + 2)
            statuses = await _send_all(record, world, source)
            beat.cancel()
        finally:
            for engine in engines:
                await engine.stop()
            await source.stop()
    record.line(f'manifests sent: {source.manifests}, pieces: {source.pieces}')
    record.line(f'versions held: {[engine.version for engine in engines]}')
    lost = sum(status != 200 for status in statuses)
    record.line(f'not answered with 200: {lost} of {len(statuses)}')
    if not statuses:
        return 2
    return system.BROKEN if lost > _ALLOWED_SHARE * len(statuses) else 0


def _settings(
    world: system.System, ip: str, engine: origin.Engine
) -> dict[str, typing.Any]:
    changes = {
        'nodeName': f'side-{ip}',
        'role': 'agent',
        'machineClass': 'side',
        'serves': ['side'],
        'listen': {},
        'app': engine.address,
        'service': deadly.SERVICE,
        'limits': {
            'cpuShare': 0.645,
            'cores': 2,
            'memoryMb': 168,
            'maxFds': 1124,
            'linkMbps': 7.3,
            'diskMb': 0,
        },
    }
    return world.settings(ip, **changes)


async def _send_all(
    record: system.Record, world: system.System, source: origin.Origin
) -> list[int]:
    loop = asyncio.get_running_loop()
    requests: list[asyncio.Task[int]] = []
    began = loop.time()
    is_named = False
    while loop.time() < began + _SECONDS:
        if not is_named and loop.time() > began + 2:
            is_named = True
            source.newest = 2
            named = {'model': system.MODEL, 'version': 2}
            world.store.put('keyed.op', f'version/{system.MODEL}', named)
            record.line('version 2 is named')
        address = world.callers[len(requests) % len(world.callers)]
        requests.append(asyncio.create_task(_send(record, address)))
        await asyncio.sleep(_SEND_GAP)
    return await asyncio.gather(*requests)


async def _send(record: system.Record, address: str) -> int:
    attempt_id = consumers.new_id('v')
    answer = await consumers.send(
        address,
        '/chat/a',
        attempt_id,
        headers={
            'X-Model': system.MODEL,
            'X-Token-Usage': '60,240',
            'X-Prompt-Prefix': f'0000aaaa:40,{attempt_id[1:]}:20',
        },
        body=attempt_id.encode(),
    )
    record.line(f'consumer {attempt_id}: {answer.status}')
    return answer.status


async def _beat(engines: list[origin.Engine]) -> None:
    while True:
        await asyncio.sleep(system.HEARTBEAT_MS / 1000)
        for engine in engines:
            engine.report()


def play(folder: pathlib.Path) -> int:
    """Play the case; return the exit code."""
    record = system.Record(folder / 'record.txt')
    try:
        code = asyncio.run(_play(record))
    except Exception as error:
        record.line(f'the case could not run: {error!r}')
        code = 2
    record.line(f'exit code {code}')
    return code
