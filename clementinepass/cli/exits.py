"""Exit codes of the command line, the same for every command."""

from __future__ import annotations

import contextlib
import sys
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: What was asked for has been done.
OK = 0
#: It was rejected or refused; nothing else is wrong.
REJECTED = 1
#: The input has faults, all of which were listed.
BAD_INPUT = 2
#: A service or a process did not answer.
UNAVAILABLE = 3

_UNAVAILABLE_ERRORS = (
    errors.PlatformUnavailableError,
    errors.PeerUnavailableError,
    errors.ThrottledError,
    errors.OutcomeUnknownError,
    errors.RecordsExpiredError,
)


@contextlib.contextmanager
def report_errors() -> Iterator[None]:
    """Print an error with its step and peer, and exit with its code."""
    try:
        yield
    except ExceptionGroup as group:
        for fault in group.exceptions:
            sys.stderr.write(f'{fault}\n')
        sys.exit(BAD_INPUT)
    except _UNAVAILABLE_ERRORS as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(UNAVAILABLE)
    except errors.ClementinepassError as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(REJECTED)
