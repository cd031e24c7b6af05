"""Why a caller's connection ended, as far as there is evidence."""

from __future__ import annotations

import enum


class End(enum.Enum):
    """Who ended a connection, and why."""

    #: It hasn't ended.
    OPEN = 'open'
    #: The caller ended its side.
    CALLER_CLOSED = 'caller_closed'
    #: A reset came from the caller's side: from the caller, or from something
    #: between.
    CALLER_RESET = 'caller_reset'
    #: The kernel gave up on a caller that acknowledges nothing.
    CALLER_SILENT = 'caller_silent'
    #: The kernel told of another fault.
    TRANSPORT_FAULT = 'transport_fault'
    #: No request came for as long as one is kept open.
    IDLE = 'idle'
    #: The head of a request took too long.
    HEAD_LATE = 'head_late'
    #: What came is no request that may be served.
    INPUT_REFUSED = 'input_refused'
    #: Closed after an answer that said so.
    LAST_ANSWER = 'last_answer'
    #: Whoever served the request broke its answer off.
    BROKEN_OFF = 'broken_off'
    #: This process ended.
    CUT = 'cut'
    #: It ended, and nothing tells why.
    NOT_KNOWN = 'not_known'


def classify_error(error: Exception | None) -> End:
    """Return why a connection ended that this process did not end."""
    if isinstance(error, ConnectionError):
        return End.CALLER_RESET
    if isinstance(error, TimeoutError):
        return End.CALLER_SILENT
    if error is not None:
        return End.TRANSPORT_FAULT
    return End.NOT_KNOWN
