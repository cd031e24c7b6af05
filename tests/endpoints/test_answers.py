"""Tests of reading answers, also malformed ones."""

from __future__ import annotations

import contextlib

import hypothesis
import testtools
from hypothesis import strategies

from clementinepass import errors
from clementinepass.endpoints import answers, engine, protocols, transport
from tests import serving

_LIMIT = 10_000
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
#: Heads, each of which makes an answer without a body look complete early.
_HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Late: 1\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 012\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'HTTP/1.1 204 No Content\r\nX-Late: 1\r\n\r\n',
    b'HTTP/1.1 304 Not Modified\r\nX-Late: 1\r\n\r\n',
    b'HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n',
)
_PIECES = strategies.lists(
    strategies.sampled_from(
        (b'data: [DONE]', b'data:[DONE]', b'\n\n', b'\r\n\r\n', b'\n', b'data')
    )
    | strategies.binary(max_size=6),
    max_size=12,
)
_SETTINGS = hypothesis.settings(
    max_examples=80, deadline=None, derandomize=True, database=None
)


class EventReaderTest(testtools.TestCase):
    """Events are split correctly, however their bytes arrive."""

    @hypothesis.settings(max_examples=300, derandomize=True, database=None)
    @hypothesis.given(_PIECES)
    def test_any_pieces(self, pieces):
        """No byte is lost or repeated, and no partial event is returned."""
        reader = answers.EventReader(_LIMIT)
        output = b''
        received = b''
        for piece in pieces:
            received += piece
            try:
                part = reader.feed(piece)
            except answers.BodyFaultError:
                return
            self.assertTrue(not part or part.endswith(b'\n'))
            output += part
        self.assertTrue(received.startswith(output))

    def test_end_mark_within_an_event(self):
        """The end mark's text inside an event does not end the stream."""
        reader = answers.EventReader(_LIMIT)
        reader.feed(b'data: "data: [DONE]"\n\n')
        self.assertFalse(reader.is_complete())
        self.assertRaises(answers.BodyFaultError, reader.finish)
        reader.feed(b'data: [DONE]\r\n\r')
        self.assertFalse(reader.is_complete())
        reader.feed(b'\n')
        self.assertTrue(reader.is_complete())
        reader.finish()

    def test_faults(self):
        """Too long events and bodies, and events after the end mark, fail."""
        for body in (
            b'a' * (_LIMIT + 1),
            b'data: [DONE]\n\ndata: more\n\n',
        ):
            reader = answers.EventReader(_LIMIT)
            self.assertRaises(answers.BodyFaultError, reader.feed, body)
        reader = answers.EventReader(1 << 30)
        self.assertRaises(answers.BodyFaultError, reader.feed, b'a' * (1 << 21))


class RawAnswerTest(testtools.TestCase):
    """Answers as a faulty engine or network device may send them."""

    def setUp(self):
        super().setUp()
        self.server = serving.RawServer()
        self.addCleanup(self.server.close)
        self.engine = engine.HttpEngine(
            self.server.address,
            transport.Limits(read_timeout=1, answer_bytes=_LIMIT),
        )

    def attempt(self, answer):
        self.server.answer = answer
        call = protocols.Call('r1', 'POST', '/', b'', stream=True)
        return b''.join(self.engine.call(call).parts())

    def test_end_mark_without_last_chunk(self):
        """An answer that lacks only the last chunk is complete."""
        body = b'data: [DONE]\n\n'
        chunk = b'e\r\n' + body + b'\r\n'
        self.assertEqual(body, self.attempt(_HEAD + _CHUNKED + chunk))

    def test_last_chunk_without_end_mark(self):
        """A complete HTTP body with an incomplete event stream is an error."""
        error = self.assertRaises(
            errors.EndpointError,
            self.attempt,
            _HEAD + _CHUNKED + b'9\r\ndata: a\n\n\r\n0\r\n\r\n',
        )
        self.assertIn('end mark', error.detail)

    def test_no_length(self):
        """A body that ends with its connection may be truncated: an error."""
        self.assertRaises(
            errors.EndpointError, self.attempt, _HEAD + b'\r\ndata: [DONE]\n\n'
        )

    def test_half_head(self):
        """An answer that ends inside its head is not complete."""
        peer = transport.Transport(
            self.server.address, transport.Limits(read_timeout=1)
        )
        call = protocols.Call('r1', 'POST', '/', b'', stream=False)
        taken = []
        for head in _HEADS:
            for size in range(len(head)):
                self.server.answer = head[:size]
                with contextlib.suppress(errors.EndpointError):
                    answer = peer.call(call, peer.plain_body_reader)
                    taken.append((head[:size], b''.join(answer.parts())))
        self.assertEqual([], taken)

    def test_whole_head(self):
        """An answer whose head is whole needs no body to be complete."""
        peer = transport.Transport(
            self.server.address, transport.Limits(read_timeout=1)
        )
        call = protocols.Call('r1', 'POST', '/', b'', stream=False)
        for head, status in ((_HEADS[0], 200), (_HEADS[3], 204)):
            self.server.answer = head
            answer = peer.call(call, peer.plain_body_reader)
            self.assertEqual(b'', b''.join(answer.parts()))
            self.assertEqual(status, answer.head.status)

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from((b'', _HEAD, _HEAD + _CHUNKED)),
        strategies.binary(max_size=200),
    )
    def test_any_bytes(self, head, garbage):
        """Arbitrary bytes give an answer or an ``EndpointError``."""
        with contextlib.suppress(errors.EndpointError):
            self.attempt(head + garbage)
