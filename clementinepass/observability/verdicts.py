"""Work out a request's cause from all lines that were written of it.

The line of its ending comes first, then what led to it.  Where a line or a
field is missing that would prove a cause, the cause is not known: a wrong one
sends an engineer to the wrong place.
"""

from __future__ import annotations

import typing

from clementinepass.observability import causes, lines

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds by which a caller's clock may be ahead, which began before its
#: request was read here: the time of a request's way, slow links included.
_AHEAD_SECONDS = 0.25
#: Seconds for which an engine that was ordered to load new weights may cut
#: what it still runs. Both times are of their own machine's clock.
_LOAD_SECONDS = 3.0

Cause = causes.Cause

_CAUSE_BY_REASON = {
    'starting': Cause.STARTING,
    'leaving': Cause.LEAVING,
    'malformed': Cause.MALFORMED,
    'unknown_key': Cause.UNKNOWN_KEY,
    'unknown_route': Cause.UNKNOWN_ROUTE,
    'overload': Cause.OVERLOAD,
    'no_service': Cause.NO_SERVICE,
    'no_endpoint': Cause.NO_ENDPOINT,
    'no_weights': Cause.NO_WEIGHTS,
    'endpoint_failed': Cause.ENDPOINT_FAILED,
    'deadline': Cause.DEADLINE,
    'route_time': Cause.ROUTE_TIME,
    'slow_reader': Cause.SLOW_READER,
}
_WITHDRAWN_BY_CAUSE = {
    Cause.UNKNOWN_KEY: Cause.KEY_WITHDRAWN,
    Cause.UNKNOWN_ROUTE: Cause.ROUTE_WITHDRAWN,
}
_CAUSE_BY_FAULT = {
    'unreachable': Cause.UNREACHABLE,
    'lost': Cause.ENDPOINT_LOST,
    'ended': Cause.ENDPOINT_ENDED,
    'silent': Cause.ENDPOINT_SILENT,
    'spoilt': Cause.ENDPOINT_SPOILT,
    'too_old': Cause.WEIGHTS_TOO_OLD,
    'loading': Cause.TOOK_UP_WEIGHTS,
    'failed': Cause.ENDPOINT_FAILED,
}
#: Endings that are what became of the attempts.
_OF_ATTEMPTS = frozenset(('broken', 'turned_away', 'endpoint_failed'))
_ATTEMPT_ENDED = frozenset(('attempt failed', 'failed by the endpoint'))
#: Faults with which an engine that takes up weights cuts what it runs.
_CUT_FAULTS = frozenset(('lost', 'ended', 'spoilt'))
#: What became of attempts that did not run. The first of these that one of a
#: request's attempts met is the cause: an endpoint's own word goes before what
#: was concluded here.
_CAUSE_BY_NOT_RUN = {
    'turned_away': Cause.TURNED_AWAY,
    'misdirected': Cause.MISDIRECTED,
    'unreachable': Cause.UNREACHABLE,
}
#: Endings for which the silence of the endpoint is worth telling.
_WAITED = frozenset(
    (
        Cause.CALLER_LEFT,
        Cause.CALLER_GAVE_UP,
        Cause.CALLER_DEADLINE,
        Cause.CONNECTION_RESET,
        Cause.DEADLINE,
        Cause.ROUTE_TIME,
        Cause.CUT_AT_END,
    ),
)
_SENTENCE_BY_MESSAGE = {
    finding.value: sentence
    for finding, sentence in causes.SENTENCE_BY_FINDING.items()
}


class Around(typing.NamedTuple):
    """What was written besides the lines of the request itself.

    :param after: lines of the process that had it last, after its own.
    :param loads: orders to load, each with the address of its engine.
    """

    after: Sequence[lines.Line]
    loads: Sequence[tuple[str, lines.Line]]
    dropped: bool = False


class Verdict(typing.NamedTuple):
    """Why a request ended as it did.

    :param led: what led to it, a sentence each, in order of time.
    """

    cause: causes.Cause
    sentence: str
    led: tuple[str, ...] = ()


def ends(line: lines.Line) -> bool:
    """Tell whether a line says how its request ended."""
    return line.message in _JUDGE_BY_MESSAGE


