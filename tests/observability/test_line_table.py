"""Tests that the table of log lines is complete."""

from __future__ import annotations

import asyncio
import pathlib
import typing

import testtools
from loguru import logger

from benchmarks import day
from clementinepass.observability import line_table

PAGE = pathlib.Path(__file__).parents[2] / 'docs/operators/log-lines.md'


class LineTableTest(testtools.TestCase):
    """All log lines and fields are documented."""

    def test_lines_of_a_day(self) -> None:
        """The lines and fields that a heavy day writes are in the table."""
        unknown: set[str] = set()

        def check(message: typing.Any) -> None:
            record = message.record
            kind = line_table.find_kind(record['message'])
            if kind is None:
                unknown.add(record['message'])
            else:
                undocumented = set(record['extra']).difference(kind.fields)
                unknown.update(
                    f'{record["message"]}: {field}' for field in undocumented
                )

        handle = logger.add(check, level='INFO', format='{message}')
        self.addCleanup(logger.remove, handle)
        heavy = day.Day(5, 1, heavy=True)
        asyncio.run(heavy.play())
        self.assertEqual(set(), unknown)

    def test_fields_are_explained(self) -> None:
        """Each field of a line is described, and no description is unused."""
        used = {
            field
            for kind in line_table.KINDS_BY_MESSAGE.values()
            for field in kind.fields
        }
        self.assertEqual(used, set(line_table.FIELDS_BY_NAME))

    def test_page(self) -> None:
        """The operators' page is up to date with the table."""
        self.assertEqual(line_table.render_page(), PAGE.read_text())
