"""Contract of all log services."""

from __future__ import annotations

import threading

from clementinepass import errors
from clementinepass.platform import protocols


class LogContract:
    """Tests mixed into a test case that sets ``log`` and injects faults."""

    log: protocols.LogService

    def test_append_and_read(self):
        """Offsets start at 0 and increase in the order of the appends."""
        self.assertEqual((0, 1), self.log.append('s', [b'a', b'']))
        self.assertEqual((2,), self.log.append('s', [b'\xff\x00']))
        page = self.log.read('s', 0)
        self.assertEqual(
            [(0, b'a'), (1, b''), (2, b'\xff\x00')],
            [(record.offset, record.payload) for record in page.records],
        )
        self.assertEqual((0, 3, 3), (page.oldest, page.next_offset, page.end))

    def test_separate_streams(self):
        """Each stream has offsets and records of its own."""
        self.log.append('a/b', [b'1'])
        self.assertEqual((0,), self.log.append('a?b', [b'2']))
        self.assertEqual(b'1', self.log.read('a/b', 0).records[0].payload)
        self.assertEqual((), self.log.read('a', 0).records)

    def test_empty_append(self):
        """An empty append returns no offsets and has no effect."""
        self.assertEqual((), self.log.append('s', []))
        self.assertEqual(0, self.log.read('s', 0).end)

    def test_pages(self):
        """The limit ends a page; the next page starts at its end."""
        self.log.append('s', [b'a', b'b', b'c'])
        page = self.log.read('s', 0, limit=2)
        self.assertEqual((2, 3), (page.next_offset, page.end))
        page = self.log.read('s', page.next_offset, limit=2)
        self.assertEqual([b'c'], [record.payload for record in page.records])

    def test_waits_for_a_record(self):
        """A waiting read returns a record appended meanwhile."""
        pages = []
        reader = threading.Thread(
            target=lambda: pages.append(self.log.read('s', 0, wait=30)),
        )
        reader.start()
        self.log.append('s', [b'a'])
        reader.join()
        self.assertEqual(b'a', pages[0].records[0].payload)

    def test_wait_without_a_record(self):
        """A waiting read returns an empty page after its timeout."""
        page = self.log.read('s', 0, wait=0.01)
        self.assertEqual((0, ()), (page.next_offset, page.records))

    def test_expired(self):
        """Reading expired records raises an error with the oldest offset.

        The reader can continue from there; retained records keep their
        offsets.
        """
        self.log.append('s', [b'a', b'b', b'c'])
        self.expire('s', 2)
        error = self.assertRaises(
            errors.RecordsExpiredError, self.log.read, 's', 1
        )
        self.assertEqual(2, error.oldest)
        page = self.log.read('s', error.oldest)
        self.assertEqual(2, page.records[0].offset)

    def test_all_expired(self):
        """Offsets continue from the last one after all records expired."""
        self.log.append('s', [b'a', b'b'])
        self.expire('s', 2)
        page = self.log.read('s', 2)
        self.assertEqual((2, 2, ()), (page.oldest, page.end, page.records))
        self.assertEqual((2,), self.log.append('s', [b'c']))

    def test_outage(self):
        """Calls fail during an outage; records are still there after it."""
        self.log.append('s', [b'a'])
        self.outage(on=True)
        for attempt in (
            lambda: self.log.append('s', [b'b']),
            lambda: self.log.read('s', 0),
        ):
            self.assertRaises(errors.PlatformUnavailableError, attempt)
        self.outage(on=False)
        self.assertEqual(1, self.log.read('s', 0).end)

    def test_lost_answer(self):
        """An append whose answer is lost has taken effect once.

        The error says that the append may have taken effect; reading returns
        the record once.
        """
        self.lose_answer()
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.log.append, 's', [b'a']
        )
        self.assertTrue(error.sent)
        self.assertEqual(1, self.log.read('s', 0).end)

    def test_lost_append(self):
        """An append that is lost before the service raises the same error."""
        self.lose_append()
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.log.append, 's', [b'a']
        )
        self.assertTrue(error.sent)
        self.assertEqual(0, self.log.read('s', 0).end)

    def test_throttled(self):
        """Above the rate limit, nothing is appended and an error is raised."""
        self.throttle()
        error = self.assertRaises(
            errors.ThrottledError, self.log.append, 's', [b'a']
        )
        self.assertGreater(error.retry_after, 0)
        self.assertEqual(0, self.log.read('s', 0).end)
