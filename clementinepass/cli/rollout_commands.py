"""Commands on rollouts of model versions: status."""

from __future__ import annotations

import sys
import time

import cyclopts
import msgspec
from rich import progress

from clementinepass.cli import (
    entry_client,
    exits,
    output,
    system_commands,
)

app = cyclopts.App(name='rollout', help='Follow rollouts of model versions.')

_POLL_INTERVAL_SECONDS = 0.5
_ENGINE_KIND = 'engine'


class Replica(msgspec.Struct, frozen=True):
    """The rollout state of one replica of a model."""

    agent: str
    failure_domain: str
    model: str
    #: ``serving``, ``loading``, ``fetching``, ``stuck`` or ``unreachable``.
    phase: str
    wanted: str
    serving: str
    chunks_held: int
    chunks_wanted: int
    bytes_origin: int
    bytes_peers: int
    bytes_store: int
    trouble: str


class Rollout(msgspec.Struct, frozen=True):
    """All replicas, and the number that serve their wanted version."""

    serving: int
    replicas: tuple[Replica, ...]

    @classmethod
    def from_status(cls, status: entry_client.Status) -> Rollout:
        """Return the rollout in the view of an entry."""
        replicas = tuple(
            _to_replica(agent)
            for agent in status.agents
            if agent.state is None or agent.state.kind == _ENGINE_KIND
        )
        serving = sum(replica.phase == 'serving' for replica in replicas)
        return cls(serving, replicas)

    @property
    def is_complete(self) -> bool:
        """Return whether all replicas serve the wanted version.

        Without any replica, the rollout is not complete.
        """
        return bool(self.replicas) and self.serving == len(self.replicas)


@app.command(name='status')
def status(
    *,
    entry: system_commands.EntryAddress,
    watch: bool = False,
    json: bool = False,
) -> None:
    """Show the progress of each replica, and why a replica is stuck.

    With ``--watch``, exit code 1 means that the command was interrupted.

    Example: ``clementinepass rollout status --watch --entry 127.0.0.1:8080``

    :param watch: wait until every replica serves the wanted version.
    :param json: print one JSON document for each poll.
    """
    client = entry_client.EntryClient(entry)
    with exits.report_errors():
        rollout = Rollout.from_status(client.status())
        if watch and not json:
            rollout = _watch(client, rollout)
        while watch and json and not rollout.is_complete:
            output.print_json(rollout)
            time.sleep(_POLL_INTERVAL_SECONDS)
            rollout = Rollout.from_status(client.status())
    if json:
        output.print_json(rollout)
    else:
        _print_rollout(rollout)


def _watch(client: entry_client.EntryClient, rollout: Rollout) -> Rollout:
    columns = (
        progress.TextColumn('{task.description}'),
        progress.BarColumn(),
        progress.MofNCompleteColumn(),
        progress.TimeElapsedColumn(),
        progress.TimeRemainingColumn(),
    )
    try:
        with progress.Progress(*columns, console=output.screen) as bar:
            chunks = bar.add_task('chunks held')
            serving = bar.add_task('replicas serving')
            while not rollout.is_complete:
                time.sleep(_POLL_INTERVAL_SECONDS)
                rollout = Rollout.from_status(client.status())
                bar.update(
                    chunks,
                    completed=sum(
                        replica.chunks_held for replica in rollout.replicas
                    ),
                    total=sum(
                        replica.chunks_wanted for replica in rollout.replicas
                    ),
                )
                bar.update(
                    serving,
                    completed=rollout.serving,
                    total=len(rollout.replicas),
                )
    except KeyboardInterrupt:
        _print_rollout(rollout)
        sys.exit(exits.REJECTED)
    return rollout


def _print_rollout(rollout: Rollout) -> None:
    output.print_table(
        f'{rollout.serving} of {len(rollout.replicas)} replicas serve',
        (
            'failure domain',
            'agent',
            'model',
            'phase',
            'wanted',
            'serving',
            'chunks',
            'MB from origin',
            'MB from peers',
            'MB from store',
            'trouble',
        ),
        sorted(_replica_row(replica) for replica in rollout.replicas),
    )


def _replica_row(replica: Replica) -> list[str]:
    bytes_per_megabyte = 1e6
    return [
        replica.failure_domain,
        replica.agent,
        replica.model,
        replica.phase,
        replica.wanted,
        replica.serving,
        f'{replica.chunks_held}/{replica.chunks_wanted}',
        f'{replica.bytes_origin / bytes_per_megabyte:.1f}',
        f'{replica.bytes_peers / bytes_per_megabyte:.1f}',
        f'{replica.bytes_store / bytes_per_megabyte:.1f}',
        replica.trouble,
    ]


def _to_replica(agent: entry_client.Agent) -> Replica:
    state = agent.state
    if state is None or agent.liveness != 'attached':
        return Replica(
            agent.id,
            agent.failure_domain,
            model=state.serves if state else '',
            phase='unreachable',
            wanted=state.wanted if state else '',
            serving='',
            chunks_held=0,
            chunks_wanted=0,
            bytes_origin=0,
            bytes_peers=0,
            bytes_store=0,
            trouble=f'connection is {agent.liveness}',
        )
    return Replica(
        agent.id,
        agent.failure_domain,
        model=state.serves,
        phase=_derive_phase(state),
        wanted=state.wanted,
        serving=state.version,
        chunks_held=state.chunks_held,
        chunks_wanted=state.chunks_wanted,
        bytes_origin=state.bytes_origin,
        bytes_peers=state.bytes_peers,
        bytes_store=state.bytes_store,
        trouble=state.trouble,
    )


def _derive_phase(state: entry_client.AgentState) -> str:
    if state.wanted and state.version == state.wanted:
        return 'serving'
    if state.trouble:
        return 'stuck'
    if not state.wanted or state.chunks_held < state.chunks_wanted:
        return 'fetching'
    return 'loading'
