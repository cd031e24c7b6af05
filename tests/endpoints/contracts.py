"""Contract tests for all implementations of engines and services."""

from __future__ import annotations

import hashlib

import msgspec

from clementinepass import errors
from clementinepass.endpoints import protocols
from standins import service, tokens

_PLAIN = '/v1/completions'
_CHAT = '/v1/chat/completions'


def completion_call(
    request_id: str = 'r1',
    prompt: str = 'Which lamp?',
    count: int = 5,
    *,
    stream: bool = True,
    chat: bool = False,
    **details: object,
) -> protocols.Call:
    """Return a completion call."""
    body: dict[str, object] = {'max_tokens': count, 'stream': stream}
    if chat:
        body['messages'] = [{'role': 'user', 'content': prompt}]
    else:
        body['prompt'] = prompt
    return protocols.Call(
        request_id=request_id,
        method='POST',
        path=_CHAT if chat else _PLAIN,
        body=msgspec.json.encode(body),
        stream=stream,
        **details,
    )


def read_body(answer: protocols.Answer) -> bytes:
    """Return an answer's complete body."""
    return b''.join(answer.parts())


def load_version(engine: protocols.Engine, version: str, fencing: int) -> str:
    """Load a version into an engine and return its digest."""
    weights = version.encode() * 70_000
    digest = hashlib.sha256(weights).hexdigest()
    parts = (weights[:1000], weights[1000:])
    engine.load(version, digest, fencing, len(weights), parts)
    return digest


