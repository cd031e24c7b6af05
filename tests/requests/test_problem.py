"""Tests of the reasons that callers are told."""

from __future__ import annotations

import pathlib

import testtools

import clementinepass
from clementinepass.requests import problem

_PACKAGE = pathlib.Path(clementinepass.__file__).parent
_WORDINGS = _PACKAGE / 'requests' / 'problem.py'


class ReasonsTest(testtools.TestCase):
    """Reasons, their wordings and the code that gives them."""

    def test_every_reason_is_given(self) -> None:
        """No reason is promised to callers that no code gives.

        Callers were told to expect `share_exceeded` with 429, and wrote code
        for it; a team over its share is told `overloaded`.
        """
        code = ''.join(
            path.read_text()
            for path in _PACKAGE.rglob('*.py')
            if path != _WORDINGS
        )
        for reason in problem.Reason:
            self.assertIn(f'Reason.{reason.name}', code)
