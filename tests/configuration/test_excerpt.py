"""Tests of configuration excerpts for agents."""

from __future__ import annotations

import testtools

from clementinepass.configuration import catalogue, excerpt, state
from tests.configuration import samples


class ExcerptTest(testtools.TestCase):
    """An excerpt agrees with the complete state on the agent's endpoint."""

    def test_endpoint(self) -> None:
        """Model, versions and revision equal those of the complete state."""
        sections = samples.sections(
            samples.BASE,
            f'[version n-1]\nmodel = n\nmanifest = {"01" * 32}\n',
        )
        complete = state.State(
            9,
            {
                name: state.Section(number, sections.texts_by_key(name))
                for number, name in enumerate(sections.by_name, start=1)
            },
        )
        agent_excerpt = excerpt.for_endpoint(complete, 'm')
        self.assertEqual(9, agent_excerpt.revision)
        self.assertEqual(
            {'model m', 'version m-1'},
            set(agent_excerpt.sections_by_name),
        )
        excerpt_catalogue = catalogue.Catalogue.from_state(agent_excerpt)
        complete_catalogue = catalogue.Catalogue.from_state(complete)
        self.assertEqual(
            complete_catalogue.models_by_name, excerpt_catalogue.models_by_name
        )
        self.assertEqual(
            complete_catalogue.versions_by_name['m-1'],
            excerpt_catalogue.versions_by_name['m-1'],
        )
        self.assertEqual(
            {'service desk'},
            set(excerpt.for_endpoint(complete, 'desk').sections_by_name),
        )
