"""Tell from log lines why a request was let through after crashes under it.

The requests of an incident have ids of their own and one fingerprint.  Lines on
the evidence, of any process, name the fingerprint or the starts of endpoints
that crashed under it.
"""

from __future__ import annotations

import typing

from clementinepass.observability import lines

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

_CRASH = 'endpoint crashed under a request'
_NOT_COUNTED = 'broken attempt not counted as a crash'
_RECEIVED = 'crash evidence received'
_LET_THROUGH = 'sent after crashes'
_DROPPED = 'crash evidence dropped'
_CLEARED = 'cleared of crashes'
#: Messages of lines on evidence.
_EVIDENCE_MESSAGES = frozenset(
    (
        _CRASH,
        _NOT_COUNTED,
        _RECEIVED,
        _LET_THROUGH,
        _DROPPED,
        _CLEARED,
        'request quarantined',
        'quarantine of a request ended',
    )
)


class CrashHistory(typing.NamedTuple):
    """What became of the evidence on a fingerprint.

    :param evidence_lines: the lines on it, of all processes, by time.
    :param sentences: why the request was let through at the process that it
        came to, in order of time; empty if no endpoint crashed under it.
    """

    evidence_lines: tuple[lines.Line, ...]
    sentences: tuple[str, ...]


EMPTY = CrashHistory((), ())


def build(
    request_lines: Sequence[lines.Line], all_lines: Iterable[lines.Line]
) -> CrashHistory:
    """Return the history of the evidence on a request.

    :param request_lines: all lines on the request, in order of time.
    """
    fingerprint = next(
        (
            str(line.fields['fingerprint'])
            for line in request_lines
            if line.fields.get('fingerprint')
        ),
        '',
    )
    if not fingerprint:
        return EMPTY
    evidence_lines = _select(fingerprint, all_lines)
    crash = next(
        (line for line in request_lines if line.message == _CRASH), None
    )
    if crash is None:
        return CrashHistory(evidence_lines, ())
    return CrashHistory(
        evidence_lines, tuple(_explain(request_lines, crash, evidence_lines))
    )


def _select(
    fingerprint: str, all_lines: Iterable[lines.Line]
) -> tuple[lines.Line, ...]:
    """Return the lines on the evidence against a fingerprint."""
    candidates = [
        line for line in all_lines if line.message in _EVIDENCE_MESSAGES
    ]
    crash_ids = {
        crash_id
        for line in candidates
        if line.fields.get('fingerprint') == fingerprint
        for crash_id in _list_field(line, 'crashed')
    }
    selected = [
        line
        for line in candidates
        if line.fields.get('fingerprint') == fingerprint
        or fingerprint in _list_field(line, 'fingerprints')
        or fingerprint in _list_field(line, 'cleared')
        # Lists in lines are bounded, and may leave out the fingerprint.
        or (
            line.message in {_RECEIVED, _DROPPED}
            and not crash_ids.isdisjoint(_list_field(line, 'crashed'))
        )
    ]
    return tuple(sorted(selected, key=lambda line: line.written_at))


def _explain(
    request_lines: Sequence[lines.Line],
    crash: lines.Line,
    evidence_lines: Sequence[lines.Line],
) -> typing.Iterator[str]:
    """Yield sentences on why a request that met a crash had been sent."""
    sent_at = request_lines[0].written_at
    before = [line for line in evidence_lines if line.written_at < sent_at]
    yield from _explain_lost(before, crash.process)
    admitted = next(
        (line for line in request_lines if line.message == _LET_THROUGH), None
    )
    if admitted is None:
        yield f'{crash.process} knew of no crash under it when it was sent'
    elsewhere = {
        line.process
        for line in before
        if line.message == _CRASH and line.process != crash.process
    }
    received = [
        line
        for line in before
        if line.message == _RECEIVED and line.process == crash.process
    ]
    if elsewhere and not received:
        yield (
            f'{", ".join(sorted(elsewhere))} had recorded crashes under it, '
            f'and no line of {crash.process} is on receiving them'
        )


def _explain_lost(
    before: Sequence[lines.Line], process: str
) -> typing.Iterator[str]:
    """Yield a sentence for each decision that weakened the evidence."""
    for line in before:
        at = f'{line.process} at {line.fields.get("time")}'
        if line.message == _NOT_COUNTED:
            yield (
                f'{at} did not count the end of endpoint '
                f'{line.fields.get("endpoint")}: {line.fields.get("reason")}'
            )
        elif line.message == _CLEARED:
            yield (
                f'{at} cleared it of {_list_field(line, "crashed")}, by '
                f'{line.fields.get("by")}'
            )
        elif line.message == _DROPPED and line.process == process:
            yield (
                f'{at} dropped {_list_field(line, "crashed")}, expired: '
                f'{line.fields.get("expired")}'
            )


def _list_field(line: lines.Line, name: str) -> list[typing.Any]:
    field = line.fields.get(name)
    return field if isinstance(field, list) else []
