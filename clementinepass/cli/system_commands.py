"""Commands on the running system: status, entries, drain, request."""

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
        help='Address of an entry for callers, host:port.',
    ),
]

_DRAIN_TIMEOUT_SECONDS = 10.0
_MIN_ERROR_STATUS = 400


def status(*, entry: EntryAddress, json: bool = False) -> None:
    """Show entries, agents and endpoints by failure domain.

    Example: ``clementinepass status --entry 127.0.0.1:8080``

    :param json: print one JSON document instead of tables.
    """
    with exits.report_errors():
        system_status = entry_client.EntryClient(entry).status()
    if json:
        output.print_json(system_status)
        return
    output.print_table(
        f'entries seen by {system_status.entry}, '
        f'configuration {system_status.revision}',
        ('failure domain', 'entry', 'callers', 'state'),
        sorted(
            (
                seen_entry.failure_domain,
                seen_entry.id,
                seen_entry.callers_address,
                seen_entry.state,
            )
            for seen_entry in system_status.entries
        ),
    )
    output.print_table(
        f'endpoints, {system_status.in_progress} requests in progress here',
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
        sorted(_agent_row(agent) for agent in system_status.agents),
    )


def entries(*, entry: EntryAddress, json: bool = False) -> None:
    """Show the entries that callers should use, the best first.

    Example: ``clementinepass entries --entry 127.0.0.1:8080``

    :param json: print one JSON document instead of a table.
    """
    with exits.report_errors():
        offered_entries = entry_client.EntryClient(entry).offered_entries()
    if json:
        output.print_json(offered_entries)
        return
    output.print_table(
        f'use in this order, for {offered_entries.max_age} s',
        ('address', 'failure domain', 'region'),
        (
            (offered.address, offered.failure_domain, offered.region)
            for offered in offered_entries.entries
        ),
    )


def drain(address: str) -> None:
    """Drain an entry or an agent: no new work, finish requests in progress.

    Equivalent to SIGTERM. ``status --json`` shows the addresses.

    Example: ``clementinepass drain 127.0.0.1:7001``

    :param address: the address at which the process listens for peers.
    """
    with exits.report_errors():
        asyncio.run(_drain(addresses.Address.from_text(address)))
    output.screen.print(f'{address} is draining')


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
    """Send one completion request as a caller and print the answer.

    Example: ``clementinepass request 'lamp 3 is dark' --model faults``

    :param model: the model's name.
    :param key: the team's key.
    :param max_tokens: the maximum number of tokens to generate.
    :param stream: print the answer while it is generated.
    """
    body = msgspec.json.encode(
        {
            'model': model,
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': stream,
        },
    )
    with exits.report_errors():
        answer = entry_client.EntryClient(entry).post(
            '/v1/completions',
            body,
            {'Authorization': f'Bearer {key}'},
        )
        for piece in answer.stream():
            sys.stdout.write(piece.decode(errors='replace'))
            sys.stdout.flush()
    sys.stdout.write('\n')
    if answer.status >= _MIN_ERROR_STATUS:
        sys.exit(exits.REJECTED)


def _agent_row(agent: entry_client.Agent) -> list[str]:
    agent_columns = [agent.failure_domain, agent.id, agent.liveness]
    state = agent.state
    if state is None:
        return agent_columns
    return [
        *agent_columns,
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
            _DRAIN_TIMEOUT_SECONDS,
        )
        process = connection.bootstrap(schema.peers.Process)
        await connections.call(
            process.drain(),
            step='drain',
            peer=str(address),
            timeout=_DRAIN_TIMEOUT_SECONDS,
        )
        connection.close()
