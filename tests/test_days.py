"""Tests that the days of our own fit any site and say what they prove."""

from __future__ import annotations

import pathlib
import re
import tomllib
import typing

import testtools
from testtools import matchers

_ROOT = pathlib.Path(__file__).parent.parent
_DAYS = sorted((_ROOT / 'deploy' / 'days').glob('*.toml'))
#: What differs from site to site, and so is named by its place.
_OF_SITE = {'service': '@s', 'class': '@c', 'zone': '@z', 'to_zone': '@z'}
#: The length of a day that doesn't say it: that of the site's own days.
_USUAL_SECONDS = 34.0


def _disturbances(day: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    return [*day.get('plan', ()), *day.get('faults', ())]


class DaysTest(testtools.TestCase):
    """The files of ``deploy/days``."""

    def test_fit_any_site(self) -> None:
        """A day that named one site's service was left out on all others."""
        for path in _DAYS:
            day = tomllib.loads(path.read_text())
            self.assertEqual(path.stem, day['name'])
            length = day.get('length_s', _USUAL_SECONDS)
            for one in _disturbances(day):
                self.assertLess(one['at'], length, path.name)
                for field, place in _OF_SITE.items():
                    said = one.get(field, place)
                    self.assertThat(said, matchers.StartsWith(place))

    def test_told(self) -> None:
        """Each day begins with the promise that it brings about."""
        for path in _DAYS:
            self.assertThat(path.read_text(), matchers.StartsWith('# '))

    def test_table_of_promises(self) -> None:
        """A page named a day that was renamed, and nobody could play it."""
        text = (_ROOT / 'docs' / 'PROOFS.md').read_text()
        names = {path.stem for path in _DAYS}
        rows = [line for line in text.splitlines() if line.startswith('| ')]
        said = {
            name
            for row in rows
            for name in re.findall('`([a-z]+(?:-[a-z]+)+)`', row)
        }
        self.assertEqual(set(), said - names - {'rolling-stops'})
