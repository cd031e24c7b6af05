"""The uptime of this process.

It counts from the import of this module, which the daemon imports before all
other modules: the imports take seconds where many processes start at once.
"""

from __future__ import annotations

import time

#: Monotonic time at which this module was imported.
STARTED_AT = time.monotonic()


def seconds() -> float:
    """Return the uptime in seconds, rounded to milliseconds."""
    return round(time.monotonic() - STARTED_AT, 3)
