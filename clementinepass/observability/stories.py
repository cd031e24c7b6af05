"""Tell the story of one request from the log lines of several processes.

Lines may be cut, foreign or missing: what can't be read is counted, and what
a process did not write, since it wrote too much or began later, is said.
"""

from __future__ import annotations

import datetime
import typing

import msgspec

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

#: Lines on what a process believes, and the fields that tell one belief of a
#: kind from another.
_BELIEF_KEYS_BY_MESSAGE: dict[str, tuple[str, ...]] = {
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
#: Lines with which a process begins, believing nothing.
_STARTS = frozenset(('entry started', 'agent started'))
#: Lines of a request that say that something went wrong, and what it means.
_MEANING_BY_MESSAGE = {
    'refused': 'it was refused before it was admitted',
    'no endpoint has room': 'even the best endpoint had too many waiting',
    'turned away by the endpoint': 'the endpoint said that it did not run it',
    'another endpoint or version answered': (
        'the endpoint, or its weights, were others than believed'
    ),
    'attempt failed': 'an attempt had no whole answer',
    'cut off, as this entry ends': 'the entry was told to end and cut it off',
    'caller left': 'its caller did not wait for the answer',
    'ended without an answer': 'nothing was left to try',
}
#: Seconds around a request in which dropped lines may have been its own.
_DROPPED_NEAR = 2.0
#: Fields that each line has, and that say nothing of the request.
_COMMON = frozenset(('time', 'level', 'message', 'at', 'request'))


class Line(typing.NamedTuple):
    """One line of a process's log.

    :param at: seconds since the epoch, by that process's clock.
    """

    process: str
    at: float
    message: str
    fields: Mapping[str, typing.Any]

    @property
    def details(self) -> str:
        """Return the fields that decided, as text."""
        return ' '.join(
            f'{name}={field}'
            for name, field in self.fields.items()
            if name not in _COMMON
        )


class Belief(typing.NamedTuple):
    """What a process believed when a request came.

    :param age: seconds since it had come to believe it.
    """

    line: Line
    age: float


class Story(typing.NamedTuple):
    """What is known of one request.

    :param lines: what was written of it, in order of time.
    :param wrong: the first of them that went wrong, if one did.
    :param beliefs: of the processes that it met, when it came.
    :param gaps: what may be missing, a sentence each.
    """

    lines: tuple[Line, ...]
    wrong: Line | None
    meaning: str
    beliefs: tuple[Belief, ...]
    gaps: tuple[str, ...]


class Collected:
    """The lines of several processes."""

    __slots__ = ('_lines', 'unread')

    def __init__(self) -> None:
        self._lines: list[Line] = []
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
            (each for each in own if each.message in _MEANING_BY_MESSAGE),
            None,
        )
        meaning = ''
        if wrong is not None:
            meaning = _MEANING_BY_MESSAGE[wrong.message]
        processes = {each.process for each in own}
        return Story(
            tuple(own),
            wrong,
            meaning,
            tuple(self._beliefs(own, processes)),
            tuple(self._gaps(own, processes)),
        )

    def _beliefs(
        self,
        own: list[Line],
        processes: set[str],
    ) -> Iterable[Belief]:
        """Return the newest belief of each kind before a request came."""
        endpoints = {each.fields.get('endpoint') for each in own}
        came = own[0].at
        newest: dict[tuple[typing.Any, ...], Line] = {}
        before = [one for one in self._lines if one.at <= came]
        for each in sorted(before, key=_at):
            if each.message in _STARTS:
                newest = _without(newest, each.process)
            about = _about(each, endpoints)
            if each.process in processes and about is not None:
                newest[each.process, *about] = each
        return [Belief(one, came - one.at) for one in newest.values()]

    def _gaps(self, own: list[Line], processes: set[str]) -> Iterable[str]:
        """Say what may be missing."""
        first, last = own[0].at, own[-1].at
        for process in sorted(processes):
            lines = [each for each in self._lines if each.process == process]
            if min(map(_at, lines)) >= first:
                yield f'{process}: its log begins with this request'
            if any(_dropped_near(each, first, last) for each in lines):
                yield f'{process}: lines were dropped then, as it wrote many'
        if own[-1].message not in {
            'answered',
            'ended without an answer',
            'refused',
            'caller left',
            'cut off, as this entry ends',
        }:
            yield 'no line says how it ended'


def _about(
    line: Line,
    endpoints: set[typing.Any],
) -> tuple[typing.Any, ...] | None:
    """Return what a belief is about; ``None`` for a line of no concern."""
    keys = _BELIEF_KEYS_BY_MESSAGE.get(line.message)
    if keys is None:
        return None
    about = tuple(line.fields.get(key) for key in keys)
    if keys == ('endpoint',) and about[0] not in endpoints:
        return None
    return line.message, *about


def _without(
    newest: dict[tuple[typing.Any, ...], Line],
    process: str,
) -> dict[tuple[typing.Any, ...], Line]:
    """Return what others believe."""
    return {
        about: line for about, line in newest.items() if about[0] != process
    }


def _dropped_near(line: Line, first: float, last: float) -> bool:
    if line.message != 'lines dropped':
        return False
    return first - _DROPPED_NEAR <= line.at <= last + _DROPPED_NEAR


def _line(process: str, raw: bytes, before: float) -> Line | None:
    try:
        fields = msgspec.json.decode(raw, type=dict[str, typing.Any])
        told = fields.get('time')
        at = before
        if told is not None:
            at = datetime.datetime.fromisoformat(told).timestamp()
        return Line(process, at, str(fields['message']), fields)
    except (KeyError, TypeError, ValueError):
        # A fault of decoding is a ValueError, too.
        return None


def _at(line: Line) -> float:
    return line.at
