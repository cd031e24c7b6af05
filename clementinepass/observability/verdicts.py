"""Determine the cause of a request's outcome from its log lines.

The line on the end of the request is examined first, then the lines before it.
If a line or a field that would prove a cause is missing, the cause is reported
as unknown: a wrong cause misleads the engineer who looks for it.
"""

from __future__ import annotations

import typing

from clementinepass.observability import causes, lines

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

#: Seconds by which a timer of the caller may be ahead, as it is started before
#: the entry reads the request: the network latency, slow links included.
_CLOCK_MARGIN_SECONDS = 0.25
#: An engine that was ordered to load new weights may abort running requests for
#: this many seconds. The order and the abort are logged by different machines,
#: each by its own clock.
_LOAD_CUT_SECONDS = 3.0

Cause = causes.Cause

_CAUSE_BY_REASON = {
    'starting': Cause.STARTING,
    'leaving': Cause.DRAINING,
    'malformed': Cause.MALFORMED,
    'unknown_key': Cause.UNKNOWN_KEY,
    'unknown_route': Cause.UNKNOWN_ROUTE,
    'quarantined': Cause.QUARANTINED,
    'overload': Cause.OVERLOAD,
    'no_service': Cause.NO_SERVICE,
    'no_endpoint': Cause.NO_ENDPOINT,
    'no_weights': Cause.NO_WEIGHTS,
    'region_not_allowed': Cause.REGION_NOT_ALLOWED,
    'evacuated': Cause.EVACUATED,
    'memory_full': Cause.MEMORY_FULL,
    'all_paused': Cause.ALL_PAUSED,
    'all_limited': Cause.ALL_LIMITED,
    'endpoint_failed': Cause.ENDPOINT_FAILED,
    'deadline': Cause.DEADLINE,
    'route_time': Cause.ROUTE_TIMEOUT,
    'slow_reader': Cause.SLOW_READER,
}
_WITHDRAWN_BY_CAUSE = {
    Cause.UNKNOWN_KEY: Cause.KEY_WITHDRAWN,
    Cause.UNKNOWN_ROUTE: Cause.ROUTE_WITHDRAWN,
}
_CAUSE_BY_FAULT = {
    'unreachable': Cause.UNREACHABLE,
    'lost': Cause.ENDPOINT_CONNECTION_LOST,
    'ended': Cause.ENDPOINT_CLOSED,
    'silent': Cause.ENDPOINT_SILENT,
    'spoilt': Cause.ENDPOINT_MALFORMED,
    'too_old': Cause.WEIGHTS_TOO_OLD,
    'loading': Cause.ENGINE_LOADING,
    'failed': Cause.ENDPOINT_FAILED,
}
#: Reasons for which the outcomes of the attempts give the cause.
_ATTEMPT_REASONS = frozenset(('broken', 'turned_away', 'endpoint_failed'))
_ATTEMPT_END_MESSAGES = frozenset(
    ('attempt failed', 'failed by the endpoint', 'endpoint silent')
)
#: Faults that occur when an engine that loads weights aborts running requests.
_CUT_FAULTS = frozenset(('lost', 'ended', 'spoilt'))
#: Causes by the outcome of attempts that did not run. The first of these that
#: any attempt of the request had gives the cause: the answer of an endpoint
#: takes precedence over a conclusion of the entry.
_CAUSE_BY_NOT_RUN = {
    'turned_away': Cause.REJECTED,
    'misdirected': Cause.MISDIRECTED,
    'unreachable': Cause.UNREACHABLE,
    'paused': Cause.ALL_PAUSED,
    'quarantined': Cause.QUARANTINED,
    'unusable': Cause.NO_ENDPOINT,
}
#: Outcomes of attempts that prove nothing against their endpoints.
_HARMLESS_OUTCOMES = frozenset(('superseded', 'unfinished'))
#: Reasons that state that the time of a request was over.
_TIME_REASONS = frozenset(('deadline', 'route_time'))
#: Causes to whose explanation the time without data from the endpoint is added.
_CAUSES_WITH_SILENCE = frozenset(
    (
        Cause.CALLER_LEFT,
        Cause.CALLER_GAVE_UP,
        Cause.CALLER_DEADLINE,
        Cause.CONNECTION_RESET,
        Cause.DEADLINE,
        Cause.ROUTE_TIMEOUT,
        Cause.CUT_AT_SHUTDOWN,
        Cause.ENDPOINT_SILENT,
    ),
)
_SENTENCE_BY_MESSAGE = {
    finding.value: sentence
    for finding, sentence in causes.SENTENCE_BY_FINDING.items()
}


