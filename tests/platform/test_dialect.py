"""Tests of the headers of callers and endpoints."""

from __future__ import annotations

import testtools

from clementinepass.http import messages
from clementinepass.platform import dialect
from tests import tables


def decode_part_ids(field: bytes | None) -> frozenset[bytes]:
    """Return the ids of shared prompt parts of a request with a header."""
    pairs = [(b'X-Attempt-Id', b'r-1')]
    if field is not None:
        pairs.append((b'X-Prompt-Prefix', field))
    request = messages.Request(
        b'POST', b'/a', messages.Headers(pairs), b'', received_at=0
    )
    return dialect.HeaderDialect().decode_request(request).prompt_part_ids


@tables.expand
class PromptPartsTest(testtools.TestCase):
    """Parts of prompts are read, and bad ones do not reject the request."""

    @tables.cases(
        absent=(None, set()),
        empty=(b'', set()),
        only_last=(b'ab:3', set()),
        usual=(b'5c1e:800,91bd:410,e440:250', {b'5c1e', b'91bd'}),
        spaces_and_case=(b' 5C1E:800 , 91bd:4,e4:2', {b'5c1e', b'91bd'}),
        same_twice=(b'ab:3,ab:3,cd:1', {b'ab'}),
        last_in_the_middle=(b'ab:3,cd:1,cd:1', {b'ab', b'cd'}),
        no_colon=(b'ab,cd,ef', {b'ab', b'cd'}),
        no_number=(b'ab:x,cd:,ef:1', {b'ab', b'cd'}),
        no_id=(b':3,,ab:2,cd:1', {b'ab'}),
        long_id=(b'a' * 1_000_000 + b':1,cd:1', {b'a' * 1_000_000}),
    )
    def test_shared_parts(self, case: tuple[bytes | None, set[bytes]]) -> None:
        """The last part belongs to the request itself."""
        field, ids = case
        self.assertEqual(ids, decode_part_ids(field))

    def test_many_parts(self) -> None:
        """The part that crashes endpoints may stand behind very many."""
        ids = [b'%d' % number for number in range(10_000)]
        field = b','.join(b'%b:1' % part_id for part_id in ids)
        self.assertEqual(set(ids[:-1]), decode_part_ids(field))
