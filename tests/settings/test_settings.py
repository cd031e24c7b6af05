"""Tests of the daemon's settings."""

from __future__ import annotations

import pathlib

import testtools

from clementinepass import errors
from clementinepass.entry import callers
from clementinepass.settings import settings

ENTRY = """\
[daemon]
role = entry
id = kigali-1
region = rwanda
failure_domain = kigali
listen = 127.0.0.1:7000
metrics_listen = 127.0.0.1:7001
[platform]
log = 127.0.0.1:7100
instance_list = 127.0.0.1:7101
weight_store = 127.0.0.1:7102
origin = 127.0.0.1:7103
[callers]
listen = 127.0.0.1:7002
"""
AGENT = ENTRY.replace('entry', 'agent').replace(
    '[callers]\nlisten = 127.0.0.1:7002\n',
    '[endpoint]\nkind = engine\naddress = 127.0.0.1:7200\nserves = m\n',
)
#: A text to replace, its replacement, and fragments of the expected faults.
_FAULTS = {
    'unknown section': (
        '[callers]',
        '[caller]',
        ['13: caller: unknown section', 'callers.listen: is missing'],
    ),
    'unknown key': ('id = ', 'idd = 1\nid = ', ['daemon.idd: unknown key']),
    'wrong unit': (
        'id = kigali-1',
        'id = kigali-1\ndrain_grace = 25',
        ["4: daemon.drain_grace: '25': expected a duration such as 250ms"],
    ),
    'missing address': (
        'listen = 127.0.0.1:7002',
        'max_age = 5s',
        ['callers.listen: is missing'],
    ),
    'host name': ('127.0.0.1:7100', 'log.local:7100', ['9: platform.log']),
    'other role': (
        '[callers]',
        '[weights]\ndownloads = 4\n[callers]',
        ['weights: is not for role entry'],
    ),
    'unknown role': ('= entry', '= leader', ["2: daemon.role: 'leader'"]),
    'no room for refusals': (
        '[callers]',
        '[callers]\nstreams = 440',
        ['14: callers.streams: must be below threads'],
    ),
    'heartbeats too rare': (
        '[callers]',
        '[peers]\nheartbeat = 3s\n[callers]',
        ['14: peers.heartbeat: must be below silence'],
    ),
    'all at once': (
        'id = kigali-1\nregion = rwanda\n',
        'id = kigali 1\nregoin = rwanda\ndrain_grace = 1\nnonsense\n',
        [
            '6: f.ini: is neither',
            '4: daemon.regoin: unknown key',
            "3: daemon.id: 'kigali 1'",
            'daemon.region: is missing',
            'daemon.drain_grace',
        ],
    ),
    'empty': (ENTRY, '', ['daemon.role: is missing']),
}


def _faults(text: str) -> list[str]:
    try:
        settings.Settings.from_text(text, 'f.ini')
    except ExceptionGroup as group:
        return [str(fault) for fault in group.exceptions]
    return []


class SettingsTest(testtools.TestCase):
    """Settings are typed, and all faults are reported."""

    def test_default_grace_covers_longest_deadline(self) -> None:
        """The default grace is no shorter than the longest deadline.

        With a default grace of 25 s, a drain cut off a request that had a
        deadline of ten minutes.
        """
        for text in (ENTRY, AGENT):
            checked = settings.Settings.from_text(text, 'f.ini').daemon
            self.assertGreaterEqual(
                checked.drain_grace,
                callers.LONGEST_DEADLINE,
            )

    def test_roles(self) -> None:
        """Each role has its own sections, with default values."""
        entry = settings.Settings.from_text(ENTRY, 'f.ini')
        self.assertEqual(600, entry.daemon.drain_grace)
        self.assertEqual(400, entry.callers.streams)
        self.assertEqual(7100, entry.platform.log.port)
        self.assertIsNone(entry.endpoint)
        agent = settings.Settings.from_text(AGENT, 'f.ini')
        self.assertEqual('engine', agent.endpoint.kind)
        self.assertEqual(16, agent.weights.downloads)
        self.assertIsNone(agent.callers)

    def test_faults(self) -> None:
        """Exactly the expected faults are reported, with file, line and key."""
        for name, (old, new, expected) in _FAULTS.items():
            found = _faults(ENTRY.replace(old, new, 1))
            self.assertEqual(len(expected), len(found), (name, found))
            for fragment, fault in zip(expected, found):
                self.assertIn(fragment, fault, name)
                self.assertTrue(fault.startswith('f.ini:'), fault)

    def test_unreadable_file(self) -> None:
        """A missing file is reported as one fault."""
        path = pathlib.Path('/nonexistent/daemon.ini')
        group = self.assertRaises(
            ExceptionGroup,
            settings.Settings.from_file,
            path,
        )
        self.assertEqual(1, len(group.exceptions))
        self.assertIsInstance(group.exceptions[0], errors.SettingsError)
