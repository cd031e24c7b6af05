"""Tests of the reading of callers' requests."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepass import clock as clocks
from clementinepass import errors
from clementinepass.configuration import catalogue as catalogues
from clementinepass.configuration import state as states
from clementinepass.entry import callers
from clementinepass.requests import identity

_DIGEST = 'a' * 64
_STATE = states.State(
    revision=1,
    sections_by_name={
        'team depot': states.Section(1, {'key_sha256': _DIGEST}),
        'model lamps': states.Section(1, {'version': 'lamps-1'}),
        'service crews': states.Section(1, {}),
        'service rosters': states.Section(1, {'idempotent': 'yes'}),
    },
)
_CATALOGUE = catalogues.Catalogue.from_state(_STATE)
_BODY = b'{"model": "lamps", "prompt": "lamp 3", "stream": true}'


def _caller(**changes: object) -> callers.CallerRequest:
    arguments = {
        'id': 'r1',
        'method': 'POST',
        'path': '/v1/completions',
        'query': '',
        'headers': {},
        'body': _BODY,
    }
    return callers.CallerRequest(**(arguments | changes))


def _read(caller: callers.CallerRequest) -> identity.Request:
    reader = callers.Reader('entry-0', clocks.ManualClock())
    team = _CATALOGUE.teams_by_name['depot']
    return reader.read(caller, _CATALOGUE, team)


class ReaderTest(testtools.TestCase):
    """Every fault is named; nothing else is refused."""

    def test_faults(self) -> None:
        """Each bad request gets its status and the field at fault."""
        table = (
            ({'method': 'GET'}, 405, ''),
            ({'body': b''}, 400, 'body'),
            ({'body': b'{"model": '}, 400, 'body'),
            ({'body': b'{"model": "\xff"}'}, 400, 'body'),
            ({'body': b'[]'}, 400, 'body'),
            ({'body': b'{"prompt": "x"}'}, 400, 'model'),
            ({'body': b'{"model": 3}'}, 400, 'model'),
            ({'body': b'{"model": "lamps", "stream": 1}'}, 400, 'stream'),
            ({'body': b'{"model": "gates"}'}, 404, 'model'),
            ({'path': '/v1/services/none/x'}, 404, 'path'),
            ({'headers': {'content-type': 'text/plain'}}, 415, 'Content-Type'),
        )
        for changes, status, field in table:
            error = self.assertRaises(
                callers.RefusedError,
                _read,
                _caller(**changes),
            )
            problem = error.problem
            self.assertEqual((status, field), (problem.status, problem.field))
            self.assertIs(errors.Execution.NOT_RUN, problem.execution)

    def test_bad_headers(self) -> None:
        """Each header with a wrong value is named."""
        table = (
            ('Clementinepass-Deadline-Ms', '-5'),
            ('Clementinepass-Deadline-Ms', '1e3'),
            ('Clementinepass-Deadline-Ms', '9' * 30),
            ('Clementinepass-Idempotent', 'maybe'),
            ('Clementinepass-Priority', 'urgent'),
            ('Idempotency-Key', 'k' * 201),
        )
        for name, value in table:
            error = self.assertRaises(
                callers.RefusedError,
                _read,
                _caller(headers={name.lower(): value}),
            )
            self.assertEqual(
                (400, name), (error.problem.status, error.problem.field)
            )

    def test_idempotent_marks(self) -> None:
        """Only what may be repeated without harm counts as idempotent."""
        no = {'clementinepass-idempotent': 'no'}
        crews = '/v1/services/crews/12'
        table = (
            ({}, True),
            ({'headers': no}, False),
            ({'path': crews}, False),
            ({'path': crews, 'method': 'GET'}, True),
            ({'path': crews, 'method': 'GET', 'headers': no}, False),
            ({'path': '/v1/services/rosters/12'}, True),
        )
        for changes, idempotent in table:
            self.assertEqual(idempotent, _read(_caller(**changes)).idempotent)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        method=st.text(max_size=5),
        path=st.sampled_from(('/v1/completions', '/v1/services/')).flatmap(
            lambda start: st.text(max_size=9).map(lambda end: start + end),
        ),
        body=st.binary(max_size=40),
        headers=st.dictionaries(
            st.sampled_from(
                ('clementinepass-deadline-ms', 'idempotency-key'),
            ),
            st.text(max_size=9),
        ),
    )
    def test_anything_is_read_or_refused(self, **parts: object) -> None:
        """Whatever comes, the outcome is a request or a typed refusal."""
        try:
            request = _read(_caller(**parts))
        except callers.RefusedError as error:
            assert error.problem.execution is errors.Execution.NOT_RUN
        else:
            assert request.target
