"""Choose the recipients of a heartbeat and the members that it reports.

In a cluster with more members than a message is sent to, a member receives
messages of any other member only now and then. With 150 members each considered
45 in 100 of the others as gone although all were alive, and callers were sent
to the remaining ones.

Each message therefore carries digests of random members that its sender heard
from recently; a digest says no more than that the member is alive. An
announcement reaches all members within a few heartbeats, and the traffic of one
member stays the same however many there are. Most messages stay in the sender's
failure domain, as links between regions are narrow; a few go to other domains
and are passed on there.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Sequence

#: Up to this number of members every message goes to all of them, and every
#: fifth one carries the records of all members.
MAX_BROADCAST_MEMBERS = 16
#: In larger clusters: recipients of a message in the sender's failure domain
#: and in the other ones.
_SAME_DOMAIN_TARGETS = 10
_OTHER_DOMAIN_TARGETS = 4
#: Members that a message reports by digests in larger clusters.
_MAX_DIGESTS = 14

_Member = typing.TypeVar('_Member')


def choose_targets(
    same_domain: Sequence[str],
    other_domains: Sequence[str],
    rng: random.Random,
) -> list[str]:
    """Return the addresses that a heartbeat is sent to.

    :param same_domain: addresses of members of the sender's failure domain.
    :param other_domains: addresses of all other members.
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
    """Return the members that a heartbeat reports by digests.

    :param member_count: number of members that are alive.
    :param recently_seen: those of them that were heard from recently.
    """
    if member_count <= MAX_BROADCAST_MEMBERS:
        return []
    return rng.sample(recently_seen, min(_MAX_DIGESTS, len(recently_seen)))
