"""Tests of the types of values with units."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass.ini import values

_VALID = [
    (values.DURATION, '250ms', 0.25),
    (values.DURATION, '4s', 4),
    (values.DURATION, '2min', 120),
    (values.DURATION, '1.5h', 5400),
    (values.SIZE, '64MB', 64_000_000),
    (values.SIZE, '1KiB', 1024),
    (values.RATE, '100MB/s', 100_000_000),
    (values.PERCENTAGE, '25%', 0.25),
    (values.PERCENTAGE, '100%', 1),
    (values.BOOLEAN, 'yes', True),
    (values.BOOLEAN, 'false', False),
    (values.COUNT, '0', 0),
    (values.ADDRESS, '127.0.0.1:80', values.Address('127.0.0.1', 80)),
    (values.ADDRESS, '[::1]:80', values.Address('::1', 80)),
    (values.NAME, 'a.b-c_1', 'a.b-c_1'),
    (values.SHA256, 'ab' * 32, 'ab' * 32),
]
_INVALID = [
    (values.DURATION, ('', '4', '4 seconds', '-4s', '4S', 's', '1e3s', '4s\n')),
    (values.SIZE, ('64', '64mb', '64MB/s', 'MB', '١MB')),
    (values.RATE, ('64MB', '64MB/min')),
    (values.PERCENTAGE, ('0%', '101%', '0.25', '25')),
    (values.BOOLEAN, ('', 'Yes', '1', 'maybe')),
    (values.COUNT, ('-1', '1.0', '', '²', '9' * 5000)),
    (values.POSITIVE, ('0',)),
    (
        values.ADDRESS,
        ('localhost:80', '127.0.0.1', '127.0.0.1:', ':80', '::1:80')
        + ('127.0.0.1:65536', '[127.0.0.1]:80', '127.0.0.1:x', '1.2.3:4'),
    ),
    (values.NAME, ('', '-a', 'a b', 'a/b', 'a' * 101, 'é')),
    (values.SHA256, ('ab' * 31, 'AB' * 32, 'xy' * 32, 'ab' * 32 + '\n')),
]


class ValuesTest(testtools.TestCase):
    """Values are parsed with their units or rejected."""

    def test_valid(self) -> None:
        """Each notation gives the expected value."""
        for value_type, text, expected in _VALID:
            self.assertEqual(expected, value_type.parse(text), text)

    def test_invalid(self) -> None:
        """Missing and wrong units and notations are rejected."""
        for value_type, texts in _INVALID:
            for text in texts:
                with self.subTest(type=value_type.name, text=text):
                    self.assertRaises(ValueError, value_type.parse, text)

    def test_address_text(self) -> None:
        """An address is formatted in the notation in which it is parsed."""
        for text in ('127.0.0.1:80', '[::1]:80'):
            self.assertEqual(text, str(values.parse_address(text)))

    @given(st.text(max_size=30), st.sampled_from(_INVALID))
    def test_any_text(
        self, text: str, row: tuple[values.ValueType, ...]
    ) -> None:
        """Any text is parsed or rejected with ValueError."""
        try:
            row[0].parse(text)
        except ValueError:
            return
        self.assertNotEqual('', text)
