"""Tests of the limit of requests that an endpoint names in its answers."""

from __future__ import annotations

import testtools

from clementinepass.direct import calls
from clementinepass.http import messages
from clementinepass.platform import notices

#: Values of the header, and the rate that they name.
VALID: tuple[tuple[tuple[bytes, ...], float | None], ...] = (
    ((), None),
    ((b'1.2',), 1.2),
    ((b' 3 ',), 3),
    ((b'0',), 0),
    ((b'0.01',), 0.01),
    ((b'1000000000',), 1e9),
    ((b'2', b'1'), 1),
    ((b'2, 1.5',), 1.5),
    ((b'1,5',), 1),
    ((b'2', b'many'), 2),
)
INVALID = (
    b'',
    b'-1',
    b'+1',
    b'nan',
    b'inf',
    b'1e9',
    b'1.',
    b'.5',
    b'0x1',
    b'1 2',
    b'\xd9\xa1',
    b'9' * 1000,
    b'0.' + b'1' * 1000,
)


def read(*fields: bytes, status: int = 200) -> calls.EndpointNotice:
    """Return the notice of an answer with some values of the header."""
    pairs = [(b'Server-Limit', field) for field in fields]
    head = messages.AnswerHead(status, messages.Headers(pairs))
    return notices.read_notice(calls.Verdict.SUCCESS, head)


class LimitHeaderTest(testtools.TestCase):
    """A decimal number is a limit, and the strictest of several counts."""

    def test_valid(self) -> None:
        """Decimal numbers are read."""
        for fields, rate in VALID:
            notice = read(*fields)
            self.assertEqual(rate, notice.request_rate, fields)
            self.assertFalse(notice.has_invalid_rate, fields)

    def test_invalid(self) -> None:
        """What is no decimal number names no limit, and says so."""
        for field in INVALID:
            notice = read(field)
            self.assertIsNone(notice.request_rate, field)
            self.assertTrue(notice.has_invalid_rate, field)

    def test_any_status(self) -> None:
        """Refusals and failures name the limit, too."""
        for status in (200, 404, 429, 500, 503):
            self.assertEqual(1, read(b'1', status=status).request_rate)
