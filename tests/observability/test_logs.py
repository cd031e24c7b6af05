"""Tests of the text and JSON formats of logs."""

from __future__ import annotations

import contextlib
import io

import testtools
from loguru import logger

from clementinepass.observability import logs


class SecretsTest(testtools.TestCase):
    """Logged tracebacks contain no values of variables."""

    def test_a_fault_shows_no_variables(self) -> None:
        """Neither format writes the values of variables in a traceback.

        The text format annotated tracebacks with values, so that callers'
        keys and prompts were in the log.
        """
        for log_format in ('text', logs.JSON):
            output = io.StringIO()
            with contextlib.redirect_stderr(output):
                logs.configure('INFO', log_format)
                _log_fault('lantern-' + 'key')
            self.assertIn('ZeroDivisionError', output.getvalue())
            self.assertNotIn('lantern-key', output.getvalue(), log_format)

    def setUp(self) -> None:
        """Remove all sinks after the test."""
        super().setUp()
        self.addCleanup(logger.remove)


def _log_fault(key: str) -> None:
    try:
        len(key) / 0
    except ZeroDivisionError:
        logger.bind(step='serve').exception('fault')
