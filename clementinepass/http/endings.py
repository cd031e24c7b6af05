"""Reasons why a caller's connection ended."""

from __future__ import annotations

import enum


class End(enum.Enum):
    """Who ended a connection, and why, as far as known."""

    #: The connection is open.
    OPEN = 'open'
    #: The caller closed its side.
    CALLER_CLOSED = 'caller_closed'
    #: The connection was reset, by the caller or by a device on the path.
    CALLER_RESET = 'caller_reset'
    #: The kernel timed the connection out: the caller acknowledged nothing.
    CALLER_SILENT = 'caller_silent'
    #: The kernel reported another error.
    TRANSPORT_FAULT = 'transport_fault'
    #: No request arrived within the idle timeout.
    IDLE = 'idle'
    #: The head of a request was not complete in time.
    HEAD_LATE = 'head_late'
    #: The received bytes are not an acceptable request.
    INPUT_REFUSED = 'input_refused'
    #: Closed without a complete request, as memory or descriptors ran short.
    SHED = 'shed'
    #: Closed after an answer with ``Connection: close``.
    LAST_ANSWER = 'last_answer'
    #: The request's handler aborted its answer.
    BROKEN_OFF = 'broken_off'
    #: This process shut down.
    CUT = 'cut'
    #: The connection ended for an unknown reason.
    NOT_KNOWN = 'not_known'


def classify_error(error: Exception | None) -> End:
    """Return the reason for a connection that this process did not close.

    :param error: the error that the transport reported, if any.
    """
    if isinstance(error, ConnectionError):
        return End.CALLER_RESET
    if isinstance(error, TimeoutError):
        return End.CALLER_SILENT
    if error is not None:
        return End.TRANSPORT_FAULT
    return End.NOT_KNOWN
