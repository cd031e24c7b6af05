"""The uptime of this process."""

from __future__ import annotations

import time

#: Monotonic time at which this module was imported.
_STARTED_AT = time.monotonic()


def seconds() -> float:
    """Return the uptime in seconds, rounded to milliseconds."""
    return round(time.monotonic() - _STARTED_AT, 3)
