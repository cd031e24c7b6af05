"""Choose whom an agent asks for the manifest of a version, round by round.

Load: all agents want the manifest of a version at once, and each lets others
wait for it for a second.  Harm: while the origin was away nobody had it.  Each
agent asked all others in turn, a second each, before it asked the origin again,
and missed its return for as many seconds as there were agents.

So a round asks a few at the same time: the agents before in the chain, the
origin, and two others by turns, so that the number of questions doesn't grow
with the agents.  The first round leaves out the others.  It doesn't leave out
the origin: after a loss of power the list still said which engines had had the
version, all asked those, and waited a second for nothing.
"""

from __future__ import annotations

from clementinepass.decisions import piece_chains

#: Other agents asked in a round: what some have from the origin, all have after
#: a few rounds, whose number grows with the logarithm of the agents.
_EXTRA_AGENTS = 2
#: Agents of a chain that ask the origin in each round. Those behind ask it in
#: every second, third and so on: a manifest of 96 pieces is some 7 KB, which
#: takes the origin's link 8 ms, and 150 agents that ask at once would hold up
#: the first pieces by a second. So 22 of 300 ask it in one round.
_ORIGIN_EACH_ROUND = 4


def choose_sources(
    plan: piece_chains.FetchPlan, failed_rounds: int
) -> tuple[str, ...]:
    """Return whom to ask at the same time: IP numbers, and the origin.

    :param plan: from whom the agent is to get pieces.
    :param number: how many rounds brought nothing.
    """
    chosen = [
        *plan.sources,
        *(_extra_agents(plan, failed_rounds) if failed_rounds else ()),
    ]
    origin_interval = 1 + plan.position // _ORIGIN_EACH_ROUND
    if not (failed_rounds + plan.position) % origin_interval:
        chosen.append(piece_chains.ORIGIN)
    return tuple(dict.fromkeys(chosen))


def _extra_agents(
    plan: piece_chains.FetchPlan, failed_rounds: int
) -> list[str]:
    """Return the other agents whose turn it is; each agent begins elsewhere."""
    agents = list(dict.fromkeys(plan.all_peer_ips))
    start = plan.position + failed_rounds * _EXTRA_AGENTS
    count = min(_EXTRA_AGENTS, len(agents))
    return [agents[(start + offset) % len(agents)] for offset in range(count)]
