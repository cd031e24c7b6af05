"""Write structured log lines to standard output without ever waiting.

A log that nobody reads fills its pipe, and a process that waits for room
stops serving.  Lines wait in a bounded buffer instead; those that find no
room, or come too fast, are counted, and the count is written once a second.
"""

from __future__ import annotations

import asyncio
import os
import traceback
import typing

import msgspec
from loguru import logger

_STANDARD_OUTPUT = 1
#: Bytes of lines that wait for their reader.
_MOST_WAITING = 262144
#: Lines a second of each level. Failures first: information on requests is
#: what grows with the load.
_LINES_BY_LEVEL = {'INFO': 150, 'WARNING': 150, 'ERROR': 100}
_OTHER_LINES = 100
#: Seconds that lines are gathered before they are written together.
_GATHER_SECONDS = 0.05


class Output:
    """Write lines to a descriptor that may take none.

    :param descriptor: set to not block.
    """

    __slots__ = (
        '_descriptor',
        '_dropped',
        '_left_by_level',
        '_scheduled',
        '_second',
        '_size',
        '_waiting',
    )

    def __init__(self, descriptor: int = _STANDARD_OUTPUT) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: list[bytes] = []
        self._size = 0
        self._dropped = 0
        self._second = -1
        self._left_by_level: dict[str, int] = {}
        self._scheduled = False

    def install(self) -> None:
        """Take all lines of this process."""
        logger.remove()
        logger.add(self.take, level='INFO', format='{message}')

    def take(self, message: typing.Any) -> None:
        """Take one line from the logging library."""
        record = message.record
        if not self._fits(
            record['level'].name, int(record['time'].timestamp())
        ):
            return
        line = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'level': record['level'].name,
            'message': record['message'],
            'at': record['name'],
            **record['extra'],
        }
        if record['exception'] is not None:
            line['exception'] = ''.join(
                traceback.format_exception(record['exception'].value),
            )
        self._put(msgspec.json.encode(line, enc_hook=str))

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        self._scheduled = False
        if not self._waiting:
            return
        payload = b''.join(self._waiting)
        try:
            written = os.write(self._descriptor, payload)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody will ever read it.
            written = len(payload)
        rest = payload[written:]
        self._waiting = [rest] if rest else []
        self._size = len(rest)
        if rest:
            self._schedule()

    def _fits(self, level: str, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._left_by_level = dict(_LINES_BY_LEVEL)
            self._tell_dropped()
        left = self._left_by_level.get(level, _OTHER_LINES)
        self._left_by_level[level] = left - 1
        if left > 0 and self._size < _MOST_WAITING:
            return True
        self._dropped += 1
        return False

    def _tell_dropped(self) -> None:
        if self._dropped:
            line = {'level': 'WARNING', 'message': 'lines dropped'}
            self._put(msgspec.json.encode({**line, 'lines': self._dropped}))
            self._dropped = 0

    def _put(self, line: bytes) -> None:
        self._waiting.append(b'%b\n' % line)
        self._size += len(line) + 1
        self._schedule()

    def _schedule(self) -> None:
        if self._scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._scheduled = True
        loop.call_later(_GATHER_SECONDS, self.flush)
