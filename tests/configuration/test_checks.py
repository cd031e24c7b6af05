"""Tests of reading and checking the operators' folder."""

from __future__ import annotations

import pathlib
import tempfile
import typing

import testtools

from clementinepass.configuration import catalogue, checks, folder, state
from tests.configuration import samples

#: Replaced text, its replacement, and the start of each expected fault.
_FAULT_CASES = {
    'unknown kind': (
        '[service desk]',
        '[servise desk]',
        [
            '0.ini:10: servise desk: unknown section',
            '0.ini:16: promise alpha/desk: there is neither',
        ],
    ),
    'derived kind': (
        '[team alpha]',
        '[team-key alpha]',
        [
            '0.ini:1: team-key alpha: unknown section',
            '0.ini:13: promise alpha/m: there is no [team alpha]',
            '0.ini:16: promise alpha/desk: there is no [team alpha]',
        ],
    ),
    'unknown key': ('wave = ', 'wafe = ', ['0.ini:9: model m.wafe: unknown']),
    'missing key': (
        'concurrency = 4\n',
        '',
        ['0.ini:13: promise alpha/m.concurrency: is missing'],
    ),
    'no unit': (
        '800ms',
        '800',
        [
            "0.ini:15: promise alpha/m.first_token: '800': expected a duration",
        ],
    ),
    'wrong digest': (
        samples.DIGEST,
        'ab' * 31,
        ['0.ini:2: team alpha.key_sha'],
    ),
    'wrong class': (
        'interactive',
        'best',
        ["0.ini:3: team alpha.class: 'best'"],
    ),
    'no such version': (
        'version = m-1',
        'version = m-2',
        [
            '0.ini:8: model m.version: there is no [version m-2]',
        ],
    ),
    'no such model': (
        'model = m\n',
        'model = n\n',
        [
            '0.ini:5: version m-1.model: there is no [model n]',
            '0.ini:8: model m.version: version m-1 is of model n',
        ],
    ),
    'malformed name': (
        '[promise alpha/m]',
        '[promise alpha]',
        [
            '0.ini:13: promise alpha: malformed name',
            '0.ini:13: promise alpha: there is neither',
        ],
    ),
    'two spaces': (
        '[team alpha]',
        '[team  alpha]',
        [
            '0.ini:1: team  alpha: malformed name',
            '0.ini:13: promise alpha/m: there is no',
            '0.ini:16: promise alpha/desk: there is no',
        ],
    ),
    'model and service': (
        '[service desk]',
        '[service m]',
        [
            '0.ini:7: model m: [service m] has the same name',
            '0.ini:16: promise alpha/desk: there is neither',
        ],
    ),
    'one key, two teams': (
        '[version',
        f'[team beta]\nkey_sha256 = {samples.DIGEST}\n[version',
        ['0.ini:5: team beta.key_sha256: [team alpha] has the same key'],
    ),
    'all at once': (
        samples.BASE,
        '[x]\na = 1\n[team !]\nclass = 1\n',
        [
            '0.ini:1: x: unknown section',
            '0.ini:3: team !: malformed name',
            "0.ini:4: team !.class: '1'",
            '0.ini:3: team !.key_sha256: is missing',
        ],
    ),
}


def _faults(
    function: typing.Callable[..., typing.Any],
    *arguments: typing.Any,
) -> list[str]:
    try:
        function(*arguments)
    except ExceptionGroup as group:
        return [str(fault) for fault in group.exceptions]
    return []


class ChecksTest(testtools.TestCase):
    """All faults are reported together, with file, line and key."""

    def test_valid_sample(self) -> None:
        """The sample has no fault."""
        checks.check(samples.sections(samples.BASE))

    def test_faults(self) -> None:
        """Exactly the expected faults are reported."""
        for case, (old, new, expected) in _FAULT_CASES.items():
            text = samples.BASE.replace(old, new, 1)
            messages = _faults(checks.check, samples.sections(text))
            self.assertEqual(len(expected), len(messages), (case, messages))
            for start, fault in zip(expected, messages):
                self.assertTrue(fault.startswith(start), (case, fault))

    def test_only(self) -> None:
        """Unknown sections from newer software don't block a change."""
        newer = f'{samples.BASE}[quota alpha]\nx = 1\n'
        checks.check(samples.sections(newer), only={'team alpha'})


