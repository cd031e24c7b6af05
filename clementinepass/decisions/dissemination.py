"""Choose whom a heartbeat goes to, and of which other members it tells.

Load: more members than one message goes to, so that each is heard directly only
now and then.  Harm: with 150 members each took 45 in 100 of the others for
gone, though all were there: clients were sent to those that were left.

Each message passes on what its sender heard just now of some members, drawn at
random, as digests that say no more than that they are there.  A word reaches
all in a few heartbeats, and what one member sends stays the same however many
there are.  Most messages stay in the sender's failure domain, as links between
regions are narrow; a few go elsewhere, and are passed on there.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Sequence

#: Members up to which one message goes to all, and each fifth tells of all.
MAX_BROADCAST_MEMBERS = 16
#: Where there are more: members of the own failure domain that a message goes
#: to, and members elsewhere.
_SAME_DOMAIN_TARGETS = 10
_OTHER_DOMAIN_TARGETS = 4
#: Members of which a message then tells.
_MAX_DIGESTS = 14

_Member = typing.TypeVar('_Member')


def choose_targets(
    same_domain: Sequence[str],
    other_domains: Sequence[str],
    rng: random.Random,
) -> list[str]:
    """Return the members that a message goes to.

    :param near: those of the own failure domain.
    """
    if len(same_domain) + len(other_domains) <= MAX_BROADCAST_MEMBERS:
        return [*same_domain, *other_domains]
    targets = rng.sample(
        same_domain, min(_SAME_DOMAIN_TARGETS, len(same_domain))
    )
    missing = _SAME_DOMAIN_TARGETS + _OTHER_DOMAIN_TARGETS - len(targets)
    return targets + rng.sample(other_domains, min(missing, len(other_domains)))


def choose_digests(
    member_count: int,
    recently_seen: Sequence[_Member],
    rng: random.Random,
) -> list[_Member]:
    """Return the members to tell of by digests.

    :param members: how many there are.
    :param fresh: those of them that were heard of just now.
    """
    if member_count <= MAX_BROADCAST_MEMBERS:
        return []
    return rng.sample(recently_seen, min(_MAX_DIGESTS, len(recently_seen)))
