"""Tests of the command that explains the outcome of a request."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from clementinepass.cli import exits, main
from tests.observability import test_request_history


class ExplainTest(testtools.TestCase):
    """Histories are printed, and bad input is reported as such."""

    def setUp(self) -> None:
        """Write the log of one entry."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / 'entry-1.log'
        self.log.write_bytes(b'\n'.join(test_request_history.ENTRY))

    def explain(self, *arguments: str) -> tuple[object, str, str]:
        """Run the command and return its exit code, stdout and stderr."""
        out, err = io.StringIO(), io.StringIO()
        code: object = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                main.main(('explain', *arguments))
            except SystemExit as ended:
                code = ended.code or 0
        return code, out.getvalue(), err.getvalue()

    def test_json(self) -> None:
        """The history can be printed as one JSON document."""
        code, out, _ = self.explain('r', str(self.log), '--json')
        self.assertEqual(exits.OK, code)
        self.assertIn('attempt failed', out)
        json.loads(out)

    def test_cause(self) -> None:
        """The tables are followed by the cause and the events that led to it."""
        ended = test_request_history.line(
            11.3,
            'ended without an answer',
            request='r',
            reason='broken',
            outcomes=['lost'],
        )
        self.log.write_bytes(b'\n'.join((*test_request_history.ENTRY, ended)))
        code, out, _ = self.explain('r', str(self.log))
        self.assertEqual(exits.OK, code)
        self.assertIn('cause: endpoint_lost: the connection to endpoint', out)
        self.assertIn('led to it: it was not sent again: enough_runs', out)

    def test_unknown(self) -> None:
        """An id that is in no line is reported."""
        code, _, err = self.explain('other', str(self.log))
        self.assertEqual(exits.REJECTED, code)
        self.assertIn('no line of 1 files', err)
        self.assertNotIn('began anew', err)

    def test_unknown_with_killed_entry(self) -> None:
        """Entries that were killed are reported for an unknown id.

        Most requests have no line before they end, so a request that was in
        progress when its entry was killed may be in no log.
        """
        lines = [
            test_request_history.line(1, 'entry started', node='entry-1'),
            test_request_history.line(
                2, 'configuration in force', version=3, before=0
            ),
            test_request_history.line(3, 'entry ready', node='entry-1'),
            test_request_history.line(8, 'entry started', node='entry-1'),
            test_request_history.line(
                9, 'configuration in force', version=3, before=0
            ),
        ]
        self.log.write_bytes(b'\n'.join(lines))
        _, _, err = self.explain('other', str(self.log))
        self.assertEqual(1, err.count('entry-1 began anew at'))
        stopped = test_request_history.line(4, 'stopped', node='entry-1')
        self.log.write_bytes(b'\n'.join((*lines[:3], stopped, *lines[3:])))
        self.assertNotIn('began anew', self.explain('other', str(self.log))[2])

    def test_no_such_file(self) -> None:
        """A missing file and an empty list of files are bad input."""
        code, _, err = self.explain('r', str(self.log) + 'x')
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertIn('No such file', err)
        self.assertEqual(exits.BAD_INPUT, self.explain('r')[0])
