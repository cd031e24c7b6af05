"""Reconstruct the history of one request from the logs of several processes.

Logs may contain truncated lines and lines of other programs; these are counted.
Lines may also be missing, because a process dropped lines above its rate limit
or because its log begins later; such gaps are reported.
"""

from __future__ import annotations

import datetime
import typing

import msgspec

from clementinepass.observability import (
    causes,
    crash_history,
    lines,
    verdicts,
)

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Messages of lines on the state that a process knows, with the fields that
#: identify the subject of the observation. A newer line replaces an older one
#: with the same message and subject.
_KEY_FIELDS_BY_MESSAGE: dict[str, tuple[str, ...]] = {
    'configuration in force': (),
    'version named': ('model',),
    'engine holds weights': ('endpoint',),
    'endpoint listed': ('endpoint',),
    'endpoint drains by its answer': ('endpoint',),
    'endpoint dropped from the list': ('endpoint',),
    'link of an endpoint': ('endpoint',),
    'store lost': ('topic',),
    'store regained': ('topic',),
    'leaving': (),
    'evacuation of a failure domain': ('domain',),
}
_CONFIGURATION = frozenset(('configuration in force',))
_WEIGHTS = frozenset(('version named', 'engine holds weights'))
_ENDPOINT_LIST = frozenset(
    ('endpoint listed', 'endpoint dropped from the list')
)
_ENDPOINT_DRAINS = frozenset(('endpoint drains by its answer',))
_EVACUATION = frozenset(('evacuation of a failure domain',))
_SHUTDOWN = frozenset(('leaving',))
#: Messages of the observations that decided the outcome, by its cause.
_DECIDING_MESSAGES_BY_CAUSE = {
    causes.Cause.UNKNOWN_KEY: _CONFIGURATION,
    causes.Cause.KEY_WITHDRAWN: _CONFIGURATION,
    causes.Cause.UNKNOWN_ROUTE: _CONFIGURATION,
    causes.Cause.ROUTE_WITHDRAWN: _CONFIGURATION,
    causes.Cause.NO_SERVICE: _CONFIGURATION,
    causes.Cause.NO_ENDPOINT: _ENDPOINT_DRAINS,
    causes.Cause.NO_WEIGHTS: _WEIGHTS,
    causes.Cause.EVACUATED: _EVACUATION,
    causes.Cause.REGION_NOT_ALLOWED: _CONFIGURATION | _ENDPOINT_LIST,
    causes.Cause.WEIGHTS_TOO_OLD: _WEIGHTS,
    causes.Cause.ENGINE_LOADING: _WEIGHTS,
    causes.Cause.MISDIRECTED: _WEIGHTS | _ENDPOINT_LIST,
    causes.Cause.UNREACHABLE: _ENDPOINT_LIST,
    causes.Cause.CUT_AT_SHUTDOWN: _SHUTDOWN,
    causes.Cause.DRAINING: _SHUTDOWN,
}
#: Messages of a process that has just started and knows no state yet.
_START_MESSAGES = frozenset(('entry started', 'agent started'))
#: Messages of a request that are no failure.
_NORMAL_MESSAGES = frozenset(
    (
        'sent',
        'answered',
        'endpoint drains by its answer',
        'sending once more',
        'taken while leaving',
        'endpoint goes on',
        'attempt superseded',
        'sent after crashes',
    ),
)
#: Seconds before and after a request in which dropped lines may include lines
#: of this request.
_DROPPED_MARGIN_SECONDS = 2.0


class Observation(typing.NamedTuple):
    """A line on state that a process knew at a certain time.

    :param age: seconds between the line and that time.
    """

    line: lines.Line
    age: float


