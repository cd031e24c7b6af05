"""Tests of the reader of INI files."""

from __future__ import annotations

import pathlib
import tempfile

import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass.ini import reader

#: A text and the expected faults as (line, key).
_FAULTS = {
    'key before a section': ('a = 1\n', [(1, 'f.ini')]),
    'duplicate section': ('[a]\nx = 1\n[a]\ny = 1\n', [(3, 'a')]),
    'duplicate key': ('[a]\nx = 1\n\n# c\nx = 2\n', [(5, 'x')]),
    'neither section nor key': ('[a]\nnonsense\n', [(2, 'f.ini')]),
    'continued value': ('[a]\nx = 1\n  2\n', [(3, '2')]),
    'unclosed header': ('[a]\n[b\nx = 1\n', [(2, 'f.ini')]),
    'several at once': (
        '[a]\nx = 1\nx = 2\n[a]\nnonsense\n',
        [(3, 'x'), (4, 'a'), (5, 'f.ini')],
    ),
}


class ParseTest(testtools.TestCase):
    """Parsing keeps line numbers and collects faults."""

    def test_lines(self) -> None:
        """Sections and keys have their lines; values are kept unchanged."""
        text = '# c\n[team a]\n\nkey = 1 = 2 ; 3\n; c\n[b]\nKey=\n'
        document = reader.parse(text, 'f.ini')
        self.assertEqual([], document.faults)
        team = document.sections_by_name['team a']
        self.assertEqual(2, team.line)
        entry = reader.Entry('1 = 2 ; 3', 'f.ini', 4)
        self.assertEqual({'key': entry}, team.entries_by_key)
        other = document.sections_by_name['b']
        self.assertEqual(
            reader.Entry('', 'f.ini', 7), other.entries_by_key['Key']
        )

    def test_faults(self) -> None:
        """All faults are reported with their lines."""
        for name, (text, expected) in _FAULTS.items():
            found = reader.parse(text, 'f.ini').faults
            at = sorted((fault.line, fault.key) for fault in found)
            self.assertEqual(expected, at, name)

    @given(st.text(alphabet='[]=ab# ;\n\r\t\x0b\x85%:', max_size=60))
    def test_any_text(self, text: str) -> None:
        """Any text can be parsed; without faults, all keys are kept."""
        document = reader.parse(text, 'f.ini')
        if not document.faults:
            written = [
                line
                for line in text.split('\n')
                if line.strip() and not line.strip().startswith(('#', ';', '['))
            ]
            kept = [
                key
                for section in document.sections_by_name.values()
                for key in section.entries_by_key
            ]
            self.assertEqual(len(written), len(kept))


class ReadTest(testtools.TestCase):
    """Unreadable files give faults, not exceptions."""

    def test_unreadable(self) -> None:
        """Missing files, folders and invalid UTF-8 give faults."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'f.ini'
            details = [reader.read(path).faults[0].detail]
            path.write_bytes(b'[a]\nx = \xff\n')
            details.append(reader.read(path).faults[0].detail)
            details.append(reader.read(pathlib.Path(folder)).faults[0].detail)
        self.assertIn('No such file', details[0])
        self.assertIn('UTF-8 at byte 8', details[1])
        self.assertIn('Is a directory', details[2])
