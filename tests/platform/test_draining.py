"""Tests of the header with which an endpoint says that it drains."""

from __future__ import annotations

import testtools

from clementinepass.direct import calls
from clementinepass.http import messages
from clementinepass.platform import dialect

CALL = calls.Call(
    id='r-1',
    request=messages.Request(b'GET', b'/a', messages.Headers(), b'', 0),
    host=b'h',
)
#: Values of the header, and whether they say that the endpoint drains.
VALUES: tuple[tuple[tuple[bytes, ...], bool], ...] = (
    ((), False),
    ((b'1',), True),
    ((b' 1 ',), True),
    ((b'0',), False),
    ((b'',), False),
    ((b'true',), False),
    ((b'01',), False),
    ((b'1.0',), False),
    ((b'10',), False),
    ((b'1', b'1'), True),
    ((b'0', b'1'), True),
    ((b'1', b'0'), True),
    ((b'0, 1',), True),
    ((b'0', b'true'), False),
)


class DrainingHeaderTest(testtools.TestCase):
    """Only the value 1 says so, and once is enough."""

    def test_values(self) -> None:
        """Other values say nothing; of repeated headers, one is enough."""
        for fields, is_draining in VALUES:
            for name in (b'Server-Leaving', b'server-leaving'):
                pairs = [(name, field) for field in fields]
                head = messages.AnswerHead(200, messages.Headers(pairs))
                decoded_head = dialect.HeaderDialect().decode_head(CALL, head)
                self.assertIs(
                    is_draining, decoded_head.notice.is_draining, fields
                )

    def test_any_status(self) -> None:
        """The header counts with any status and verdict."""
        headers = messages.Headers([(b'Server-Leaving', b'1')])
        for status in (200, 400, 404, 421, 429, 500, 502, 503):
            head = messages.AnswerHead(status, headers)
            decoded_head = dialect.HeaderDialect().decode_head(CALL, head)
            self.assertTrue(decoded_head.notice.is_draining, status)
