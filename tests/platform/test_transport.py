"""Tests of HTTP exchanges with the platform's services."""

from __future__ import annotations

import contextlib

import hypothesis
import msgspec
import testtools
from hypothesis import strategies

from clementinepass import clock, errors
from clementinepass.platform import instance_list, log_service, transport
from tests import serving, tables

_HEAD = b'HTTP/1.1 200 OK\r\n'
_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                ('oldest', 'end', 'next_offset', 'records', 'offset', 'payload')
            )
            | strategies.sampled_from(('instances', 'id', 'role', 'address')),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


@tables.expand
class RawAnswerTest(testtools.TestCase):
    """Answers as a faulty server or proxy may send them."""

    def setUp(self):
        super().setUp()
        self.server = serving.RawServer()
        self.addCleanup(self.server.close)
        self.transport = transport.Transport(
            self.server.address,
            transport.Limits(read_timeout=1, answer_bytes=100),
        )
        self.addCleanup(self.transport.close)

    def exchange(self, answer):
        self.server.answer = answer
        return self.transport.exchange('GET', '/', step='test')

    @tables.cases(
        length=b'Content-Length: 2\r\n\r\nok',
        chunks=b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
    )
    def test_complete(self, rest):
        """A body with a length or a last chunk is accepted."""
        self.assertEqual(b'ok', self.exchange(_HEAD + rest).body)

    @tables.cases(
        nothing=b'',
        no_http=b'hello\r\n\r\n',
        short_body=b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
        two_lengths=b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nok',
        no_last_chunk=b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nok\r\n',
        bad_chunk=b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'xyz\r\nok\r\n',
        redirect=b'HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n'
        b'Content-Length: 0\r\n\r\n',
    )
    def test_unavailable(self, answer):
        """A lost or truncated answer raises an error and is not retried."""
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.exchange, answer
        )
        self.assertTrue(error.sent)

    @tables.cases(
        half_a_head=b'HTTP/1.1 200 OK\r\nContent-Le',
        no_end_mark=_HEAD + b'\r\nok',
        announced_too_long=_HEAD + b'Content-Length: 101\r\n\r\n' + b'a' * 101,
        chunks_too_long=_HEAD
        + b'Transfer-Encoding: chunked\r\n\r\n'
        + b'50\r\n'
        + b'a' * 80
        + b'\r\n50\r\n'
        + b'a' * 80
        + b'\r\n0\r\n\r\n',
    )
    def test_malformed(self, answer):
        """A body without a detectable end, or a too long one, is rejected."""
        self.assertRaises(errors.MalformedMessageError, self.exchange, answer)

    @tables.cases(
        seconds=(b'7', 7),
        none=(b'', 1),
        date=(b'Wed, 21 Oct 2015 07:28:00 GMT', 1),
        not_a_number=(b'nan', 1),
        for_ever=(b'1e300', 1),
        negative=(b'-3', 1),
    )
    def test_throttled(self, case):
        """The wait is the header's, or the default if it is malformed."""
        header, seconds = case
        error = self.assertRaises(
            errors.ThrottledError,
            self.exchange,
            b'HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n'
            + b'Retry-After: '
            + header
            + b'\r\n\r\n',
        )
        self.assertEqual(seconds, error.retry_after)

    @tables.cases(
        byte_now_and_then=(1, False),
        slow_link=(90, True),
    )
    def test_slow(self, case):
        """An answer is aborted below the least rate and accepted above it.

        Without a least rate, a service that sends a byte now and then would
        block a caller forever. If all slow answers were aborted, the chunks of
        a busy origin would be read again, which makes it busier.
        """
        size, is_accepted = case

        class FastClock(clock.ManualClock):
            def now(self):
                self.advance(50)
                return super().now()

        slow = transport.Transport(
            self.server.address,
            transport.Limits(least_rate=1),
            FastClock(),
        )
        self.addCleanup(slow.close)
        chunk = b'%x\r\n%b\r\n' % (size, b'a' * size)
        chunked = b'Transfer-Encoding: chunked\r\n\r\n'
        self.server.answer = _HEAD + chunked + chunk * 3 + b'0\r\n\r\n'
        if is_accepted:
            reply = slow.exchange('GET', '/', step='test')
            self.assertEqual(b'a' * 3 * size, reply.body)
            return
        self.assertRaises(
            errors.PlatformUnavailableError,
            slow.exchange,
            'GET',
            '/',
            step='test',
        )

    @hypothesis.settings(
        max_examples=60, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.booleans(),
        strategies.binary(max_size=200),
    )
    def test_any_bytes(self, headed, garbage):
        """Any bytes yield an answer or an error of this package."""
        with contextlib.suppress(errors.ClementinepassError):
            self.exchange(_HEAD + garbage if headed else garbage)


class CannedTransport(transport.Transport):
    """Transport that returns a prepared reply without a socket."""

    def exchange(self, method, path, **options):
        return self.reply


class DecoderTest(testtools.TestCase):
    """Decoders raise only the errors that they document."""

    def adapters(self, status, body):
        canned = CannedTransport('127.0.0.1:1')
        canned.reply = transport.Reply(status, body)
        log = log_service.HttpLogService('127.0.0.1:1')
        list_adapter = instance_list.HttpInstanceList('127.0.0.1:1')
        log._transport = canned
        list_adapter._transport = canned
        return (
            lambda: log.read('s', 3),
            lambda: log.append('s', [b'a']),
            list_adapter.instances,
        )

    def attempt(self, status, body):
        for call in self.adapters(status, body):
            with contextlib.suppress(
                errors.MalformedMessageError,
                errors.RecordsExpiredError,
            ):
                call()

    @hypothesis.settings(max_examples=300, derandomize=True, database=None)
    @hypothesis.given(
        strategies.sampled_from((200, 410)),
        strategies.binary(max_size=60),
    )
    def test_any_bytes(self, status, body):
        """Arbitrary bytes."""
        self.attempt(status, body)

    @hypothesis.settings(max_examples=300, derandomize=True, database=None)
    @hypothesis.given(strategies.sampled_from((200, 410)), _JSON)
    def test_any_json(self, status, body):
        """Arbitrary JSON with the names of the protocol."""
        self.attempt(status, msgspec.json.encode(body))
