"""Tests that each problem told to a caller is counted once, and logged."""

from __future__ import annotations

import asyncio
import concurrent.futures
import io
import types
import typing

import aioprometheus
import testtools
from loguru import logger

from clementinepass import clock as clocks
from clementinepass import errors
from clementinepass.configuration import catalogue as catalogues
from clementinepass.configuration import state as states
from clementinepass.entry import direct, dispatcher, http, instruments, outbox
from clementinepass.requests import claims, identity, outcome, problem

_STATE = states.State(
    revision=1,
    sections_by_name={
        'team depot': states.Section(1, {'key_sha256': 'a' * 64}),
        'model lamps': states.Section(1, {'version': 'lamps-1'}),
    },
)
_CATALOGUE = catalogues.Catalogue.from_state(_STATE)
_KEY = 'lantern-key'
_BODY = b'{"model": "lamps", "prompt": "lamp 3"}'
_STREAMED = b'{"model": "lamps", "prompt": "lamp 3", "stream": true}'
_REFUSALS = 'clementinepass_refusals_total'
_FAILURES = 'clementinepass_failures_total'
_HEAD = outbox.Head(200, 'text/event-stream')
_SENDER = {'team': 'depot', 'class': identity.Priority.INTERACTIVE.value}


class _Bridge:
    """Runs everything at once, in the one thread of a test."""

    def submit(self, coroutine: typing.Any) -> typing.Any:
        """Run a coroutine to its end."""
        done: concurrent.futures.Future[object] = concurrent.futures.Future()
        done.set_result(asyncio.run(coroutine))
        return done

    def post(self, function: typing.Any, *arguments: object) -> None:
        """Call the function."""
        function(*arguments)


class _Dispatcher:
    """Ends each request with the events set."""

    def __init__(self) -> None:
        self.events: tuple[outbox.Event, ...] = ()

    async def serve(
        self,
        work: dispatcher.Work,
        box: outbox.Outbox,
    ) -> dispatcher.Served:
        """Put the events into the outbox."""
        for event in self.events:
            box.put(event)
        return dispatcher.Served(errors.Execution.NOT_RUN, None, None)


class _Claimer:
    """Decides each claim in one way."""

    def claim(self, *_: object) -> object:
        """Return a held claim."""
        return object()

    def decide(self, *_: object) -> claims.Decision:
        """Return the one decision."""
        return claims.Decision(claims.Verdict.IN_PROGRESS)