def judge(own: Sequence[lines.Line], around: Around) -> Verdict:
    """Return the cause that a request's lines prove.

    :param own: its lines, in order of time.
    """
    final = next(
        (one for one in reversed(own) if ends(one)),
        None,
    )
    if final is None:
        return _unended(own, around)
    before = [one for one in own if one is not final]
    cause, line = _JUDGE_BY_MESSAGE[final.message](final, before, around)
    verdict = _verdict(cause, line)
    led = [_told(one) for one in before if one.message in _SENTENCE_BY_MESSAGE]
    if cause in _WAITED:
        led += _silence(final)
    return verdict._replace(led=tuple(led))


def _verdict(cause: Cause, line: lines.Line) -> Verdict:
    """Return a cause with its sentence."""
    sentence = causes.SENTENCE_BY_CAUSE[cause]
    return Verdict(cause, sentence.format_map(_Fields(line.fields)))


def _not_known(why: str) -> Verdict:
    sentence = causes.SENTENCE_BY_CAUSE[Cause.NOT_KNOWN].format(why=why)
    return Verdict(Cause.NOT_KNOWN, sentence)


def _told(line: lines.Line) -> str:
    """Return what a line that led to the ending says, as far as it does."""
    fields = _Fields(line.fields)
    return _SENTENCE_BY_MESSAGE[line.message].format_map(fields)


class _Fields(dict[str, typing.Any]):
    """The fields of a line, with a mark for those that it lacks."""

    def __missing__(self, name: str) -> str:
        return '?'


def _silence(final: lines.Line) -> list[str]:
    """Say for how long the endpoint had been silent, if it was asked."""
    fields = final.fields
    endpoint, silent = fields.get('endpoint'), fields.get('silent')
    if endpoint is None or silent is None:
        return ['it had been sent to no endpoint']
    events = fields.get('events', 0)
    return [
        f'endpoint {endpoint} had been silent for {silent} s; its caller had '
        f'got {events} events',
    ]


_Found = tuple[Cause, lines.Line]


def _unproved(line: lines.Line, why: str) -> _Found:
    """Return that the cause is not known."""
    told = lines.Line(line.process, line.at, line.message, {'why': why})
    return Cause.NOT_KNOWN, told


def _unended(own: Sequence[lines.Line], around: Around) -> Verdict:
    """Judge a request of which no line says how it ended."""
    if around.dropped:
        return _not_known('lines were dropped when it ended')
    for line in around.after:
        if line.message == 'stopped':
            return _not_known('the entry stopped without a word on it')
        if begins(line):
            return _verdict(Cause.PROCESS_GONE, line)
    return _not_known('no line says how it ended')


def begins(line: lines.Line) -> bool:
    """Tell whether a line is written by an entry that has just begun.

    Its first may have been lost together with the last of the one before.
    """
    if line.message == 'entry started':
        return True
    is_configured = line.message == 'configuration in force'
    return is_configured and line.fields.get('before') == 0


def _of_refusal(
    final: lines.Line,
    before: Sequence[lines.Line],
    around: Around,
) -> _Found:
    reason = final.fields.get('reason')
    cause = _CAUSE_BY_REASON.get(str(reason))
    if cause is None:
        return _unproved(final, f'reason {reason!r} is none that is known')
    if cause not in _WITHDRAWN_BY_CAUSE:
        return cause, final
    known_in = _number(final, 'last_in')
    if known_in is None:
        return _unproved(final, 'its line lacks what was known before')
    return _WITHDRAWN_BY_CAUSE[cause] if known_in else cause, final


def _of_ending(
    final: lines.Line,
    before: Sequence[lines.Line],
    around: Around,
) -> _Found:
    """Judge by the ending and by what it says became of the attempts."""
    if final.fields.get('decision') == 'budget_spent':
        return Cause.BUDGET, final
    reason = str(final.fields.get('reason'))
    if reason == 'leaving':
        return Cause.CUT_AT_END, final
    if reason not in _OF_ATTEMPTS:
        return _of_refusal(final, before, around)
    outcomes = final.fields.get('outcomes')
    if not isinstance(outcomes, list):
        return _unproved(final, 'its line lacks what became of its attempts')
    if reason == 'turned_away':
        return _of_not_run(final, outcomes)
    if reason == 'endpoint_failed':
        # Its caller got that answer, whatever was tried after it.
        while outcomes and outcomes[-1] != 'failed':
            outcomes = outcomes[:-1]
    return _of_last_run(final, outcomes, before, around)


