"""Tests of model engines: their contract, and their adapter under faults."""

from __future__ import annotations

import hashlib
import threading

import msgspec
import testtools
import urllib3

from clementinepass import errors
from clementinepass.endpoints import engine, protocols, transport
from standins import batching, memory_endpoints
from standins import engine as standin
from tests import serving, tables
from tests.endpoints import contracts

_SHORT_LIMITS = transport.Limits(
    read_timeout=2, control_timeout=2, load_timeout=3
)


class MemoryEngineTest(contracts.EngineContract, testtools.TestCase):
    """The fake in memory keeps to the contract."""

    def setUp(self):
        super().setUp()
        self.engine = memory_endpoints.MemoryEngine()

    def runs_by_id(self):
        return dict(self.engine.runs_by_id)

    def serve_other(self):
        self.engine.serves_other = 1


class EngineCase(testtools.TestCase):
    """Serves a stand-in and has an adapter for it."""

    limits = transport.Limits()
    fencing = standin.Fencing.CHECK

    def setUp(self):
        super().setUp()
        handlers = standin.EngineHandlers(
            batching.Batch(step=0.002, capacity=2, waiting=1),
            fencing=self.fencing,
        )
        self.address = serving.serve(self, handlers.application())
        self.engine = engine.HttpEngine(self.address, self.limits)

    def runs_by_id(self):
        answer = urllib3.request('GET', f'http://{self.address}/v1/runs')
        return msgspec.json.decode(answer.data, type=standin.RunsAnswer).runs

    def inject_fault(self, kind, **details):
        fault = serving.fault(kind, **details)
        serving.order(self.address, faults=(fault,))

    def serve_other(self):
        self.inject_fault('serve_other')


class HttpEngineTest(contracts.EngineContract, EngineCase):
    """The adapter and the stand-in keep to the contract together."""

    def test_full(self):
        """With its queue full, an engine refuses and does not run."""
        contracts.load_version(self.engine, 'v1', 1)
        running = [
            self.engine.call(contracts.completion(f'r{number}', count=50_000))
            for number in range(2)
        ]
        waiting = threading.Thread(
            target=self.complete_call,
            args=(contracts.completion('r2', stream=False),),
        )
        waiting.start()
        while not self.engine.status().waiting:
            threading.Event().wait(0.005)
        answer = self.engine.call(contracts.completion('r3'))
        self.assertEqual(429, answer.head.status)
        for answer in running:
            answer.close()
        waiting.join()
        self.assertNotIn('r3', self.runs_by_id())

    def complete_call(self, call):
        contracts.read_body(self.engine.call(call))


class IgnoringEngineTest(EngineCase):
    """An engine that ignores fencing numbers obeys any order."""

    fencing = standin.Fencing.IGNORE

    def test_obeys_an_old_order(self):
        """Only what the engine says it serves shows the old order."""
        contracts.load_version(self.engine, 'v2', 8)
        contracts.load_version(self.engine, 'v1', 7)
        status = self.engine.status()
        self.assertEqual(('v1', 0), (status.version, status.fencing))


