"""Tell the story of one request from the log lines of several processes.

Lines may be cut, foreign or missing: what can't be read is counted, and what
a process did not write, since it wrote too much or began later, is said.
"""

from __future__ import annotations

import datetime
import typing

import msgspec

from clementinepass.observability import causes, lines, verdicts

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

#: Lines on what a process knows, and the fields that tell one observation of a
#: kind from another.
_KEY_FIELDS_BY_MESSAGE: dict[str, tuple[str, ...]] = {
    'configuration in force': (),
    'version named': ('model',),
    'engine holds weights': ('endpoint',),
    'endpoint listed': ('endpoint',),
    'endpoint dropped from the list': ('endpoint',),
    'link of an endpoint': ('endpoint',),
    'store lost': ('topic',),
    'store regained': ('topic',),
    'leaving': (),
}
_CONFIGURATION = frozenset(('configuration in force',))
_WEIGHTS = frozenset(('version named', 'engine holds weights'))
_LISTED = frozenset(('endpoint listed', 'endpoint dropped from the list'))
_SHUTDOWN = frozenset(('leaving',))
#: Lines on the observations by which a request ended as it did, by its cause.
_DECIDING_MESSAGES_BY_CAUSE = {
    causes.Cause.UNKNOWN_KEY: _CONFIGURATION,
    causes.Cause.KEY_WITHDRAWN: _CONFIGURATION,
    causes.Cause.UNKNOWN_ROUTE: _CONFIGURATION,
    causes.Cause.ROUTE_WITHDRAWN: _CONFIGURATION,
    causes.Cause.NO_SERVICE: _CONFIGURATION,
    causes.Cause.NO_WEIGHTS: _WEIGHTS,
    causes.Cause.WEIGHTS_TOO_OLD: _WEIGHTS,
    causes.Cause.ENGINE_LOADING: _WEIGHTS,
    causes.Cause.MISDIRECTED: _WEIGHTS | _LISTED,
    causes.Cause.UNREACHABLE: _LISTED,
    causes.Cause.CUT_AT_SHUTDOWN: _SHUTDOWN,
    causes.Cause.DRAINING: _SHUTDOWN,
}
#: Lines with which a process begins, believing nothing.
_START_MESSAGES = frozenset(('entry started', 'agent started'))
#: Lines of a request in which nothing went wrong.
_NORMAL_MESSAGES = frozenset(
    ('sent', 'answered', 'sending once more', 'taken while leaving'),
)
#: Seconds around a request in which dropped lines may have been its own.
_DROPPED_MARGIN_SECONDS = 2.0


class Observation(typing.NamedTuple):
    """What a process believed at some moment.

    :param age: seconds since it had come to believe it.
    """

    line: lines.Line
    age: float


class Story(typing.NamedTuple):
    """What is known of one request.

    :param lines: what was written of it, in order of time.
    :param verdict: why it ended as it did, by all of them.
    :param first_failure: the first of them that went wrong, if one did.
    :param observations: of the processes that it met, when it came.
    :param deciding_observations: observations by which it ended as it did, when
        it ended.
    :param gaps: what may be missing, a sentence each.
    """

    lines: tuple[lines.Line, ...]
    verdict: verdicts.Verdict
    first_failure: lines.Line | None
    observations: tuple[Observation, ...]
    deciding_observations: tuple[Observation, ...]
    gaps: tuple[str, ...]