class ToldTest(testtools.TestCase):
    """Whatever found the problem, it is counted once, and under its team.

    An operator sees callers complain while the entry's refusals stay at
    nought: only those of admission, placing and quarantine were counted;
    malformed requests, a full entry, claims and all failures were not.
    """

    def setUp(self) -> None:
        """Make one application whose parts are set by each test."""
        super().setUp()
        self.registry = aioprometheus.Registry()
        self.dispatcher = _Dispatcher()
        self.leaving = False
        self.streams = 1

    def _entry(self) -> typing.Any:
        team = _CATALOGUE.teams_by_name['depot']
        return types.SimpleNamespace(
            id='entry-0',
            ready=True,
            catalogue=_CATALOGUE,
            team_of=lambda key: team if key == _KEY else None,
            leaving=types.SimpleNamespace(
                accepts_requests=lambda _: not self.leaving
            ),
            dispatcher=self.dispatcher,
        )

    def _call(
        self,
        body: bytes = _BODY,
        path: str = '/v1/completions',
        key: str = _KEY,
        **headers: str,
    ) -> bytes:
        app = http.App(
            self._entry(),
            _Bridge(),
            _Claimer(),
            http.Limits(9, self.streams, 100, 1),
            clocks.ManualClock(),
            instruments.Instruments(self.registry),
        )
        environ = {
            'REQUEST_METHOD': 'POST',
            'REQUEST_URI': path,
            'CONTENT_LENGTH': str(len(body)),
            'HTTP_AUTHORIZATION': f'Bearer {key}',
            'wsgi.input': io.BytesIO(body),
            direct.ENVIRON_KEY: types.SimpleNamespace(usable=False),
            **headers,
        }
        answer = app(environ, lambda *_: None)
        told = b''.join(answer)
        if not isinstance(answer, list):
            answer.close()
        return told

    def _counted(self) -> list[str]:
        text = aioprometheus.render(self.registry, [])[0].decode()
        return [
            line
            for line in text.splitlines()
            if line.startswith((_REFUSALS, _FAILURES))
        ]

    def _counts(self, metric: str, **labels: str) -> None:
        pairs = ','.join(f'{k}="{v}"' for k, v in sorted(labels.items()))
        self.assertEqual([f'{metric}{{{pairs}}} 1'], self._counted())

    def test_before_admission(self) -> None:
        """A request that could not be read counts under its team if known."""
        table = (
            ({'path': '/v1/none'}, 'unknown_target', ''),
            ({'key': 'other'}, 'unauthorized', ''),
            ({'body': b'{'}, 'malformed', 'depot'),
            ({'body': b'x' * 101}, 'body_too_large', 'depot'),
        )
        for arguments, reason, team in table:
            self.registry = aioprometheus.Registry()
            self._call(**arguments)
            labels = {'reason': reason, 'team': team, 'class': ''}
            self._counts(_REFUSALS, **labels)

    def test_no_place(self) -> None:
        """An entry that leaves or is full counts what it turns away."""
        table = ((True, 1, 'leaving'), (False, 0, 'overloaded'))
        for self.leaving, self.streams, reason in table:
            self.registry = aioprometheus.Registry()
            self._call()
            self._counts(_REFUSALS, reason=reason, **_SENDER)

    def test_claim(self) -> None:
        """A repeat that can't be answered is a refusal, not a failure."""
        self._call(HTTP_IDEMPOTENCY_KEY='k1')
        self._counts(
            _REFUSALS,
            reason='idempotency_key_in_progress',
            **_SENDER,
        )

    def test_refused_by_the_dispatcher(self) -> None:
        """What admission refuses is counted where it is told."""
        refusal = problem.Problem.not_run(
            problem.Reason.QUARANTINED,
            step='quarantine',
            peer='entry-0',
            request_id='r1',
        )
        self.dispatcher.events = (outbox.End(refusal),)
        self._call()
        self._counts(_REFUSALS, reason='quarantined', **_SENDER)

    def test_failures(self) -> None:
        """A failure counts by its execution, whole answer or truncated."""
        begun = (_HEAD, outbox.Part(b'data: {}\n\n'))
        table = (
            (_BODY, (), 'endpoint_died'),
            (_STREAMED, begun, 'truncated'),
        )
        for body, events, reason in table:
            self.registry = aioprometheus.Registry()
            self.dispatcher.events = (*events, _end(reason))
            self._call(body)
            self._counts(
                _FAILURES,
                reason=reason,
                execution='may_have_run',
                **_SENDER,
            )

    def test_events(self) -> None:
        """Each problem is one event that names its request and no secret.

        An operator who searches the log for the request id that a caller
        reports found nothing of a truncated stream, and of other failures
        neither team nor attempt.
        """
        begun = (_HEAD, outbox.Part(b'data: lamp\n\n'))
        events: list[typing.Any] = []
        sink = logger.add(lambda line: events.append(line.record), level=0)
        self.addCleanup(logger.remove, sink)
        table = (
            (_BODY, (), 'endpoint_died', 'INFO', 'failed: endpoint_died '),
            (
                _STREAMED,
                begun,
                'truncated',
                'WARNING',
                'truncated after 12 bytes: ',
            ),
        )
        for body, before, reason, level, text in table:
            events.clear()
            self.registry = aioprometheus.Registry()
            self.dispatcher.events = (*before, _end(reason))
            self._call(body)
            self.assertEqual([text], [one['message'] for one in events])
            self.assertEqual(level, events[0]['level'].name)
            self.assertEqual(
                {
                    'request_id': 'r1',
                    'attempt': 2,
                    'team': 'depot',
                    'peer': 'agent-1',
                    'step': 'answer',
                },
                events[0]['extra'],
            )

    def test_success(self) -> None:
        """An answer that is whole counts as neither."""
        self.dispatcher.events = (_HEAD, outbox.Part(b'{}'), outbox.End())
        self.assertEqual(b'{}', self._call())
        self.assertEqual([], self._counted())


def _end(reason: str) -> outbox.End:
    attempt = outcome.Attempt('r1', 2, 'agent-1')
    attempt.sent()
    return outbox.End(
        problem.Problem.of_attempt(
            problem.Reason(reason),
            attempt,
            step='answer',
        ),
    )