class EngineContract:
    """Tests of an engine, for a test case that sets ``engine``.

    The test case also defines ``runs_by_id()``, which returns the number of
    runs by request id, and ``serve_other()``, which makes the engine report
    success for the next load without serving the loaded version.
    """

    def test_answers(self):
        """Callers receive the complete answer to their own prompt."""
        load_version(self.engine, 'v1', 1)
        for chat in (False, True):
            call = completion_call(prompt='Who?', count=7, chat=chat)
            answer = self.engine.call(call)
            self.assertTrue(
                answer.head.content_type.startswith('text/event-stream')
            )
            body = read_body(answer)
            self.assertEqual('v1', tokens.verify_stream(body, 'Who?', 7))
            call = completion_call(
                prompt='Who?', count=7, chat=chat, stream=False
            )
            body = read_body(self.engine.call(call))
            self.assertEqual('v1', tokens.verify_whole(body, 'Who?', 7))

    def test_parts_are_complete_events(self):
        """Each part of a stream ends at the end of an event."""
        load_version(self.engine, 'v1', 1)
        for part in self.engine.call(completion_call()).parts():
            self.assertTrue(part.endswith(b'\n\n'))

    def test_without_weights(self):
        """An engine without weights answers 503 and reports no version."""
        self.assertEqual('', self.engine.status().version)
        answer = self.engine.call(completion_call())
        self.assertEqual(503, answer.head.status)
        self.assertTrue(read_body(answer))
        self.assertEqual({}, self.runs_by_id())

    def test_malformed_body(self):
        """A request with a malformed body is rejected and not run."""
        load_version(self.engine, 'v1', 1)
        call = protocols.Call('r1', 'POST', _PLAIN, b'{')
        self.assertEqual(400, self.engine.call(call).head.status)
        self.assertEqual({}, self.runs_by_id())

    def test_load(self):
        """The status shows the version that was loaded."""
        digest = load_version(self.engine, 'v1', 3)
        status = self.engine.status()
        self.assertEqual(
            ('v1', digest, 3),
            (status.version, status.digest, status.fencing),
        )

    def test_stale_order(self):
        """An order from the holder of an expired lease is rejected.

        Its fencing number is lower than one that the engine has seen, so the
        engine keeps serving the newer version. An order with the same number
        is a repetition whose first answer was lost, and is executed.
        """
        load_version(self.engine, 'v2', 8)
        self.assertRaises(
            errors.StaleOrderError, load_version, self.engine, 'v1', 7
        )
        self.assertEqual('v2', self.engine.status().version)
        load_version(self.engine, 'v2', 8)

    def test_wrong_digest(self):
        """Weights that were corrupted in transit are not served."""
        load_version(self.engine, 'v1', 1)
        error = self.assertRaises(
            errors.EndpointError,
            self.engine.load,
            'v2',
            '0' * 64,
            2,
            3,
            [b'abc'],
        )
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        self.assertEqual('v1', self.engine.status().version)

    def test_wrong_size(self):
        """Weights that are shorter or longer than announced are not loaded."""
        load_version(self.engine, 'v1', 1)
        for parts in ([b'ab'], [b'ab', b'cd']):
            digest = hashlib.sha256(b''.join(parts)).hexdigest()
            self.assertRaises(
                errors.ManifestError,
                self.engine.load,
                'v2',
                digest,
                2,
                3,
                parts,
            )
        self.assertEqual('v1', self.engine.status().version)

    def test_reports_success_but_serves_other_version(self):
        """The status reveals an engine that reports a load it did not do."""
        self.serve_other()
        load_version(self.engine, 'v1', 1)
        self.assertNotEqual('v1', self.engine.status().version)

    def test_load_during_a_stream(self):
        """A version is loaded while an answer is being streamed.

        The answer finishes on the version that it started with; the next one
        comes completely from the new version.
        """
        load_version(self.engine, 'v1', 1)
        answer = self.engine.call(completion_call(count=60))
        parts = answer.parts()
        first = next(parts)
        load_version(self.engine, 'v2', 2)
        body = first + b''.join(parts)
        self.assertEqual('v1', tokens.verify_stream(body, 'Which lamp?', 60))
        body = read_body(self.engine.call(completion_call()))
        self.assertEqual('v2', tokens.verify_stream(body, 'Which lamp?', 5))

    def test_cancel(self):
        """A cancelled stream ends with an error instead of looking complete.

        Other requests continue, and cancelling an unknown one does nothing.
        """
        load_version(self.engine, 'v1', 1)
        parts = self.engine.call(completion_call('r1', count=9000)).parts()
        other = self.engine.call(completion_call('r2'))
        next(parts)
        self.engine.cancel('r1')
        self.engine.cancel('unknown')
        error = self.assertRaises(errors.EndpointError, list, parts)
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        tokens.verify_stream(read_body(other), 'Which lamp?', 5)

    def test_closed_answer(self):
        """A closed answer ends with an error instead of looking complete."""
        load_version(self.engine, 'v1', 1)
        answer = self.engine.call(completion_call(count=9000))
        parts = answer.parts()
        next(parts)
        answer.close()
        self.assertRaises(errors.EndpointError, list, parts)

    def test_counts_runs(self):
        """The engine counts the runs of each request id."""
        load_version(self.engine, 'v1', 1)
        for request_id in ('r1', 'r2', 'r1'):
            read_body(self.engine.call(completion_call(request_id)))
        self.assertEqual({'r1': 2, 'r2': 1}, self.runs_by_id())


class ServiceContract:
    """Tests of a service, for a test case that sets ``service``."""

    def test_answers(self):
        """The answer describes the request and counts its runs by id."""
        call = protocols.Call('r1', 'PUT', '/a/b?c=d', b'body')
        for run in (1, 2):
            answer = self.service.call(call)
            self.assertEqual(200, answer.head.status)
            decoded = msgspec.json.decode(
                read_body(answer), type=service.ServiceAnswer
            )
            expected = service.ServiceAnswer('PUT', '/a/b', 'r1', run, 4)
            self.assertEqual(expected, decoded)

    def test_cancel(self):
        """Cancelling has no effect, as plain services do not support it."""
        self.service.cancel('r1')
        self.assertTrue(self.service.is_healthy())