class LogCollection:
    """The lines of several processes."""

    __slots__ = ('_lines', 'unreadable_lines')

    def __init__(self) -> None:
        self._lines: list[lines.Line] = []
        #: Lines that are cut short or of another program.
        self.unreadable_lines = 0

    def add(self, process: str, payload: Iterable[bytes]) -> None:
        """Take the lines of one process, in the order written.

        A line without a time, such as the count of those dropped, has that of
        the line before it.
        """
        at = float(0)
        for raw in payload:
            if not raw.strip():
                continue
            line = _parse_line(process, raw, at)
            if line is None:
                self.unreadable_lines += 1
            else:
                at = line.at
                self._lines.append(line)

    def build_story(self, request_id: str) -> Story | None:
        """Return what is known of a request; ``None`` if nothing is."""
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
        return Story(
            tuple(request_lines),
            verdict,
            first_failure,
            tuple(
                self._observations(
                    request_lines, processes, request_lines[0].at
                )
            ),
            tuple(
                observation
                for observation in self._observations(
                    request_lines,
                    {request_lines[-1].process},
                    request_lines[-1].at,
                )
                if observation.line.message in deciding_messages
            ),
            tuple(self._gaps(request_lines, processes)),
        )

    def find_killed_entries(self) -> list[lines.Line]:
        """Return the first lines of entries that had not stopped before.

        Requests that were in progress when they were killed or crashed may
        have no line.
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
        """Return what was written besides, as far as it may bear on it."""
        last = request_lines[-1]
        process_lines = [
            line for line in self._lines if line.process == last.process
        ]
        index = next(
            index for index, line in enumerate(process_lines) if line is last
        )
        return verdicts.Context(
            process_lines[index + 1 :],
            tuple(self._load_orders()),
            dropped=any(
                _is_dropped_near(line, last.at, last.at)
                for line in process_lines
            ),
        )

    def _load_orders(self) -> Iterable[tuple[str, lines.Line]]:
        """Yield the orders to load, with the address of their engine."""
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
        """Return the newest observation of each kind at some moment."""
        endpoints = {
            request_line.fields.get('endpoint')
            for request_line in request_lines
        }
        newest_by_key: dict[tuple[typing.Any, ...], lines.Line] = {}
        before = [observed for observed in self._lines if observed.at <= when]
        for line in sorted(before, key=_time_of):
            if line.message in _START_MESSAGES:
                newest_by_key = _without_process(newest_by_key, line.process)
            observation_key = _observation_key(line, endpoints)
            if line.process in processes and observation_key is not None:
                newest_by_key[line.process, *observation_key] = line
        return [
            Observation(newest, when - newest.at)
            for newest in newest_by_key.values()
        ]

    def _gaps(
        self, request_lines: list[lines.Line], processes: set[str]
    ) -> Iterable[str]:
        """Say what may be missing."""
        first, last = request_lines[0].at, request_lines[-1].at
        for process in sorted(processes):
            process_lines = [
                line for line in self._lines if line.process == process
            ]
            if min(map(_time_of, process_lines)) >= first:
                yield f'{process}: its log begins with this request'
            if any(
                _is_dropped_near(line, first, last) for line in process_lines
            ):
                yield f'{process}: lines were dropped then, as it wrote many'
        endings = [line for line in request_lines if verdicts.is_ending(line)]
        if not endings:
            yield 'no line says how it ended'
        if len(endings) > 1:
            yield 'more than one line says how it ended: the last one counts'


def _observation_key(
    line: lines.Line,
    endpoints: set[typing.Any],
) -> tuple[typing.Any, ...] | None:
    """Return what an observation is about; ``None`` if of no concern."""
    key_fields = _KEY_FIELDS_BY_MESSAGE.get(line.message)
    if key_fields is None:
        return None
    key = tuple(line.fields.get(name) for name in key_fields)
    if key_fields == ('endpoint',) and key[0] not in endpoints:
        return None
    return line.message, *key


def _without_process(
    newest_by_key: dict[tuple[typing.Any, ...], lines.Line],
    process: str,
) -> dict[tuple[typing.Any, ...], lines.Line]:
    """Return what others believe."""
    return {
        key: line for key, line in newest_by_key.items() if key[0] != process
    }


def _is_dropped_near(line: lines.Line, first: float, last: float) -> bool:
    if line.message != 'lines dropped':
        return False
    return (
        first - _DROPPED_MARGIN_SECONDS
        <= line.at
        <= last + _DROPPED_MARGIN_SECONDS
    )


def _parse_line(process: str, raw: bytes, before: float) -> lines.Line | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        time_text = fields.get('time')
        at = before
        if time_text is not None:
            at = datetime.datetime.fromisoformat(time_text).timestamp()
        return lines.Line(process, at, str(fields['message']), fields)
    except (KeyError, TypeError, ValueError):
        # A fault of decoding is a ValueError, too.
        return None


def _time_of(line: lines.Line) -> float:
    return line.at
