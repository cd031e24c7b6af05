"""Tests of the command that explains a request."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from clementinepass.cli import exits, main
from tests.observability import test_stories


class ExplainTest(testtools.TestCase):
    """Bad input gets a clear message and no stack trace."""

    def setUp(self) -> None:
        """Write one log."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = pathlib.Path(folder.name) / 'entry-1.log'
        self.log.write_bytes(b'\n'.join(test_stories.ENTRY))

    def explain(self, *arguments: str) -> tuple[object, str, str]:
        """Run the command; return its code and what it wrote."""
        out, err = io.StringIO(), io.StringIO()
        code: object = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                main.main(('explain', *arguments))
            except SystemExit as ended:
                code = ended.code or 0
        return code, out.getvalue(), err.getvalue()

    def test_told(self) -> None:
        """The story is one document for programs."""
        code, out, _ = self.explain('r', str(self.log), '--json')
        self.assertEqual(exits.OK, code)
        self.assertIn('attempt failed', out)
        json.loads(out)

    def test_cause(self) -> None:
        """For people the cause stands below the lines."""
        ended = test_stories.line(
            11.3,
            'ended without an answer',
            request='r',
            reason='broken',
            outcomes=['lost'],
        )
        self.log.write_bytes(b'\n'.join((*test_stories.ENTRY, ended)))
        code, out, _ = self.explain('r', str(self.log))
        self.assertEqual(exits.OK, code)
        self.assertIn('cause: endpoint_lost: the connection to endpoint', out)
        self.assertIn('led to it: it was not sent again: enough_runs', out)

    def test_unknown(self) -> None:
        """An id that no line has."""
        code, _, err = self.explain('other', str(self.log))
        self.assertEqual(exits.REJECTED, code)
        self.assertIn('no line of 1 files', err)
        self.assertNotIn('began anew', err)

    def test_unknown_and_killed(self) -> None:
        """An entry was killed with the request in progress.

        Nothing is written of most requests before they end, so that its id is
        in no log; where it may have been is said.
        """
        lines = [
            test_stories.line(1, 'entry started', node='entry-1'),
            test_stories.line(2, 'configuration in force', version=3, before=0),
            test_stories.line(3, 'entry ready', node='entry-1'),
            test_stories.line(8, 'entry started', node='entry-1'),
            test_stories.line(9, 'configuration in force', version=3, before=0),
        ]
        self.log.write_bytes(b'\n'.join(lines))
        _, _, err = self.explain('other', str(self.log))
        self.assertEqual(1, err.count('entry-1 began anew at'))
        stopped = test_stories.line(4, 'stopped', node='entry-1')
        self.log.write_bytes(b'\n'.join((*lines[:3], stopped, *lines[3:])))
        self.assertNotIn('began anew', self.explain('other', str(self.log))[2])

    def test_no_such_file(self) -> None:
        """A file that isn't there, and no file at all."""
        code, _, err = self.explain('r', str(self.log) + 'x')
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertIn('No such file', err)
        self.assertEqual(exits.BAD_INPUT, self.explain('r')[0])
