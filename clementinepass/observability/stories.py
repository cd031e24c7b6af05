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
_OBSERVED_KEYS_BY_MESSAGE: dict[str, tuple[str, ...]] = {
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
_TOLD_TO_END = frozenset(('leaving',))
#: Lines on the observations by which a request ended as it did, by its cause.
_DECIDING_BY_CAUSE = {
    causes.Cause.UNKNOWN_KEY: _CONFIGURATION,
    causes.Cause.KEY_WITHDRAWN: _CONFIGURATION,
    causes.Cause.UNKNOWN_ROUTE: _CONFIGURATION,
    causes.Cause.ROUTE_WITHDRAWN: _CONFIGURATION,
    causes.Cause.NO_SERVICE: _CONFIGURATION,
    causes.Cause.NO_WEIGHTS: _WEIGHTS,
    causes.Cause.WEIGHTS_TOO_OLD: _WEIGHTS,
    causes.Cause.TOOK_UP_WEIGHTS: _WEIGHTS,
    causes.Cause.MISDIRECTED: _WEIGHTS | _LISTED,
    causes.Cause.UNREACHABLE: _LISTED,
    causes.Cause.CUT_AT_END: _TOLD_TO_END,
    causes.Cause.LEAVING: _TOLD_TO_END,
}
#: Lines with which a process begins, believing nothing.
_STARTS = frozenset(('entry started', 'agent started'))
#: Lines of a request in which nothing went wrong.
_IN_ORDER = frozenset(
    ('sent', 'answered', 'sending once more', 'taken while leaving'),
)
#: Seconds around a request in which dropped lines may have been its own.
_DROPPED_NEAR = 2.0


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
    :param wrong: the first of them that went wrong, if one did.
    :param observations: of the processes that it met, when it came.
    :param deciding: observations by which it ended as it did, when it ended.
    :param gaps: what may be missing, a sentence each.
    """

    lines: tuple[lines.Line, ...]
    verdict: verdicts.Verdict
    wrong: lines.Line | None
    observations: tuple[Observation, ...]
    deciding: tuple[Observation, ...]
    gaps: tuple[str, ...]


class Collected:
    """The lines of several processes."""

    __slots__ = ('_lines', 'unread')

    def __init__(self) -> None:
        self._lines: list[lines.Line] = []
        #: Lines that are cut short or of another program.
        self.unread = 0

    def add(self, process: str, payload: Iterable[bytes]) -> None:
        """Take the lines of one process, in the order written.

        A line without a time, such as the count of those dropped, has that of
        the line before it.
        """
        at = float(0)
        for raw in payload:
            if not raw.strip():
                continue
            line = _line(process, raw, at)
            if line is None:
                self.unread += 1
            else:
                at = line.at
                self._lines.append(line)

    def story(self, request_id: str) -> Story | None:
        """Return what is known of a request; ``None`` if nothing is."""
        own = [
            each
            for each in self._lines
            if each.fields.get('request') == request_id
        ]
        if not own:
            return None
        own.sort(key=_at)
        wrong = next(
            (each for each in own if each.message not in _IN_ORDER),
            None,
        )
        processes = {each.process for each in own}
        verdict = verdicts.judge(own, self._around(own))
        deciding = _DECIDING_BY_CAUSE.get(verdict.cause, frozenset())
        return Story(
            tuple(own),
            verdict,
            wrong,
            tuple(self._observations(own, processes, own[0].at)),
            tuple(
                one
                for one in self._observations(
                    own, {own[-1].process}, own[-1].at
                )
                if one.line.message in deciding
            ),
            tuple(self._gaps(own, processes)),
        )

    def killed(self) -> list[lines.Line]:
        """Return the first lines of entries that had not stopped before.

        Requests that were in progress when they were killed or crashed may
        have no line.
        """
        ready: set[str] = set()
        found = []
        for one in self._lines:
            if one.message == 'entry ready':
                ready.add(one.process)
            elif one.message == 'stopped':
                ready.discard(one.process)
            elif one.process in ready and verdicts.begins(one):
                ready.discard(one.process)
                found.append(one)
        return sorted(found, key=_at)

    def _around(self, own: list[lines.Line]) -> verdicts.Around:
        """Return what was written besides, as far as it may bear on it."""
        last = own[-1]
        mine = [one for one in self._lines if one.process == last.process]
        place = next(place for place, one in enumerate(mine) if one is last)
        return verdicts.Around(
            mine[place + 1 :],
            tuple(self._loads()),
            dropped=any(_dropped_near(one, last.at, last.at) for one in mine),
        )

    def _loads(self) -> Iterable[tuple[str, lines.Line]]:
        """Yield the orders to load, with the address of their engine."""
        engines: dict[str, str] = {}
        for one in self._lines:
            if one.message == 'agent started':
                engines[one.process] = str(one.fields.get('engine'))
            elif one.message == 'ordered to load' and one.process in engines:
                yield engines[one.process], one

    def _observations(
        self,
        own: list[lines.Line],
        processes: set[str],
        when: float,
    ) -> Iterable[Observation]:
        """Return the newest observation of each kind at some moment."""
        endpoints = {each.fields.get('endpoint') for each in own}
        newest: dict[tuple[typing.Any, ...], lines.Line] = {}
        before = [one for one in self._lines if one.at <= when]
        for each in sorted(before, key=_at):
            if each.message in _STARTS:
                newest = _without(newest, each.process)
            about = _about(each, endpoints)
            if each.process in processes and about is not None:
                newest[each.process, *about] = each
        return [Observation(one, when - one.at) for one in newest.values()]

    def _gaps(
        self, own: list[lines.Line], processes: set[str]
    ) -> Iterable[str]:
        """Say what may be missing."""
        first, last = own[0].at, own[-1].at
        for process in sorted(processes):
            lines = [each for each in self._lines if each.process == process]
            if min(map(_at, lines)) >= first:
                yield f'{process}: its log begins with this request'
            if any(_dropped_near(each, first, last) for each in lines):
                yield f'{process}: lines were dropped then, as it wrote many'
        endings = [one for one in own if verdicts.ends(one)]
        if not endings:
            yield 'no line says how it ended'
        if len(endings) > 1:
            yield 'more than one line says how it ended: the last one counts'


def _about(
    line: lines.Line,
    endpoints: set[typing.Any],
) -> tuple[typing.Any, ...] | None:
    """Return what an observation is about; ``None`` if of no concern."""
    keys = _OBSERVED_KEYS_BY_MESSAGE.get(line.message)
    if keys is None:
        return None
    about = tuple(line.fields.get(key) for key in keys)
    if keys == ('endpoint',) and about[0] not in endpoints:
        return None
    return line.message, *about


def _without(
    newest: dict[tuple[typing.Any, ...], lines.Line],
    process: str,
) -> dict[tuple[typing.Any, ...], lines.Line]:
    """Return what others believe."""
    return {
        about: line for about, line in newest.items() if about[0] != process
    }


def _dropped_near(line: lines.Line, first: float, last: float) -> bool:
    if line.message != 'lines dropped':
        return False
    return first - _DROPPED_NEAR <= line.at <= last + _DROPPED_NEAR


def _line(process: str, raw: bytes, before: float) -> lines.Line | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        told = fields.get('time')
        at = before
        if told is not None:
            at = datetime.datetime.fromisoformat(told).timestamp()
        return lines.Line(process, at, str(fields['message']), fields)
    except (KeyError, TypeError, ValueError):
        # A fault of decoding is a ValueError, too.
        return None


def _at(line: lines.Line) -> float:
    return line.at
