"""Tests of the commands on configuration and settings."""

from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import typing
from unittest import mock

import testtools

from clementinepass.cli import config_commands, exits, main
from clementinepass.configuration import records
from tests.configuration import logs, samples
from tests.settings import test_settings

_LOG = ('--log', '127.0.0.1:1')


class ConfigCommandsTest(testtools.TestCase):
    """Commands print JSON documents and exit with the documented codes."""

    def setUp(self) -> None:
        """Write a configuration folder and use a log in memory."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / '10.ini').write_text(samples.BASE)
        self.log = logs.MemoryLog()
        patch = mock.patch.object(
            config_commands,
            '_connect',
            lambda _: self.log,
        )
        patch.start()
        self.addCleanup(patch.stop)

    def _run(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                main.main(arguments)
            except SystemExit as ended:
                code = ended.code or 0
            else:
                code = 0
        return typing.cast(int, code), out.getvalue(), err.getvalue()

    def _publish(self, *more: str) -> tuple[int, str, str]:
        path = str(self.folder)
        return self._run(
            *('config', 'publish', path, *_LOG, '-m', 'why', '--json', *more),
        )

    def test_publish_and_query(self) -> None:
        """A folder can be compared, published, shown and found in the history."""
        path = str(self.folder)
        _, out, _ = self._run('config', 'diff', path, *_LOG, '--json')
        self.assertEqual(12, len(json.loads(out)['differences']))
        published = json.loads(self._publish('--operator', 'olga')[1])
        self.assertEqual(1, published['revision'])
        _, out, _ = self._run('config', 'show', *_LOG, '--json')
        self.assertEqual(6, len(json.loads(out)))
        command = ('config', 'history', *_LOG, '--json', '--id')
        _, out, _ = self._run(*command, published['id'])
        self.assertEqual('olga', json.loads(out)[0]['operator'])

    def test_exit_codes(self) -> None:
        """Each kind of outcome has its exit code; all faults are listed."""
        self.assertEqual(exits.OK, self._publish()[0])
        path = str(self.folder)
        self.assertEqual(exits.OK, self._run('config', 'check', path)[0])
        unknown = ('config', 'show', 'team x', *_LOG)
        self.assertEqual(exits.REJECTED, self._run(*unknown)[0])
        text = samples.BASE.replace('800ms', '800').replace('wave', 'wafe')
        (self.folder / '10.ini').write_text(text)
        code, _, err = self._run('config', 'check', path)
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertEqual(2, len(err.splitlines()))
        self.assertEqual(exits.BAD_INPUT, self._publish()[0])
        self.assertEqual(exits.BAD_INPUT, self._run('config', 'publish')[0])
        (self.folder / '10.ini').write_text(samples.BASE.replace('800', '900'))
        self.assertEqual(exits.REJECTED, self._publish('--base', '0')[0])
        self.log.fates[records.STREAM] = [logs.Fate.LOST]
        code, _, err = self._publish('--timeout', '0')
        self.assertEqual(exits.UNAVAILABLE, code)
        self.assertIn('is unknown', err)
        self.log.down = True
        self.assertEqual(exits.UNAVAILABLE, self._publish()[0])

    def test_settings_commands(self) -> None:
        """Settings are checked, and the reference page is written and compared."""
        path = self.folder / 'daemon.ini'
        path.write_text(test_settings.ENTRY)
        check = ('settings', 'check', str(path))
        self.assertEqual(exits.OK, self._run(*check)[0])
        path.write_text('[daemon]\nrole = entry\n')
        code, _, err = self._run(*check)
        self.assertEqual(exits.BAD_INPUT, code)
        self.assertIn('daemon.listen: is missing', err)
        page = str(self.folder / 'settings.md')
        reference = ('settings', 'reference', page)
        stale = (*reference, '--check')
        self.assertEqual(exits.REJECTED, self._run(*stale)[0])
        self.assertEqual(exits.OK, self._run(*reference)[0])
        self.assertEqual(exits.OK, self._run(*stale)[0])
