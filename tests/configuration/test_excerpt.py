"""Tests of what an agent is given."""

from __future__ import annotations

import testtools

from clementinepass.configuration import catalogue, excerpt, state
from tests.configuration import samples


class ExcerptTest(testtools.TestCase):
    """An agent sees of its own endpoint what the whole state says."""

    def test_endpoint(self) -> None:
        """Model, versions and revision are those of the whole state."""
        sections = samples.sections(
            samples.BASE,
            f'[version n-1]\nmodel = n\nmanifest = {"01" * 32}\n',
        )
        whole = state.State(
            9,
            {
                name: state.Section(number, sections.texts_by_key(name))
                for number, name in enumerate(sections.by_name, start=1)
            },
        )
        part = excerpt.for_endpoint(whole, 'm')
        self.assertEqual(9, part.revision)
        self.assertEqual(
            {'model m', 'version m-1'},
            set(part.sections_by_name),
        )
        seen = catalogue.Catalogue.from_state(part)
        known = catalogue.Catalogue.from_state(whole)
        self.assertEqual(known.models_by_name, seen.models_by_name)
        self.assertEqual(
            known.versions_by_name['m-1'],
            seen.versions_by_name['m-1'],
        )
        self.assertEqual(
            {'service desk'},
            set(excerpt.for_endpoint(whole, 'desk').sections_by_name),
        )
