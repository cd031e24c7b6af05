"""The seed of a proof: fixed in CI, another in each round of scripts/prove."""

from __future__ import annotations

import os
import random

_VARIABLE = 'CLEMENTINEPASS_PROOF_SEED'


def chance() -> random.Random:
    """Return the chance of this round."""
    return random.Random(int(os.environ.get(_VARIABLE, '1')))
