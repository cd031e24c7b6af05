"""Tests of what names a request: keys of attempts, events of faults."""

from __future__ import annotations

import asyncio
import typing

import testtools
from loguru import logger

from clementinepass import clock as clocks
from clementinepass.agent import execution
from clementinepass.entry import dispatcher, exchange, outbox
from clementinepass.requests import identity, outcome, streams
from clementinepass.wire import messages

_UNUSED: typing.Any = None
_REQUEST = identity.Request(
    id='r1',
    team='depot',
    target='lamps',
    kind=identity.TargetKind.MODEL,
    method='POST',
    path='/v1/completions',
    body=b'lamp 3',
    deadline=60,
)
_DISPATCH = messages.Dispatch(
    request_id='r1',
    attempt=2,
    team='depot',
    target='lamps',
    version='',
    method='POST',
    path='/v1/completions',
    content_type='application/json',
    body=b'lamp 3',
    remaining=60_000,
    stream=False,
    priority=0,
    admit_before=0,
    suspect=False,
)


class _Bridge:
    """Runs blocking calls and posts at once."""

    async def block(self, function: typing.Any, *arguments: object) -> None:
        """Call the function."""
        function(*arguments)

    def post(self, function: typing.Any, *arguments: object) -> None:
        """Call the function."""
        function(*arguments)


def _fault_at_the_agent() -> None:
    """Run an attempt at an endpoint whose adapter has a fault."""
    run = execution.Run(
        _DISPATCH,
        on_frames=lambda: None,
        on_finished=lambda _: None,
    )
    executor = execution.Executor(_UNUSED, _Bridge(), _UNUSED, _UNUSED)
    asyncio.run(executor.execute(run))


def _fault_at_the_entry() -> None:
    """Serve a request with a dispatcher that has a fault."""
    faulty = dispatcher.Dispatcher(
        'entry-0',
        _UNUSED,
        _UNUSED,
        _UNUSED,
        _UNUSED,
        clocks.ManualClock(),
    )
    work = dispatcher.Work(_REQUEST, lambda: 60)
    asyncio.run(faulty.serve(work, outbox.Outbox()))


def _failed_attempt() -> None:
    """Take the frame of a failed attempt."""
    attempt = outcome.Attempt('r1', 2, 'agent-1')
    taken = exchange.Exchange(_REQUEST, attempt, outbox.Outbox(), _UNUSED)
    buffer = streams.StreamBuffer('r1', 2)
    buffer.fail(attempt.execution, streams.Failure('broken'))
    for frame in buffer.since(0):
        taken.accept(frame)


class AttemptKeyTest(testtools.TestCase):
    """What identifies an attempt is one type."""

    def test_both_sides_have_one_key(self) -> None:
        """An entry's key of an attempt is what its agent calls it."""
        attempt = outcome.Attempt('r1', 2, 'agent-1')
        sent = exchange.Exchange(_REQUEST, attempt, outbox.Outbox(), _UNUSED)
        run = execution.Run(
            _DISPATCH,
            on_frames=lambda: None,
            on_finished=lambda _: None,
        )
        self.assertEqual(sent.key, run.key)
        self.assertIs(identity.AttemptKey, type(sent.key))
        self.assertIs(identity.AttemptKey, type(run.key))


class FaultEventsTest(testtools.TestCase):
    """A search for a request's id finds the event, with its team and peer.

    An operator who searches for the id of a failed request found an event
    without team, step or peer, or (at an agent) none that had the id as a
    field.
    """

    def test_fields(self) -> None:
        """Each event has the same fields; the attempt where there is one."""
        events: list[typing.Any] = []
        sink = logger.add(lambda line: events.append(line.record), level=0)
        self.addCleanup(logger.remove, sink)
        table = (
            (_fault_at_the_agent, {'step': 'run', 'peer': 'lamps'}, 2),
            (_fault_at_the_entry, {'step': 'serve', 'peer': 'entry-0'}, 0),
            (_failed_attempt, {'step': 'answer', 'peer': 'agent-1'}, 2),
        )
        for act, fields, attempt in table:
            events.clear()
            act()
            expected: dict[str, typing.Any] = {
                'request_id': 'r1',
                'team': 'depot',
                **fields,
            }
            if attempt:
                expected['attempt'] = attempt
            self.assertEqual([expected], [one['extra'] for one in events])