class RequestHistory(typing.NamedTuple):
    """The history of one request.

    :param lines: all lines on the request, in order of time.
    :param verdict: the cause of its outcome, as proved by the lines.
    :param first_failure: the first of the lines that is a failure, if any.
    :param observations: the state known to the processes that handled the
        request, when it arrived.
    :param deciding_observations: the observations that decided the outcome, at
        the end of the request.
    :param gaps: one sentence for each way in which lines may be missing.
    :param crashes: what became of the evidence on its fingerprint.
    """

    lines: tuple[lines.Line, ...]
    verdict: verdicts.Verdict
    first_failure: lines.Line | None
    observations: tuple[Observation, ...]
    deciding_observations: tuple[Observation, ...]
    gaps: tuple[str, ...]
    crashes: crash_history.CrashHistory = crash_history.EMPTY


class LogCollection:
    """The log lines of several processes."""

    __slots__ = ('_lines', 'unreadable_lines')

    def __init__(self) -> None:
        self._lines: list[lines.Line] = []
        #: Number of lines that are truncated or of another program.
        self.unreadable_lines = 0

    def add(self, process: str, payload: Iterable[bytes]) -> None:
        """Add the lines of one process, in the order written.

        A line without a time, such as the one on dropped lines, gets the time
        of the line before it.
        """
        written_at = float(0)
        for raw in payload:
            if not raw.strip():
                continue
            line = _parse_line(process, raw, written_at)
            if line is None:
                self.unreadable_lines += 1
            else:
                written_at = line.written_at
                self._lines.append(line)

    def build_history(self, request_id: str) -> RequestHistory | None:
        """Return the history of a request; ``None`` if no line is on it."""
        request_lines = [
            line
            for line in self._lines
            if line.fields.get('request') == request_id
        ]
        if not request_lines:
            return None
        request_lines.sort(key=_time_of)
        first_failure = next(
            (
                line
                for line in request_lines
                if line.message not in _NORMAL_MESSAGES
            ),
            None,
        )
        processes = {line.process for line in request_lines}
        verdict = verdicts.classify(
            request_lines, self._build_context(request_lines)
        )
        deciding_messages = _DECIDING_MESSAGES_BY_CAUSE.get(
            verdict.cause, frozenset()
        )
        return RequestHistory(
            tuple(request_lines),
            verdict,
            first_failure,
            tuple(
                self._observations(
                    request_lines, processes, request_lines[0].written_at
                )
            ),
            tuple(
                observation
                for observation in self._observations(
                    request_lines,
                    {request_lines[-1].process},
                    request_lines[-1].written_at,
                )
                if observation.line.message in deciding_messages
            ),
            tuple(self._gaps(request_lines, processes)),
            crash_history.build(request_lines, self._lines),
        )

    def find_killed_entries(self) -> list[lines.Line]:
        """Return the first lines of entries that restarted without a stop.

        An entry that was killed or crashed writes no line on the requests that
        were in progress, so that they may have no line at all.
        """
        ready_processes: set[str] = set()
        restarts = []
        for line in self._lines:
            if line.message == 'entry ready':
                ready_processes.add(line.process)
            elif line.message == 'stopped':
                ready_processes.discard(line.process)
            elif line.process in ready_processes and verdicts.is_process_start(
                line
            ):
                ready_processes.discard(line.process)
                restarts.append(line)
        return sorted(restarts, key=_time_of)

    def _build_context(
        self, request_lines: list[lines.Line]
    ) -> verdicts.Context:
        """Return the other lines that may explain the outcome of a request."""
        last = request_lines[-1]
        process_lines = [
            line for line in self._lines if line.process == last.process
        ]
        index = next(
            index for index, line in enumerate(process_lines) if line is last
        )
        return verdicts.Context(
            process_lines[index + 1 :],
            tuple(self._find_load_orders()),
            has_dropped_lines=any(
                _is_dropped_near(line, last.written_at, last.written_at)
                for line in process_lines
            ),
        )

    def _find_load_orders(self) -> Iterable[tuple[str, lines.Line]]:
        """Yield each order to load with the address of its engine."""
        engines: dict[str, str] = {}
        for line in self._lines:
            if line.message == 'agent started':
                engines[line.process] = str(line.fields.get('engine'))
            elif line.message == 'ordered to load' and line.process in engines:
                yield engines[line.process], line

    def _observations(
        self,
        request_lines: list[lines.Line],
        processes: set[str],
        when: float,
    ) -> Iterable[Observation]:
        """Return the newest observation of each subject at a certain time."""
        endpoints = _values(request_lines, 'endpoint')
        services = _values(request_lines, 'service')
        newest_by_key: dict[tuple[typing.Any, ...], lines.Line] = {}
        before = [
            observed for observed in self._lines if observed.written_at <= when
        ]
        for line in sorted(before, key=_time_of):
            if line.message in _START_MESSAGES:
                newest_by_key = _without_process(newest_by_key, line.process)
            observation_key = _observation_key(line, endpoints, services)
            if line.process in processes and observation_key is not None:
                newest_by_key[line.process, *observation_key] = line
        return [
            Observation(newest, when - newest.written_at)
            for newest in newest_by_key.values()
        ]

    def _gaps(
        self, request_lines: list[lines.Line], processes: set[str]
    ) -> Iterable[str]:
        """Yield a sentence for each way in which lines may be missing."""
        first, last = request_lines[0].written_at, request_lines[-1].written_at
        for process in sorted(processes):
            process_lines = [
                line for line in self._lines if line.process == process
            ]
            if min(map(_time_of, process_lines)) >= first:
                yield f'{process}: its log begins with this request'
            if any(
                _is_dropped_near(line, first, last) for line in process_lines
            ):
                yield f'{process}: lines were dropped at that time'
        endings = [line for line in request_lines if verdicts.is_ending(line)]
        if not endings:
            yield 'no line states how it ended'
        if len(endings) > 1:
            yield 'several lines state how it ended: the last one counts'


