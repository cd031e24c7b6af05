"""What every engine and every plain service keeps to."""

from __future__ import annotations

import hashlib

import msgspec

from clementinepass import errors
from clementinepass.endpoints import protocols
from standins import service, tokens

_PLAIN = '/v1/completions'
_CHAT = '/v1/chat/completions'


def completion(
    request_id: str = 'r1',
    prompt: str = 'Which lamp?',
    count: int = 5,
    *,
    stream: bool = True,
    chat: bool = False,
    **details: object,
) -> protocols.Call:
    """Return a call for a completion."""
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
    """Return an answer's whole body."""
    return b''.join(answer.parts())


def load_version(engine: protocols.Engine, version: str, fencing: int) -> str:
    """Order an engine to serve a version; return its digest."""
    weights = version.encode() * 70_000
    digest = hashlib.sha256(weights).hexdigest()
    parts = (weights[:1000], weights[1000:])
    engine.load(version, digest, fencing, len(weights), parts)
    return digest


class EngineContract:
    """Mixed into a test case that sets ``engine`` and ``runs_by_id``."""

    def test_answers(self):
        """Each caller gets the whole answer to its own prompt."""
        load_version(self.engine, 'v1', 1)
        for chat in (False, True):
            call = completion(prompt='Who?', count=7, chat=chat)
            answer = self.engine.call(call)
            self.assertTrue(
                answer.head.content_type.startswith('text/event-stream')
            )
            body = read_body(answer)
            self.assertEqual('v1', tokens.verify_stream(body, 'Who?', 7))
            call = completion(prompt='Who?', count=7, chat=chat, stream=False)
            body = read_body(self.engine.call(call))
            self.assertEqual('v1', tokens.verify_whole(body, 'Who?', 7))

    def test_parts_are_whole_events(self):
        """A part never ends within an event."""
        load_version(self.engine, 'v1', 1)
        for part in self.engine.call(completion()).parts():
            self.assertTrue(part.endswith(b'\n\n'))

    def test_serves_nothing_at_first(self):
        """An engine without weights refuses, and says what it serves."""
        self.assertEqual('', self.engine.status().version)
        answer = self.engine.call(completion())
        self.assertEqual(503, answer.head.status)
        self.assertTrue(read_body(answer))
        self.assertEqual({}, self.runs_by_id())

    def test_refuses_a_malformed_body(self):
        """A body that is no completion is refused and not run."""
        load_version(self.engine, 'v1', 1)
        call = protocols.Call('r1', 'POST', _PLAIN, b'{')
        self.assertEqual(400, self.engine.call(call).head.status)
        self.assertEqual({}, self.runs_by_id())

    def test_load(self):
        """What was ordered is what the engine says that it serves."""
        digest = load_version(self.engine, 'v1', 3)
        status = self.engine.status()
        self.assertEqual(
            ('v1', digest, 3),
            (status.version, status.digest, status.fencing),
        )

    def test_old_order(self):
        """A holder of a lapsed lease wakes up and gives its old order.

        Its number is lower than one that the engine has seen: the engine
        refuses, and goes on to serve the newer version. The same number
        again is a repeated order, whose first answer was lost: it is obeyed.
        """
        load_version(self.engine, 'v2', 8)
        self.assertRaises(
            errors.StaleOrderError, load_version, self.engine, 'v1', 7
        )
        self.assertEqual('v2', self.engine.status().version)
        load_version(self.engine, 'v2', 8)

    def test_wrong_digest(self):
        """Weights were corrupted on the way: nothing of them is served."""
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
        """Parts that are not as long as announced are never loaded."""
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

    def test_reports_success_and_serves_something_else(self):
        """An engine says that it obeyed and didn't: its status shows it."""
        self.serve_other()
        load_version(self.engine, 'v1', 1)
        self.assertNotEqual('v1', self.engine.status().version)

    def test_ends_on_the_version_begun_with(self):
        """A version changes while an answer is under way.

        The answer ends on the version that it began with; the next one is
        of the new version as a whole.
        """
        load_version(self.engine, 'v1', 1)
        answer = self.engine.call(completion(count=60))
        parts = answer.parts()
        first = next(parts)
        load_version(self.engine, 'v2', 2)
        body = first + b''.join(parts)
        self.assertEqual('v1', tokens.verify_stream(body, 'Which lamp?', 60))
        body = read_body(self.engine.call(completion()))
        self.assertEqual('v2', tokens.verify_stream(body, 'Which lamp?', 5))

    def test_cancel(self):
        """A cancelled stream ends with an error and not as if it were whole.

        Other requests go on, and cancelling an unknown one does nothing.
        """
        load_version(self.engine, 'v1', 1)
        parts = self.engine.call(completion('r1', count=9000)).parts()
        other = self.engine.call(completion('r2'))
        next(parts)
        self.engine.cancel('r1')
        self.engine.cancel('unknown')
        error = self.assertRaises(errors.EndpointError, list, parts)
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        tokens.verify_stream(read_body(other), 'Which lamp?', 5)

    def test_given_up(self):
        """An answer that is given up ends with an error, not as if whole."""
        load_version(self.engine, 'v1', 1)
        answer = self.engine.call(completion(count=9000))
        parts = answer.parts()
        next(parts)
        answer.close()
        self.assertRaises(errors.EndpointError, list, parts)

    def test_counts_runs(self):
        """Runs are counted by the request's id."""
        load_version(self.engine, 'v1', 1)
        for request_id in ('r1', 'r2', 'r1'):
            read_body(self.engine.call(completion(request_id)))
        self.assertEqual({'r1': 2, 'r2': 1}, self.runs_by_id())


class ServiceContract:
    """Mixed into a test case that sets ``service``."""

    def test_answers(self):
        """The answer names the request, and counts its runs by id."""
        call = protocols.Call('r1', 'PUT', '/a/b?c=d', b'body')
        for run in (1, 2):
            answer = self.service.call(call)
            self.assertEqual(200, answer.head.status)
            named = msgspec.json.decode(
                read_body(answer), type=service.ServiceAnswer
            )
            expected = service.ServiceAnswer('PUT', '/a/b', 'r1', run, 4)
            self.assertEqual(expected, named)

    def test_cancel(self):
        """A plain service knows no such order; nothing happens."""
        self.service.cancel('r1')
        self.assertTrue(self.service.is_healthy())
