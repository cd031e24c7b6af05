"""Exit codes, common to all commands."""

from __future__ import annotations

import contextlib
import sys
import typing

from clementinepass import errors

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

#: The command succeeded.
OK = 0
#: The operation was rejected or refused; nothing else went wrong.
REJECTED = 1
#: The input has faults; all of them were listed.
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
    """Print an error with its step and peer, and exit with its exit code."""
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
