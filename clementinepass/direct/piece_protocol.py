"""What agents ask one another for, and how it is spelled."""

from __future__ import annotations

import msgspec

#: The kinds of question; the model and the version follow in the path, then a
#: piece's number or how many numbers are known.
MANIFESTS = 'manifests'
NUMBERS = 'numbers'
PIECES = 'pieces'
#: How many pieces of the version the answering agent has, and whether they
#: come slowly to it.
PIECE_COUNT_HEADER = b'Clementinepass-Pieces'
SLOW_HEADER = b'Clementinepass-Slow'


class AvailabilityReply(msgspec.Struct):
    """What an agent that gets pieces says of them."""

    numbers: tuple[int, ...]
    slow: bool
