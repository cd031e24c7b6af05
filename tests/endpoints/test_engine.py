"""Tests of the engine adapter: contract and faults."""

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
    """The in-memory fake fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.engine = memory_endpoints.MemoryEngine()

    def runs_by_id(self):
        return dict(self.engine.runs_by_id)

    def serve_other(self):
        self.engine.serves_other = 1


class EngineCase(testtools.TestCase):
    """Test case that runs a stand-in engine and an adapter for it."""

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
    """The adapter fulfils the contract against the stand-in."""

    def test_queue_full(self):
        """An engine whose queue is full answers 429 and runs nothing."""
        contracts.load_version(self.engine, 'v1', 1)
        running = [
            self.engine.call(
                contracts.completion_call(f'r{number}', count=50_000)
            )
            for number in range(2)
        ]
        waiting = threading.Thread(
            target=self.complete_call,
            args=(contracts.completion_call('r2', stream=False),),
        )
        waiting.start()
        while not self.engine.status().waiting:
            threading.Event().wait(0.005)
        answer = self.engine.call(contracts.completion_call('r3'))
        self.assertEqual(429, answer.head.status)
        for answer in running:
            answer.close()
        waiting.join()
        self.assertNotIn('r3', self.runs_by_id())

    def complete_call(self, call):
        contracts.read_body(self.engine.call(call))


class EngineWithoutFencingTest(EngineCase):
    """An engine that ignores fencing numbers executes any order."""

    fencing = standin.Fencing.IGNORE

    def test_stale_order(self):
        """A stale order succeeds; only the status shows its effect."""
        contracts.load_version(self.engine, 'v2', 8)
        contracts.load_version(self.engine, 'v1', 7)
        status = self.engine.status()
        self.assertEqual(('v1', 0), (status.version, status.fencing))


@tables.expand
class EngineFaultTest(EngineCase):
    """Faults of the engine and of the connection to it."""

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
        """A truncated stream is an error, however much of it arrived."""
        kind, details = case
        self.inject_fault(kind, **details)
        error = self.assertRaises(
            errors.EndpointError, self.attempt, contracts.completion_call()
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
    def test_not_streamed(self, case):
        """A truncated answer that is not streamed is an error."""
        kind, details = case
        self.inject_fault(kind, **details)
        call = contracts.completion_call(stream=False, timeout=0.4)
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
        """A failed load may have taken effect; the status shows whether."""
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
        """A status that violates the protocol is an error."""
        self.inject_fault('replace', body=body)
        error = self.assertRaises(errors.EndpointError, self.engine.status)
        self.assertEqual('status', error.step)

    def test_deadline(self):
        """A stream that keeps sending past its deadline is aborted."""
        call = contracts.completion_call(count=9000, timeout=0.3)
        error = self.assertRaises(errors.EndpointError, self.attempt, call)
        self.assertEqual('answer took too long', error.detail)

    def test_not_an_event_stream(self):
        """An answer of another type to a streaming request is an error."""
        self.inject_fault('replace', body='{}')
        self.assertRaises(
            errors.EndpointError, self.attempt, contracts.completion_call()
        )

    def test_health(self):
        """An engine that answers with an error is unhealthy until it recovers."""
        self.inject_fault('status')
        self.assertFalse(self.engine.is_healthy())
        self.assertTrue(self.engine.is_healthy())

    @tables.cases(
        call=lambda adapter: adapter.call(contracts.completion_call()),
        status=lambda adapter: adapter.status(),
        load=lambda adapter: contracts.load_version(adapter, 'v1', 1),
    )
    def test_connection_refused(self, attempt):
        """Only a refused connection proves that nothing was run."""
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
    def test_unsendable_call(self, call):
        """A call that is invalid in HTTP is rejected before it is sent."""
        error = self.assertRaises(errors.EndpointError, self.engine.call, call)
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)

    def test_weights_read_error(self):
        """If reading the weights fails while sending, nothing is loaded."""

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


class CloseTest(EngineCase):
    """Answers are closed from another thread."""

    def test_wakes_a_blocked_reader(self):
        """Closing an answer wakes a thread that is blocked reading it.

        The agent's gate closes the answer of a silent connection from another
        thread. The reader must get its error at once, not only after its own
        timeout.
        """
        contracts.load_version(self.engine, 'v1', 1)
        self.inject_fault('stall', parts=1, seconds=60)
        answer = self.engine.call(contracts.completion_call())
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
