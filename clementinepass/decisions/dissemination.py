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
MOST_DIRECT = 16
#: Where there are more: members of the own failure domain that a message goes
#: to, and members elsewhere.
_NEAR_TARGETS = 10
_FAR_TARGETS = 4
#: Members of which a message then tells.
_DRAWN = 14

_Word = typing.TypeVar('_Word')


def targets(
    near: Sequence[str],
    far: Sequence[str],
    rng: random.Random,
) -> list[str]:
    """Return the members that a message goes to.

    :param near: those of the own failure domain.
    """
    if len(near) + len(far) <= MOST_DIRECT:
        return [*near, *far]
    drawn_near = rng.sample(near, min(_NEAR_TARGETS, len(near)))
    wanted = _NEAR_TARGETS + _FAR_TARGETS - len(drawn_near)
    return drawn_near + rng.sample(far, min(wanted, len(far)))


def digests(
    members: int,
    fresh: Sequence[_Word],
    rng: random.Random,
) -> list[_Word]:
    """Return the members to tell of by digests.

    :param members: how many there are.
    :param fresh: those of them that were heard of just now.
    """
    if members <= MOST_DIRECT:
        return []
    return rng.sample(fresh, min(_DRAWN, len(fresh)))
