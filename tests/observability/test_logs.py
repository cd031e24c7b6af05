"""Tests of the logs' two formats."""

from __future__ import annotations

import contextlib
import io

import testtools
from loguru import logger

from clementinepass.observability import logs


class SecretsTest(testtools.TestCase):
    """Events of faults hold no values of variables."""

    def test_a_fault_shows_no_variables(self) -> None:
        """Neither format writes what the variables of a traceback held.

        An operator reads the log of a fault and finds a caller's key and
        prompt: the text format explained tracebacks with the values.
        """
        for log_format in ('text', logs.JSON):
            output = io.StringIO()
            with contextlib.redirect_stderr(output):
                logs.configure('INFO', log_format)
                _log_fault('lantern-' + 'key')
            self.assertIn('ZeroDivisionError', output.getvalue())
            self.assertNotIn('lantern-key', output.getvalue(), log_format)

    def setUp(self) -> None:
        """Put the default sink aside."""
        super().setUp()
        self.addCleanup(logger.remove)


def _log_fault(key: str) -> None:
    try:
        len(key) / 0
    except ZeroDivisionError:
        logger.bind(step='serve').exception('fault')
