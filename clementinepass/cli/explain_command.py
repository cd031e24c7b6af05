"""The command that explains the outcome of a request from collected logs."""

from __future__ import annotations

import pathlib
import sys
import typing

from clementinepass.cli import exits, output
from clementinepass.observability import request_history

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from clementinepass.observability import crash_history


def explain(
    request: str,
    *files: pathlib.Path,
    json: bool = False,
) -> None:
    """Explain the outcome of a request from the logs of several processes.

    Shows the cause of the outcome, as far as log lines prove one, and the
    events that led to it; the log lines on the request in order of time; the
    state known to the processes that handled it when it arrived, with its age;
    and lines that may be missing.  Each time is by the clock of the process
    that wrote the line.

    Example: ``clementinepass explain 7b0eacb332610d16 logs/*.log``

    :param request: the request id, set by the caller.
    :param files: the log files, one for each process and named after it.
    :param json: print one JSON document instead of tables.
    """
    collection = _collect(files)
    history = collection.build_history(request)
    if history is None:
        sys.stderr.write(
            f'{request}: no line of {len(files)} files is on this request; of '
            'the successful requests, one in sixteen is logged '
            f'(lines that could not be read: {collection.unreadable_lines})\n',
        )
        for line in collection.find_killed_entries():
            sys.stderr.write(
                f'may be missing: {line.process} began anew at '
                f'{line.fields.get("time")} without a regular stop; requests '
                'in progress there have no line\n',
            )
        sys.exit(exits.REJECTED)
    if json:
        output.print_json(history)
        return
    _print_history(request, history)
    if collection.unreadable_lines:
        output.screen.print(
            f'{collection.unreadable_lines} lines could not be read'
        )


def _collect(files: Sequence[pathlib.Path]) -> request_history.LogCollection:
    collection = request_history.LogCollection()
    if not files:
        sys.stderr.write('no files: pass the log file of each process\n')
        sys.exit(exits.BAD_INPUT)
    for path in files:
        try:
            payload = path.read_bytes()
        except OSError as error:
            sys.stderr.write(f'{path}: {error.strerror}\n')
            sys.exit(exits.BAD_INPUT)
        collection.add(path.stem, payload.splitlines())
    return collection


def _print_history(
    request: str, history: request_history.RequestHistory
) -> None:
    started_at = history.lines[0].written_at
    output.print_table(
        f'request {request}',
        ('seconds', 'process', 'what', 'why'),
        [
            (
                f'{line.written_at - started_at:.3f}',
                line.process,
                line.message,
                line.details,
            )
            for line in history.lines
        ],
    )
    _print_cause(history)
    if history.crashes.evidence_lines:
        _print_crashes(history.crashes, started_at)
    output.print_table(
        'state known when the request arrived',
        ('process', 'what', 'for seconds', 'of'),
        [
            (
                observation.line.process,
                observation.line.message,
                f'{observation.age:.1f}',
                observation.line.details,
            )
            for observation in history.observations
        ],
    )
    for gap in history.gaps:
        output.screen.print(f'may be missing: {gap}')


def _print_crashes(
    crashes: crash_history.CrashHistory, started_at: float
) -> None:
    """Print what became of the evidence on crashes under the request."""
    output.print_table(
        'evidence on crashes under requests with the same fingerprint',
        ('seconds', 'process', 'what', 'why'),
        [
            (
                f'{line.written_at - started_at:.3f}',
                line.process,
                line.message,
                line.details,
            )
            for line in crashes.evidence_lines
        ],
    )
    for sentence in crashes.sentences:
        output.screen.print(f'let through: {sentence}', markup=False)


def _print_cause(history: request_history.RequestHistory) -> None:
    verdict = history.verdict
    output.screen.print(
        f'cause: {verdict.cause.value}: {verdict.sentence}',
        markup=False,
    )
    for sentence in verdict.contributions:
        output.screen.print(f'led to it: {sentence}', markup=False)
    for observation in history.deciding_observations:
        output.screen.print(
            f'decided by: {observation.line.message} '
            f'{observation.line.details}, '
            f'{observation.age:.1f} s before its end',
            markup=False,
        )
    if history.first_failure is not None:
        output.screen.print(
            f'first failure: {history.first_failure.message} '
            f'at {history.first_failure.process}',
        )
