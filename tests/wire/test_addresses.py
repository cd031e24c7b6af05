"""Tests of the parsing and formatting of addresses."""

from __future__ import annotations

import testtools

from clementinepass import errors
from clementinepass.wire import addresses
from tests import tables


@tables.expand
class AddressTest(testtools.TestCase):
    """An address consists of an IP address and a nonzero port."""

    @tables.cases(
        version_4='127.0.0.1:7001',
        version_6='[::1]:65535',
    )
    def test_round_trip(self, text):
        """Formatting a parsed address returns the original text."""
        self.assertEqual(text, str(addresses.Address.from_text(text)))

    @tables.cases(
        empty='',
        name='localhost:1',
        no_port='127.0.0.1',
        zero='127.0.0.1:0',
        too_large='127.0.0.1:65536',
        negative='127.0.0.1:-1',
        blank='127.0.0.1: 1',
        other_digits='127.0.0.1:7\uff11',
        bare_version_6='::1:80',
        half_a_bracket='[::1:80',
        bracketed_version_4='[127.0.0.1]:80',
    )
    def test_malformed(self, text):
        """Parsing any other text raises an error."""
        self.assertRaises(
            errors.MalformedMessageError, addresses.Address.from_text, text
        )