class Context(typing.NamedTuple):
    """Lines other than those on the request itself.

    :param later_lines: lines that the process with the last line on the request
        wrote after it.
    :param load_orders: the address of the engine and the line for each order to
        load.
    :param has_dropped_lines: whether that process dropped lines when the
        request ended.
    """

    later_lines: Sequence[lines.Line]
    load_orders: Sequence[tuple[str, lines.Line]]
    has_dropped_lines: bool = False


class Verdict(typing.NamedTuple):
    """The cause of a request's outcome.

    :param sentence: an explanation of the cause.
    :param contributions: one sentence for each event that led to the outcome,
        in order of time.
    """

    cause: causes.Cause
    sentence: str
    contributions: tuple[str, ...] = ()


def is_ending(line: lines.Line) -> bool:
    """Return whether a line states how its request ended."""
    return line.message in _CLASSIFIER_BY_MESSAGE


def classify(request_lines: Sequence[lines.Line], context: Context) -> Verdict:
    """Return the cause that the lines of a request prove.

    :param request_lines: all lines on the request, in order of time.
    """
    final = next(
        (
            request_line
            for request_line in reversed(request_lines)
            if is_ending(request_line)
        ),
        None,
    )
    if final is None:
        return _classify_unended(request_lines, context)
    before = [earlier for earlier in request_lines if earlier is not final]
    cause, line = _CLASSIFIER_BY_MESSAGE[final.message](final, before, context)
    verdict = _build_verdict(cause, line)
    contributions = [
        _describe(earlier)
        for earlier in before
        if earlier.message in _SENTENCE_BY_MESSAGE
    ]
    if cause in _CAUSES_WITH_SILENCE:
        contributions += _describe_silence(final)
    return verdict._replace(contributions=tuple(contributions))


def _build_verdict(cause: Cause, line: lines.Line) -> Verdict:
    """Return a cause with its explanation from the fields of a line."""
    sentence = causes.SENTENCE_BY_CAUSE[cause]
    return Verdict(cause, sentence.format_map(_Fields(line.fields)))


def _build_unknown_verdict(why: str) -> Verdict:
    sentence = causes.SENTENCE_BY_CAUSE[Cause.UNKNOWN].format(why=why)
    return Verdict(Cause.UNKNOWN, sentence)


def _describe(line: lines.Line) -> str:
    """Return the sentence for an event that led to the outcome."""
    fields = _Fields(line.fields)
    return _SENTENCE_BY_MESSAGE[line.message].format_map(fields)


class _Fields(dict[str, typing.Any]):
    """The fields of a line; missing ones are shown as ``?``."""

    def __missing__(self, name: str) -> str:
        return '?'


def _describe_silence(final: lines.Line) -> list[str]:
    """Return a sentence on the time without data from the endpoint."""
    fields = final.fields
    endpoint, silent = fields.get('endpoint'), fields.get('silent')
    if endpoint is None or silent is None:
        return ['it had not been sent to any endpoint']
    events = fields.get('events', 0)
    return [
        f'endpoint {endpoint} had been silent for {silent} s; its caller had '
        f'received {events} events',
    ]


_Classification = tuple[Cause, lines.Line]


