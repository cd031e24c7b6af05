"""Counts of what a replica's weights cost, by source."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class Ledger:
    """Bytes and faults since the agent started."""

    #: Bytes read from the origin.
    origin: int = 0
    #: Bytes of manifests read from the weight store.
    store: int = 0
    #: Bytes received from other agents.
    peers: int = 0
    #: The part of ``peers`` that crossed a failure domain.
    crossed: int = 0
    #: Bytes sent to other agents.
    sent: int = 0
    #: Chunks thrown away because they did not match their digest.
    corrupt: int = 0
    #: Calls to peers or the origin given up for lack of progress.
    stalled: int = 0
    #: Calls answered by other agents.
    calls: int = 0