class FolderTest(testtools.TestCase):
    """Files are merged in file name order."""

    def _read(self, **texts: bytes) -> folder.Sections:
        with tempfile.TemporaryDirectory() as name:
            for stem, text in texts.items():
                path = pathlib.Path(name) / f'{stem.replace("_", ".")}'
                path.write_bytes(text)
            return folder.read(pathlib.Path(name))

    def test_merge(self) -> None:
        """Later files override single keys; each key records its file."""
        merged = self._read(
            b_ini=b'[model m]\nwave = 10%\n[service s]\n',
            a_ini=b'[model m]\nversion = m-1\nwave = 50%\n',
            c_txt=b'[model m]\nwave = 1%\n',
        )
        self.assertEqual(
            {'version': 'm-1', 'wave': '10%'},
            merged.texts_by_key('model m'),
        )
        entries = merged.by_name['model m'].entries_by_key
        self.assertEqual(
            ('b.ini', 2), (entries['wave'].file, entries['wave'].line)
        )
        self.assertEqual('a.ini', entries['version'].file)

    def test_faults_of_all_files(self) -> None:
        """The faults of all files are reported together."""
        messages = _faults(
            lambda: self._read(
                a_ini=b'[a]\nx = \xff\n',
                b_ini=b'[a]\n[a]\n',
                c_ini=b'x = 1\n',
            ),
        )
        self.assertEqual(
            ['a.ini:0', 'b.ini:2', 'c.ini:1'],
            [':'.join(fault.split(':')[:2]) for fault in messages],
        )

    def test_empty(self) -> None:
        """A folder without files is a fault, not an empty configuration.

        Otherwise a mistyped path would be taken for a configuration without
        sections, and everything in force would be listed for removal.
        """
        self.assertIn('holds no *.ini file', _faults(self._read)[0])


class CatalogueTest(testtools.TestCase):
    """The catalogue parses known sections and ignores the others."""

    def _catalogue(self, **more: dict[str, str]) -> catalogue.Catalogue:
        base = samples.sections(samples.BASE)
        named = {name: base.texts_by_key(name) for name in base.by_name}
        named |= {name.replace('_', ' '): texts for name, texts in more.items()}
        by_name = {
            name: state.Section(revision, texts)
            for revision, (name, texts) in enumerate(named.items(), start=1)
        }
        return catalogue.Catalogue.from_state(state.State(9, by_name))

    def test_types(self) -> None:
        """Values are parsed with their units; objects are found by name."""
        built = self._catalogue()
        self.assertEqual(
            'alpha', built.teams_by_key_digest[samples.DIGEST].name
        )
        self.assertEqual(0.5, built.models_by_name['m'].wave)
        self.assertEqual('cd' * 32, built.versions_by_name['m-1'].manifest)
        desk = built.services_by_name['desk']
        self.assertEqual((False, 2), (desk.idempotent, desk.retry_after))
        name = catalogue.PromiseName('alpha', 'm')
        promise = built.promises_by_team_and_target[name]
        self.assertEqual((4, 0.8), (promise.concurrency, promise.first_token))
        self.assertEqual(9, built.revision)

    def test_newer_software(self) -> None:
        """Unknown kinds and keys are ignored, invalid sections listed."""
        built = self._catalogue(
            quota_alpha={'x': '1'},
            service_new={'idempotent': 'yes', 'colour': 'red'},
            service_odd={'idempotent': 'sometimes'},
            model_odd={'wave': '5%'},
        )
        self.assertTrue(built.services_by_name['new'].idempotent)
        self.assertEqual(('model odd', 'service odd'), built.skipped)
        self.assertIn('m', built.models_by_name)

    def test_key_of_two_teams(self) -> None:
        """A key used by two teams belongs to the first, in each process."""
        built = self._catalogue(team_aaa={'key_sha256': samples.DIGEST})
        self.assertEqual(
            'alpha', built.teams_by_key_digest[samples.DIGEST].name
        )