def _unknown_cause(line: lines.Line, why: str) -> _Classification:
    """Return an unknown cause with the reason why it is unknown."""
    evidence = lines.Line(
        line.process, line.written_at, line.message, {'why': why}
    )
    return Cause.UNKNOWN, evidence


def _classify_unended(
    request_lines: Sequence[lines.Line], context: Context
) -> Verdict:
    """Classify a request without a line on its end."""
    if context.has_dropped_lines:
        return _build_unknown_verdict('lines were dropped when it ended')
    for line in context.later_lines:
        if line.message == 'stopped':
            return _build_unknown_verdict(
                'the entry stopped without a line on it'
            )
        if is_process_start(line):
            return _build_verdict(Cause.PROCESS_KILLED, line)
    return _build_unknown_verdict('no line states how it ended')


def is_process_start(line: lines.Line) -> bool:
    """Return whether a line shows that an entry has just started.

    The line ``entry started`` may be lost together with the last lines of the
    previous process; the first configuration then shows the start.
    """
    if line.message == 'entry started':
        return True
    is_configured = line.message == 'configuration in force'
    return is_configured and line.fields.get('before') == 0


def _classify_refusal(
    final: lines.Line,
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    """Classify by the reason of the final line alone."""
    reason = final.fields.get('reason')
    cause = _CAUSE_BY_REASON.get(str(reason))
    if cause is None:
        return _unknown_cause(final, f'reason {reason!r} is unknown')
    if cause not in _WITHDRAWN_BY_CAUSE:
        return cause, final
    known_in = _number_field(final, 'last_in')
    if known_in is None:
        return _unknown_cause(final, "its line lacks the field 'last_in'")
    return _WITHDRAWN_BY_CAUSE[cause] if known_in else cause, final


def _classify_ending(
    final: lines.Line,
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    """Classify by the reason and the outcomes of the attempts."""
    if final.fields.get('decision') == 'budget_spent':
        return Cause.RETRY_BUDGET_SPENT, final
    reason = str(final.fields.get('reason'))
    if reason == 'leaving':
        return Cause.CUT_AT_SHUTDOWN, final
    if reason not in _ATTEMPT_REASONS:
        return _classify_without_result(final, before, context)
    outcomes = final.fields.get('outcomes')
    if not isinstance(outcomes, list):
        return _unknown_cause(final, "its line lacks the field 'outcomes'")
    if reason == 'turned_away':
        return _classify_not_run(final, outcomes)
    if reason == 'endpoint_failed':
        # The caller received the error of the last attempt that failed with
        # one, so attempts after it do not count.
        while outcomes and outcomes[-1] != 'failed':
            outcomes = outcomes[:-1]
    return _classify_last_run(final, outcomes, before, context)


def _classify_without_result(
    final: lines.Line,
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    """Classify by the reason, and by an endpoint that was silent to the end."""
    silent_attempt = _silent_attempt(final.fields.get('outcomes'))
    if str(final.fields.get('reason')) in _TIME_REASONS and silent_attempt:
        return Cause.ENDPOINT_SILENT, _attempt_line(before, silent_attempt)
    return _classify_refusal(final, before, context)


def _silent_attempt(outcomes: typing.Any) -> int:
    """Return the number of the last attempt that ran if it was silent.

    :returns: 0 if another attempt was the last that ran, or none ran.
    """
    if not isinstance(outcomes, list):
        return 0
    for number in range(len(outcomes), 0, -1):
        outcome = str(outcomes[number - 1])
        if outcome not in _CAUSE_BY_NOT_RUN and outcome != 'superseded':
            return number if outcome == 'silent' else 0
    return 0


def _classify_last_run(
    final: lines.Line,
    outcomes: list[typing.Any],
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    """Classify by the last attempt that ran or may have run."""
    for index in reversed(range(len(outcomes))):
        outcome = str(outcomes[index])
        if outcome in _CAUSE_BY_NOT_RUN or outcome in _HARMLESS_OUTCOMES:
            continue
        if outcome not in _CAUSE_BY_FAULT:
            return _unknown_cause(final, f'outcome {outcome!r} is unknown')
        line = _attempt_line(before, index + 1)
        if outcome in _CUT_FAULTS and _was_loading(line, context):
            return Cause.ENGINE_LOADING, line
        return _CAUSE_BY_FAULT[outcome], line
    return _unknown_cause(final, 'its line lists no attempt that ran')


def _attempt_line(before: Sequence[lines.Line], number: int) -> lines.Line:
    """Return the last line on a failed attempt; an empty one if missing."""
    for line in reversed(before):
        has_ended = line.message in _ATTEMPT_END_MESSAGES
        if has_ended and line.fields.get('attempt') == number:
            return line
    return lines.Line('', 0, '', {})


def _was_loading(line: lines.Line, context: Context) -> bool:
    """Return whether the engine was loading when it aborted the request."""
    engine = line.fields.get('engine')
    return any(
        engine == address
        and order.fields.get('answer') == 'accepted'
        and 0 <= line.written_at - order.written_at <= _LOAD_CUT_SECONDS
        for address, order in context.load_orders
    )


def _classify_not_run(
    final: lines.Line, outcomes: list[typing.Any]
) -> _Classification:
    """Classify a request that no endpoint ran by all its attempts."""
    for outcome, cause in _CAUSE_BY_NOT_RUN.items():
        if outcome in outcomes:
            return cause, final
    return _unknown_cause(
        final, 'its line lists no attempt that an endpoint did not run'
    )


def _classify_caller(
    final: lines.Line,
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    """Distinguish the reasons for which a caller disconnects."""
    fields = final.fields
    left, waited = _number_field(final, 'left'), _number_field(final, 'waited')
    if left is None or waited is None or 'end' not in fields:
        return _unknown_cause(
            final, 'its line does not state who closed the connection'
        )
    if left <= _CLOCK_MARGIN_SECONDS:
        return Cause.CALLER_DEADLINE, final
    patience = _number_field(final, 'patience')
    if patience is not None and waited >= patience - _CLOCK_MARGIN_SECONDS:
        return Cause.CALLER_GAVE_UP, final
    if fields['end'] == 'caller_closed':
        return Cause.CALLER_LEFT, final
    return Cause.CONNECTION_RESET, final


def _number_field(line: lines.Line, name: str) -> float | None:
    """Return a numeric field; ``None`` if it is missing or not a number."""
    field = line.fields.get(name)
    return field if isinstance(field, int | float) else None


def _constant_classifier(cause: Cause) -> _Classifier:
    """Return a classifier for a line that always has the same cause."""

    def classify_constant(
        final: lines.Line,
        before: Sequence[lines.Line],
        context: Context,
    ) -> _Classification:
        return cause, final

    return classify_constant


def _classify_unknown(
    final: lines.Line,
    before: Sequence[lines.Line],
    context: Context,
) -> _Classification:
    return _unknown_cause(final, 'it was aborted, and nothing tells by whom')


_Classifier = typing.Callable[
    [lines.Line, 'Sequence[lines.Line]', Context], _Classification
]

#: Classifiers by the message of the line on the end of a request.
_CLASSIFIER_BY_MESSAGE: dict[str, _Classifier] = {
    'answered': _constant_classifier(Cause.ANSWERED),
    'refused': _classify_refusal,
    'ended without an answer': _classify_ending,
    'caller left': _classify_caller,
    'connection reset': _classify_caller,
    'connection lost': _constant_classifier(Cause.CONNECTION_LOST),
    'cut off, as this entry ends': _constant_classifier(Cause.CUT_AT_SHUTDOWN),
    'failed by a fault of this entry': _constant_classifier(
        Cause.INTERNAL_ERROR
    ),
    'cut off, not known why': _classify_unknown,
}
