"""Tests of the history of a request from logs."""

from __future__ import annotations

import json
import typing

import testtools

from clementinepass.observability import request_history


def line(second: float, message: str, **fields: typing.Any) -> bytes:
    """Return one line of a log as JSON."""
    time = f'2026-01-02T03:04:{second:06.3f}+00:00'
    common_fields = {
        'time': time,
        'level': 'INFO',
        'message': message,
        'at': 'm',
    }
    return json.dumps({**common_fields, **fields}).encode()


ENTRY = [
    line(1, 'configuration in force', version=3, before=0),
    line(2, 'engine holds weights', endpoint='i-1', version=1, layers=16),
    line(2, 'engine holds weights', endpoint='i-2', version=1, layers=16),
    line(4, 'configuration in force', version=5, before=3),
    line(10, 'sent', request='r', attempt=1, endpoint='i-1', left=6.0),
    line(11, 'attempt failed', request='r', endpoint='i-1', error='reset'),
    line(11.1, 'not sending once more', request='r', decision='enough_runs'),
    line(11.2, 'ended without an answer', request='r', status=502),
    line(12, 'configuration in force', version=9, before=5),
]


class RequestHistoryTest(testtools.TestCase):
    """The history of a request that may have run and ended with status 502."""

    def explain(
        self, *more: bytes, request: str = 'r'
    ) -> request_history.RequestHistory | None:
        """Return the history from the entry's log with additional lines."""
        collection = request_history.LogCollection()
        collection.add('entry-1', [*ENTRY, *more])
        collection.add(
            'entry-2', [line(9, 'configuration in force', version=4)]
        )
        return collection.build_history(request)

    def test_in_order(self) -> None:
        """Lines are in order, and the first failure is given."""
        history = self.explain()
        assert history is not None
        self.assertEqual('sent', history.lines[0].message)
        self.assertEqual(4, len(history.lines))
        assert history.first_failure is not None
        self.assertEqual('attempt failed', history.first_failure.message)
        self.assertIn('error=reset', history.first_failure.details)
        self.assertEqual((), history.gaps)

    def test_observations(self) -> None:
        """Observations are the newest of the processes and endpoints involved."""
        history = self.explain()
        assert history is not None
        age_by_observation = {
            (
                observation.line.message,
                observation.line.fields['version'],
            ): observation.age
            for observation in history.observations
        }
        self.assertEqual(6, age_by_observation['configuration in force', 5])
        self.assertEqual(8, age_by_observation['engine holds weights', 1])
        self.assertEqual(2, len(age_by_observation))

    def test_deciding(self) -> None:
        """An unknown key is decided by the configuration in force."""
        refused = line(
            5,
            'refused',
            request='q',
            reason='unknown_key',
            configuration=5,
            last_in=3,
        )
        history = self.explain(refused, request='q')
        assert history is not None
        (observation,) = history.deciding_observations
        self.assertEqual(5, observation.line.fields['version'])
        self.assertEqual(1, observation.age)

    def test_draining_endpoint(self) -> None:
        """Endpoints that drain decide a lack of endpoints, and are no failure.

        A request was refused while all endpoints were listed as ready, and
        nothing said why none could be used.
        """
        drains = line(
            5,
            'endpoint drains by its answer',
            request='p',
            endpoint='i-1',
            service='pool',
        )
        ended = line(
            6,
            'ended without an answer',
            request='q',
            reason='no_endpoint',
            service='pool',
        )
        history = self.explain(drains, ended, request='q')
        assert history is not None
        (observation,) = history.deciding_observations
        self.assertEqual('i-1', observation.line.fields['endpoint'])
        history = self.explain(drains, request='p')
        assert history is not None
        self.assertIsNone(history.first_failure)

    def test_restart(self) -> None:
        """State from before a restart of the process is not reported."""
        history = self.explain(line(5, 'entry started', node='entry-1'))
        assert history is not None
        self.assertEqual((), history.observations)

    def test_unknown_request(self) -> None:
        """A request without log lines has no history."""
        self.assertIsNone(self.explain(request='other'))

    def test_unreadable_lines(self) -> None:
        """Truncated lines and lines of other programs are only counted."""
        collection = request_history.LogCollection()
        collection.add('entry-1', [ENTRY[4][:30], b'hello', b'[1]', b'', b'{}'])
        self.assertEqual(4, collection.unreadable_lines)
        self.assertIsNone(collection.build_history('r'))

    def test_gaps(self) -> None:
        """Lines that may be missing are reported."""
        collection = request_history.LogCollection()
        dropped = b'{"level":"WARNING","message":"lines dropped","lines":9}'
        collection.add('entry-1', [ENTRY[4], dropped])
        history = collection.build_history('r')
        assert history is not None
        self.assertEqual(3, len(history.gaps))