def _of_last_run(
    final: lines.Line,
    outcomes: list[typing.Any],
    before: Sequence[lines.Line],
    around: Around,
) -> _Found:
    """Judge by the last attempt that ran, or may have."""
    for place in reversed(range(len(outcomes))):
        outcome = str(outcomes[place])
        if outcome in _CAUSE_BY_NOT_RUN:
            continue
        if outcome not in _CAUSE_BY_FAULT:
            return _unproved(
                final, f'outcome {outcome!r} is none that is known'
            )
        line = _attempt_line(before, place + 1)
        if outcome in _CUT_FAULTS and _was_loading(line, around):
            return Cause.TOOK_UP_WEIGHTS, line
        return _CAUSE_BY_FAULT[outcome], line
    return _unproved(final, 'no attempt is said to have run')


def _attempt_line(before: Sequence[lines.Line], number: int) -> lines.Line:
    """Return the line on a failed attempt; one of nothing if it is missing."""
    for line in before:
        told = line.message in _ATTEMPT_ENDED
        if told and line.fields.get('attempt') == number:
            return line
    return lines.Line('', 0, '', {})


def _was_loading(line: lines.Line, around: Around) -> bool:
    """Tell whether its agent had an engine load when it cut a request."""
    engine = line.fields.get('engine')
    return any(
        engine == address
        and order.fields.get('answer') == 'accepted'
        and 0 <= line.at - order.at <= _LOAD_SECONDS
        for address, order in around.loads
    )


def _of_not_run(final: lines.Line, outcomes: list[typing.Any]) -> _Found:
    """Judge a request that no endpoint ran, by all that it was sent to."""
    for outcome, cause in _CAUSE_BY_NOT_RUN.items():
        if outcome in outcomes:
            return cause, final
    return _unproved(final, 'no attempt is said to have been turned away')


def _of_caller(
    final: lines.Line,
    before: Sequence[lines.Line],
    around: Around,
) -> _Found:
    """Tell a caller that gave up from one that left of its own accord."""
    fields = final.fields
    left, waited = _number(final, 'left'), _number(final, 'waited')
    if left is None or waited is None or 'end' not in fields:
        return _unproved(final, 'its line does not say who ended it')
    if left <= _AHEAD_SECONDS:
        return Cause.CALLER_DEADLINE, final
    patience = _number(final, 'patience')
    if patience is not None and waited >= patience - _AHEAD_SECONDS:
        return Cause.CALLER_GAVE_UP, final
    if fields['end'] == 'caller_closed':
        return Cause.CALLER_LEFT, final
    return Cause.CONNECTION_RESET, final


def _number(line: lines.Line, name: str) -> float | None:
    """Return a field that is a number; ``None`` for anything else."""
    field = line.fields.get(name)
    return field if isinstance(field, int | float) else None


def _always(cause: Cause) -> _Judge:
    """Return a judge for a line that proves one cause."""

    def judged(
        final: lines.Line,
        before: Sequence[lines.Line],
        around: Around,
    ) -> _Found:
        return cause, final

    return judged


def _of_unknown(
    final: lines.Line,
    before: Sequence[lines.Line],
    around: Around,
) -> _Found:
    return _unproved(final, 'its work was ended, and nothing tells by whom')


_Judge = typing.Callable[[lines.Line, 'Sequence[lines.Line]', Around], _Found]

#: How to judge by each line that ends a request.
_JUDGE_BY_MESSAGE: dict[str, _Judge] = {
    'answered': _always(Cause.ANSWERED),
    'refused': _of_refusal,
    'ended without an answer': _of_ending,
    'caller left': _of_caller,
    'connection reset': _of_caller,
    'connection lost': _always(Cause.CONNECTION_LOST),
    'cut off, as this entry ends': _always(Cause.CUT_AT_END),
    'cut off by a fault of this entry': _always(Cause.OWN_FAULT),
    'cut off, not known why': _of_unknown,
}
