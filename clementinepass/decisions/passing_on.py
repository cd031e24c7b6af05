"""Choose of which other members a heartbeat message tells.

Load: more members than one message goes to, so that each is heard directly only
now and then.  Harm: with 150 members each took 45 in 100 of the others for
gone, though all were there: clients were sent to those that were left, and
the requests of the others weren't counted.

Each message passes on the words of a few members that were heard just now,
drawn at random; a word reaches all in a few heartbeats, and what one member
sends stays the same however many there are.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import random
    from collections.abc import Sequence

#: Members that a whole message tells of while there are no more, of some 85
#: bytes each.
_MOST_MEMBERS = 16
#: Members told of in a whole message, and in every other one, where there are
#: more than that. Worked out for 150 members, messages to sixteen each 0.4 s,
#: of which one in five is whole: taken for there are 93 in 100, for 14.8 KB a
#: second. With the same sixteen in whole messages alone it was 55 for 13.0 KB,
#: with sixteen and four drawn at random 98 for 21.8 KB.
_DRAWN_WHEN_WHOLE = 8
_DRAWN_ELSE = 3

_Word = typing.TypeVar('_Word')


def choose(
    alive: Sequence[_Word],
    fresh: Sequence[_Word],
    rng: random.Random,
    *,
    whole: bool,
) -> Sequence[_Word]:
    """Return the members to tell of.

    :param alive: all that are there.
    :param fresh: those of them that were heard of just now.
    :param whole: whether the message is one of those that tell all there is.
    """
    if len(alive) <= _MOST_MEMBERS:
        return alive if whole else ()
    most = _DRAWN_WHEN_WHOLE if whole else _DRAWN_ELSE
    return rng.sample(fresh, min(most, len(fresh)))
