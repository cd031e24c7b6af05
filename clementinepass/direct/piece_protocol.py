"""Protocol by which agents fetch manifests and pieces from each other."""

from __future__ import annotations

import msgspec

#: First segments of a request's path. The model and the version follow, then
#: the number of a piece, or how many pieces are known.
MANIFESTS = 'manifests'
NUMBERS = 'numbers'
PIECES = 'pieces'
#: Headers of responses: how many pieces of the version the agent has, and
#: whether they arrive there slowly.
PIECE_COUNT_HEADER = b'Clementinepass-Pieces'
SLOW_HEADER = b'Clementinepass-Slow'


class AvailabilityReply(msgspec.Struct):
    """The pieces that an agent has of a version that it fetches.

    :param slow: whether pieces arrive there slowly.
    """

    numbers: tuple[int, ...]
    slow: bool
