"""Commands about the running system: status, entries, drain, request."""

from __future__ import annotations

import asyncio
import sys
import typing

import capnp
import cyclopts
import msgspec

from clementinepass.cli import entry_client, exits, output
from clementinepass.wire import addresses, connections, schema

EntryAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name='--entry',
        env_var='CLEMENTINEPASS_ENTRY',
        help='Where an entry takes callers, host:port.',
    ),
]

_DRAIN_TIMEOUT = 10.0
_FIRST_FAILURE = 400


def status(*, entry: EntryAddress, json: bool = False) -> None:
    """Show entries, agents and endpoints by failure domain.

    Example: ``clementinepass status --entry 127.0.0.1:8080``

    :param json: print one JSON document instead of tables.
    """
    with exits.reported():
        shown = entry_client.EntryClient(entry).status()
    if json:
        output.print_json(shown)
        return
    output.print_table(
        f'entries seen by {shown.entry}, configuration {shown.revision}',
        ('failure domain', 'entry', 'callers', 'state'),
        sorted(
            (one.failure_domain, one.id, one.callers_address, one.state)
            for one in shown.entries
        ),
    )
    output.print_table(
        f'endpoints, {shown.in_progress} requests in progress here',
        (
            'failure domain',
            'agent',
            'connection',
            'phase',
            'serves',
            'version',
            'running',
            'configuration',
        ),
        sorted(_agent_row(agent) for agent in shown.agents),
    )


def entries(*, entry: EntryAddress, json: bool = False) -> None:
    """Show which entries callers should use, the best first.

    Example: ``clementinepass entries --entry 127.0.0.1:8080``

    :param json: print one JSON document instead of a table.
    """
    with exits.reported():
        offered = entry_client.EntryClient(entry).offered()
    if json:
        output.print_json(offered)
        return
    output.print_table(
        f'use in this order, for {offered.max_age} s',
        ('address', 'failure domain', 'region'),
        (
            (one.address, one.failure_domain, one.region)
            for one in offered.entries
        ),
    )


def drain(address: str) -> None:
    """Tell an entry or an agent to leave: no new work, finish what runs.

    The same as SIGTERM to its process. Addresses are in ``status --json``.

    Example: ``clementinepass drain 127.0.0.1:7001``

    :param address: where the process listens for other processes.
    """
    with exits.reported():
        asyncio.run(_drain(addresses.Address.from_text(address)))
    output.screen.print(f'{address} is leaving')


def request(
    prompt: str,
    *,
    entry: EntryAddress,
    model: str,
    key: typing.Annotated[
        str,
        cyclopts.Parameter(env_var='CLEMENTINEPASS_KEY'),
    ],
    max_tokens: int = 16,
    stream: bool = True,
) -> None:
    """Send one completion, as a caller would, and print the answer.

    Example: ``clementinepass request 'lamp 3 is dark' --model faults``

    :param model: the model's name.
    :param key: the team's key.
    :param max_tokens: tokens to ask for at most.
    :param stream: print the answer as it comes.
    """
    body = msgspec.json.encode(
        {
            'model': model,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': stream,
        },
    )
    with exits.reported():
        answer = entry_client.EntryClient(entry).complete(
            '/v1/completions',
            body,
            {'Authorization': f'Bearer {key}'},
        )
        for piece in answer.stream():
            sys.stdout.write(piece.decode(errors='replace'))
            sys.stdout.flush()
    sys.stdout.write('\n')
    if answer.status >= _FIRST_FAILURE:
        sys.exit(exits.REJECTED)


def _agent_row(agent: entry_client.Agent) -> list[str]:
    connection = [agent.failure_domain, agent.id, agent.liveness]
    state = agent.state
    if state is None:
        return connection
    return [
        *connection,
        state.phase,
        state.serves,
        state.version,
        f'{state.running}/{state.capacity}',
        str(state.revision),
    ]


async def _drain(address: addresses.Address) -> None:
    async with capnp.kj_loop():
        connection = await connections.Connection.open(
            address,
            _DRAIN_TIMEOUT,
        )
        process = connection.bootstrap(schema.peers.Process)
        await connections.call(
            process.drain(),
            step='drain',
            peer=str(address),
            timeout=_DRAIN_TIMEOUT,
        )
        connection.close()
