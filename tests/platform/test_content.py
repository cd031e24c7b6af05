"""Tests of the adapters of the weight store and the origin."""

from __future__ import annotations

import testtools

from clementinepass import errors
from clementinepass.platform import origin, transport, weight_store
from standins import limits, memory
from standins import origin as origin_standin
from standins import weight_store as store_standin
from tests import serving, tables

_QUICK = transport.Limits(read_timeout=3, answer_bytes=100_000)
_DIGEST = 'ab' * 32


class ContentContract:
    """Contract of all services that serve content by digest.

    It is mixed into a test case that defines ``fetch``, ``put`` and methods
    that inject faults.
    """

    def test_fetch(self):
        """Content is returned unchanged."""
        content = bytes(range(256)) * 300
        self.put(_DIGEST, content)
        self.assertEqual(content, self.fetch(_DIGEST))

    def test_empty(self):
        """Empty content can be stored and fetched."""
        self.put(_DIGEST, b'')
        self.assertEqual(b'', self.fetch(_DIGEST))

    def test_missing(self):
        """Missing content is distinguished from an outage."""
        self.assertRaises(errors.ContentMissingError, self.fetch, _DIGEST)

    def test_throttled(self):
        """Above the rate limit, the error says how long to wait."""
        self.put(_DIGEST, b'a')
        self.throttle()
        error = self.assertRaises(errors.ThrottledError, self.fetch, _DIGEST)
        self.assertGreater(error.retry_after, 0)
        self.assertEqual(b'a', self.fetch(_DIGEST))

    def test_outage(self):
        """Calls fail during an outage and succeed after it."""
        self.put(_DIGEST, b'a')
        self.outage(on=True)
        self.assertRaises(errors.PlatformUnavailableError, self.fetch, _DIGEST)
        self.outage(on=False)
        self.assertEqual(b'a', self.fetch(_DIGEST))

    def test_corrupted(self):
        """Corrupt content is returned as received; the caller verifies it."""
        self.put(_DIGEST, b'abc')
        self.corrupt()
        self.assertNotEqual(b'abc', self.fetch(_DIGEST))
        self.assertEqual(b'abc', self.fetch(_DIGEST))


class MemoryContract(ContentContract):
    """Fault injection into the in-memory fakes."""

    def outage(self, on):
        self.fake.outage = on

    def throttle(self):
        self.fake.throttled = 1

    def corrupt(self):
        self.fake.corrupt = 1


class MemoryStoreTest(MemoryContract, testtools.TestCase):
    """The in-memory weight store fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.fake = memory.MemoryWeightStore()
        self.put = self.fake.put
        self.fetch = self.fake.manifest


class MemoryOriginTest(MemoryContract, testtools.TestCase):
    """The in-memory origin fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.fake = memory.MemoryOrigin()
        self.put = self.fake.put
        self.fetch = self.fake.chunk


@tables.expand
class HttpContract(ContentContract):
    """Fault injection into the stand-ins, and faults of HTTP exchanges."""

    def outage(self, on):
        serving.order(self.address, outage=on)

    def throttle(self):
        self.inject_fault(serving.fault('status', status=429, seconds=1))

    def corrupt(self):
        self.inject_fault(serving.fault('corrupt'))

    def inject_fault(self, fault):
        serving.order(self.address, faults=(fault,))

    def put(self, digest, content):
        path = f'{self.path}/{digest}'
        serving.control(self.address, path, content, method='PUT')

    @tables.cases(
        dropped=serving.fault('drop_before'),
        answer_lost=serving.fault('drop_after'),
        silent=serving.fault('silence_before', seconds=5),
        truncated=serving.fault('truncate'),
        stalled=serving.fault('stall', seconds=5),
        wrong_length=serving.fault('wrong_length'),
    )
    def test_truncation(self, fault):
        """Truncated content is never returned as complete."""
        self.put(_DIGEST, b'a' * 50_000)
        self.inject_fault(fault)
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.fetch, _DIGEST
        )
        self.assertEqual(self.address, error.peer)

    def test_oversized(self):
        """Content above the size limit is rejected before it is buffered."""
        self.put(_DIGEST, b'a' * 100_001)
        self.assertRaises(errors.MalformedMessageError, self.fetch, _DIGEST)


class HttpStoreTest(HttpContract, testtools.TestCase):
    """The weight store's adapter and stand-in fulfil the contract."""

    path = '/v1/manifests'

    def setUp(self):
        super().setUp()
        handlers = store_standin.ManifestHandlers(limits.RateLimit(0))
        self.address = serving.serve(self, handlers.application())
        store = weight_store.HttpWeightStore(self.address, _QUICK)
        self.addCleanup(store.close)
        self.fetch = store.manifest


class HttpOriginTest(HttpContract, testtools.TestCase):
    """The origin's adapter and stand-in fulfil the contract."""

    path = '/v1/chunks'

    def setUp(self):
        super().setUp()
        handlers = origin_standin.ChunkHandlers(limits.Link(0))
        self.address = serving.serve(self, handlers.application())
        http_origin = origin.HttpOrigin(self.address, _QUICK)
        self.addCleanup(http_origin.close)
        self.fetch = http_origin.chunk

    def test_truncated_chunk(self):
        """The connection is lost after a part of a chunk has arrived."""
        self.put(_DIGEST, b'a' * 50_000)
        self.inject_fault(serving.fault('truncate', parts=1))
        self.assertRaises(errors.PlatformUnavailableError, self.fetch, _DIGEST)