@tables.expand
class EngineFaultTest(EngineCase):
    """Faults between the adapter and the engine."""

    limits = _SHORT_LIMITS

    def setUp(self):
        super().setUp()
        contracts.load_version(self.engine, 'v1', 1)

    def attempt(self, call):
        return contracts.read_body(self.engine.call(call))

    @tables.cases(
        dropped=('drop_before', {}),
        answer_lost=('drop_after', {}),
        silent=('silence_before', {'seconds': 5}),
        truncated=('truncate', {'parts': 2}),
        end_mark_lost=('truncate', {'parts': 5}),
        stalled=('stall', {'parts': 2, 'seconds': 5}),
    )
    def test_stream(self, case):
        """A stream that is cut is an error, however much of it came."""
        kind, details = case
        self.inject_fault(kind, **details)
        error = self.assertRaises(
            errors.EndpointError, self.attempt, contracts.completion()
        )
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        self.assertEqual(self.address, error.peer)

    @tables.cases(
        dropped=('drop_before', {}),
        answer_lost=('drop_after', {}),
        silent=('silence_before', {'seconds': 5}),
        truncated=('truncate', {}),
        stalled=('stall', {'seconds': 5}),
        wrong_length=('wrong_length', {}),
    )
    def test_whole(self, case):
        """A whole answer that is cut is an error."""
        kind, details = case
        self.inject_fault(kind, **details)
        call = contracts.completion(stream=False, timeout=0.4)
        error = self.assertRaises(errors.EndpointError, self.attempt, call)
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)

    @tables.cases(
        dropped=('drop_before', 'v1', {}),
        answer_lost=('drop_after', 'v2', {}),
        silent=('silence_before', 'v1', {'seconds': 5}),
        silent_answer=('silence_after', 'v2', {'seconds': 5}),
        status=('status', 'v1', {'status': 500}),
    )
    def test_load(self, case):
        """An order fails, and may have taken effect; the status tells."""
        kind, version, details = case
        self.inject_fault(kind, method='PUT', **details)
        error = self.assertRaises(
            errors.EndpointError, contracts.load_version, self.engine, 'v2', 2
        )
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        self.assertEqual(version, self.engine.status().version)

    @tables.cases(
        no_json='{',
        other_shape='[1]',
        missing_field='{"version":"v1"}',
        wrong_type='{"version":1,"digest":"","fencing":0,"running":0,'
        '"waiting":0,"capacity":1}',
        unknown_field='{"version":"","digest":"","fencing":0,"running":0,'
        '"waiting":0,"capacity":1,"colour":"red"}',
    )
    def test_malformed_status(self, body):
        """A status that contradicts the protocol is an error."""
        self.inject_fault('replace', body=body)
        error = self.assertRaises(errors.EndpointError, self.engine.status)
        self.assertEqual('status', error.step)

    def test_takes_too_long(self):
        """A stream that never falls silent and never ends is given up."""
        call = contracts.completion(count=9000, timeout=0.3)
        error = self.assertRaises(errors.EndpointError, self.attempt, call)
        self.assertEqual('answer took too long', error.detail)

    def test_answers_no_stream(self):
        """A stream was asked for, and something else is answered."""
        self.inject_fault('replace', body='{}')
        self.assertRaises(
            errors.EndpointError, self.attempt, contracts.completion()
        )

    def test_health(self):
        """An engine that fails is not healthy, and recovers."""
        self.inject_fault('status')
        self.assertFalse(self.engine.is_healthy())
        self.assertTrue(self.engine.is_healthy())

    @tables.cases(
        call=lambda adapter: adapter.call(contracts.completion()),
        status=lambda adapter: adapter.status(),
        load=lambda adapter: contracts.load_version(adapter, 'v1', 1),
    )
    def test_refused(self, attempt):
        """Nothing listens: only then is it certain that nothing was run."""
        adapter = engine.HttpEngine(serving.closed_address(), _SHORT_LIMITS)
        error = self.assertRaises(errors.EndpointError, attempt, adapter)
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)
        self.assertFalse(adapter.is_healthy())
        adapter.cancel('r1')

    @tables.cases(
        header_in_id=protocols.Call('a\r\nX: y', 'POST', '/', b''),
        odd_id=protocols.Call('r\u0161', 'POST', '/', b''),
        odd_method=protocols.Call('r', 'GET /x', '/', b''),
        other_host=protocols.Call('r', 'GET', 'http://127.0.0.1:1/', b''),
        space_in_path=protocols.Call('r', 'GET', '/a\nb', b''),
    )
    def test_unsendable(self, call):
        """A call that HTTP cannot carry is refused before it is sent."""
        error = self.assertRaises(errors.EndpointError, self.engine.call, call)
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)

    def test_parts_fail(self):
        """The weights fail while they are sent: the order has no effect."""

        def parts():
            yield b'a'
            raise errors.ChunkCorruptError('bad', step='read', peer='p')

        digest = hashlib.sha256(b'aa').hexdigest()
        self.assertRaises(
            errors.ChunkCorruptError,
            self.engine.load,
            'v2',
            digest,
            2,
            2,
            parts(),
        )
        self.assertEqual('v1', self.engine.status().version)


class GiveUpTest(EngineCase):
    """Answers are given up from another thread."""

    def test_wakes_a_blocked_reader(self):
        """A connection goes silent while its reader waits for more.

        The gate gives the answer up from another thread. The reader must
        wake up at once, long before its own timeout.
        """
        contracts.load_version(self.engine, 'v1', 1)
        self.inject_fault('stall', parts=1, seconds=60)
        answer = self.engine.call(contracts.completion())
        parts = answer.parts()
        next(parts)
        outcomes = []

        def read():
            outcomes.append(
                self.assertRaises(errors.EndpointError, list, parts)
            )

        reader = threading.Thread(target=read)
        reader.start()
        answer.close()
        reader.join(timeout=20)
        self.assertFalse(reader.is_alive())
        self.assertIn('given up', outcomes[0].detail)
