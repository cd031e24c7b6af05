"""Choose the sources that an agent asks for a manifest in one round.

All agents want the manifest of a new version at once, and a request for it may
wait for a second at each of them. While the origin was unreachable no agent had
the manifest: each requested it from all others in turn, a second each, before
it tried the origin again, and so noticed the origin's return as many seconds
late as there were agents.

A round therefore requests the manifest from a few sources at the same time: the
agents before this one in the chain, the origin, and two other agents in
rotation, so that the number of requests does not grow with the number of
agents. The first round omits the two others. It does not omit the origin: after
a power loss the list of endpoints still named engines that had had the version,
and all agents asked those and waited for a second in vain.
"""

from __future__ import annotations

from clementinepass.decisions import piece_chains

#: Other agents that are asked in a round. What some agents have from the origin
#: all agents have after a few rounds, whose number grows with the logarithm of
#: the number of agents.
_EXTRA_AGENTS = 2
#: Agents of a chain that ask the origin in every round. The agents behind them
#: ask it in every second, third, ... round: a manifest of 96 pieces is some 7
#: KB, which takes the origin's link 8 ms, and 150 agents that request it at
#: once would delay the first pieces by a second. With this value 22 of 300
#: agents ask the origin in one round.
_EVERY_ROUND_AGENTS = 4


def choose_sources(
    plan: piece_chains.FetchPlan, failed_rounds: int
) -> tuple[str, ...]:
    """Return the sources to ask at the same time: IP numbers and the origin.

    :param plan: the agent's sources of pieces.
    :param failed_rounds: number of rounds so far that found no manifest.
    """
    chosen = [
        *plan.sources,
        *(_extra_agents(plan, failed_rounds) if failed_rounds else ()),
    ]
    origin_interval = 1 + plan.position // _EVERY_ROUND_AGENTS
    if not (failed_rounds + plan.position) % origin_interval:
        chosen.append(piece_chains.ORIGIN)
    return tuple(dict.fromkeys(chosen))


def _extra_agents(
    plan: piece_chains.FetchPlan, failed_rounds: int
) -> list[str]:
    """Return the other agents to ask in this round.

    Where an agent starts in the list depends on its position in its chain.
    """
    agents = list(dict.fromkeys(plan.all_peer_ips))
    start = plan.position + failed_rounds * _EXTRA_AGENTS
    count = min(_EXTRA_AGENTS, len(agents))
    return [agents[(start + offset) % len(agents)] for offset in range(count)]