def _observation_key(
    line: lines.Line,
    endpoints: set[typing.Any],
    services: set[typing.Any],
) -> tuple[typing.Any, ...] | None:
    """Return the subject of an observation; ``None`` if it is irrelevant.

    :param endpoints: ids of the endpoints that the request was sent to.
    :param services: names of the services that the request was for.
    """
    key_fields = _KEY_FIELDS_BY_MESSAGE.get(line.message)
    if key_fields is None:
        return None
    key = tuple(line.fields.get(name) for name in key_fields)
    is_relevant = key_fields != ('endpoint',) or key[0] in endpoints
    if line.message in _ENDPOINT_DRAINS:
        # It explains why a request was sent to no endpoint.
        is_relevant = is_relevant or line.fields.get('service') in services
    return (line.message, *key) if is_relevant else None


def _values(request_lines: Iterable[lines.Line], name: str) -> set[typing.Any]:
    """Return the values of a field; ``None`` for lines without it."""
    return {line.fields.get(name) for line in request_lines}


def _without_process(
    newest_by_key: dict[tuple[typing.Any, ...], lines.Line],
    process: str,
) -> dict[tuple[typing.Any, ...], lines.Line]:
    """Return the observations of all other processes."""
    return {
        key: line for key, line in newest_by_key.items() if key[0] != process
    }


def _is_dropped_near(line: lines.Line, first: float, last: float) -> bool:
    if line.message != 'lines dropped':
        return False
    return (
        first - _DROPPED_MARGIN_SECONDS
        <= line.written_at
        <= last + _DROPPED_MARGIN_SECONDS
    )


def _parse_line(
    process: str, raw: bytes, previous_written_at: float
) -> lines.Line | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        time_text = fields.get('time')
        written_at = previous_written_at
        if time_text is not None:
            written_at = datetime.datetime.fromisoformat(time_text).timestamp()
        return lines.Line(process, written_at, str(fields['message']), fields)
    except (KeyError, TypeError, ValueError):
        # msgspec.DecodeError is a ValueError.
        return None


def _time_of(line: lines.Line) -> float:
    return line.written_at
