"""Structured logging: one event per line, as text or as JSON."""

from __future__ import annotations

import logging
import sys
import traceback
import typing

import msgspec
from loguru import logger

#: The value of the setting ``format`` that selects JSON.
JSON = 'json'
_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {message} {extra} {exception}'
)


class _LevelFilter:
    """Pass events at or above a level, which can change at run time."""

    def __init__(self, level: str) -> None:
        self.level = level

    def __call__(self, record: typing.Any) -> bool:
        return record['level'].no >= logger.level(self.level).no


_filter = _LevelFilter('INFO')


def configure(level: str, log_format: str) -> None:
    """Configure logging to standard error.

    :param level: the least severe level that is written.
    :param log_format: ``text`` or ``json``.
    """
    _filter.level = level
    logger.remove()
    logging.basicConfig(
        handlers=[_LoguruHandler()],
        level=logging.WARNING,
        force=True,
    )
    if log_format == JSON:
        logger.add(_write_json, level=0, filter=_filter)
    else:
        # With ``diagnose``, tracebacks contain the values of variables:
        # callers' keys and the text of their requests would be logged.
        logger.add(
            sys.stderr,
            level=0,
            filter=_filter,
            format=_TEXT_FORMAT,
            backtrace=False,
            diagnose=False,
        )


def set_level(level: str) -> None:
    """Change the least severe level that is written."""
    _filter.level = level


class _LoguruHandler(logging.Handler):
    """Forward records of the standard ``logging`` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of a library through loguru."""
        logger.bind(step=record.name).log(
            record.levelname,
            '{}',
            record.getMessage(),
        )


def _write_json(message: typing.Any) -> None:
    record = message.record
    event = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **{key: str(value) for key, value in record['extra'].items()},
    }
    if record['exception'] is not None:
        event['exception'] = ''.join(
            traceback.format_exception(record['exception'].value),
        )
    sys.stderr.write(f'{msgspec.json.encode(event).decode()}\n')
    sys.stderr.flush()
