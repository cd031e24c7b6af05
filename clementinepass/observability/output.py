"""Write structured log lines to standard output without blocking.

If the reader of the log stops, its pipe fills up, and a process that blocks on
it stops serving.  Lines are therefore kept in a bounded buffer.  Lines that
exceed the buffer or the rate limit are dropped; their number is logged at most
once a second.
"""

from __future__ import annotations

import asyncio
import os
import traceback
import typing

import msgspec
from loguru import logger

_STDOUT_DESCRIPTOR = 1
#: New lines are dropped while the buffer holds this many bytes or more.
_MAX_BUFFERED_BYTES = 262144
#: Rate limits by level. The number of INFO lines on requests grows with the
#: load; a limit for each level keeps them from displacing lines on failures.
_LINES_PER_SECOND_BY_LEVEL = {'INFO': 150, 'WARNING': 150, 'ERROR': 100}
_DEFAULT_LINES_PER_SECOND = 100
#: Seconds for which lines are collected before they are written together.
_FLUSH_DELAY_SECONDS = 0.05


class Output:
    """Write lines to a descriptor whose reader may be slow or stopped.

    :param descriptor: the file descriptor; it is set to non-blocking.
    """

    __slots__ = (
        '_descriptor',
        '_dropped_lines',
        '_remaining_by_level',
        '_is_flush_scheduled',
        '_current_second',
        '_buffered_bytes',
        '_buffer',
    )

    def __init__(self, descriptor: int = _STDOUT_DESCRIPTOR) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._current_second = -1
        self._remaining_by_level: dict[str, int] = {}
        self._is_flush_scheduled = False

    def install(self) -> None:
        """Replace all log handlers of this process with this one."""
        logger.remove()
        logger.add(self.write, level='INFO', format='{message}')

    def write(self, message: typing.Any) -> None:
        """Buffer one log message, unless it exceeds a limit."""
        record = message.record
        if not self._admit(
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
        self._enqueue(msgspec.json.encode(line, enc_hook=str))

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        self._is_flush_scheduled = False
        if not self._buffer:
            return
        payload = b''.join(self._buffer)
        try:
            written = os.write(self._descriptor, payload)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone: the lines are discarded.
            written = len(payload)
        rest = payload[written:]
        self._buffer = [rest] if rest else []
        self._buffered_bytes = len(rest)
        if rest:
            self._schedule_flush()

    def _admit(self, level: str, second: int) -> bool:
        if second != self._current_second:
            self._current_second = second
            self._remaining_by_level = dict(_LINES_PER_SECOND_BY_LEVEL)
            self._report_dropped()
        remaining = self._remaining_by_level.get(
            level, _DEFAULT_LINES_PER_SECOND
        )
        self._remaining_by_level[level] = remaining - 1
        if remaining > 0 and self._buffered_bytes < _MAX_BUFFERED_BYTES:
            return True
        self._dropped_lines += 1
        return False

    def _report_dropped(self) -> None:
        if self._dropped_lines:
            line = {'level': 'WARNING', 'message': 'lines dropped'}
            self._enqueue(
                msgspec.json.encode({**line, 'lines': self._dropped_lines})
            )
            self._dropped_lines = 0

    def _enqueue(self, line: bytes) -> None:
        self._buffer.append(b'%b\n' % line)
        self._buffered_bytes += len(line) + 1
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(_FLUSH_DELAY_SECONDS, self.flush)
