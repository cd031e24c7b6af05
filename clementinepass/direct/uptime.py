"""How long this process has been there."""

from __future__ import annotations

import time

#: Monotonic seconds at which the process read its program.
_STARTED_AT = time.monotonic()


def seconds() -> float:
    """Return the seconds since the process began, to the millisecond."""
    return round(time.monotonic() - _STARTED_AT, 3)
