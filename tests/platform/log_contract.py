"""What every log service keeps to, whoever stands behind it."""

from __future__ import annotations

import threading

from clementinepass import errors
from clementinepass.platform import protocols


class LogContract:
    """Mixed into a test case that sets ``log`` and orders its faults."""

    log: protocols.LogService

    def test_reads_what_was_appended(self):
        """Offsets grow from 0 in the order of the appends."""
        self.assertEqual((0, 1), self.log.append('s', [b'a', b'']))
        self.assertEqual((2,), self.log.append('s', [b'\xff\x00']))
        page = self.log.read('s', 0)
        self.assertEqual(
            [(0, b'a'), (1, b''), (2, b'\xff\x00')],
            [(record.offset, record.payload) for record in page.records],
        )
        self.assertEqual((0, 3, 3), (page.oldest, page.next_offset, page.end))

    def test_streams_are_apart(self):
        """A stream's offsets and records are its own, whatever its name."""
        self.log.append('a/b', [b'1'])
        self.assertEqual((0,), self.log.append('a?b', [b'2']))
        self.assertEqual(b'1', self.log.read('a/b', 0).records[0].payload)
        self.assertEqual((), self.log.read('a', 0).records)

    def test_appending_nothing(self):
        """An append of nothing has no offsets and no effect."""
        self.assertEqual((), self.log.append('s', []))
        self.assertEqual(0, self.log.read('s', 0).end)

    def test_pages(self):
        """A limit cuts a page; the next one begins where it ended."""
        self.log.append('s', [b'a', b'b', b'c'])
        page = self.log.read('s', 0, limit=2)
        self.assertEqual((2, 3), (page.next_offset, page.end))
        page = self.log.read('s', page.next_offset, limit=2)
        self.assertEqual([b'c'], [record.payload for record in page.records])

    def test_waits_for_a_record(self):
        """A read that waits returns with the record that comes meanwhile."""
        pages = []
        reader = threading.Thread(
            target=lambda: pages.append(self.log.read('s', 0, wait=30)),
        )
        reader.start()
        self.log.append('s', [b'a'])
        reader.join()
        self.assertEqual(b'a', pages[0].records[0].payload)

    def test_wait_without_a_record(self):
        """A read that waited in vain returns an empty page."""
        page = self.log.read('s', 0, wait=0.01)
        self.assertEqual((0, ()), (page.next_offset, page.records))

    def test_expired(self):
        """A reader comes back after a long absence.

        The records it asks for have expired. The error tells it the oldest
        offset that is kept, from which it can go on; the offsets of what is
        kept have not changed.
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
        """Offsets go on where they were when all records have expired."""
        self.log.append('s', [b'a', b'b'])
        self.expire('s', 2)
        page = self.log.read('s', 2)
        self.assertEqual((2, 2, ()), (page.oldest, page.end, page.records))
        self.assertEqual((2,), self.log.append('s', [b'c']))

    def test_outage(self):
        """During an outage calls fail; what was kept is there afterwards."""
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
        """An append takes effect, and its answer is lost.

        The caller learns only that it may have; reading shows the record,
        and shows it once.
        """
        self.lose_answer()
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.log.append, 's', [b'a']
        )
        self.assertTrue(error.sent)
        self.assertEqual(1, self.log.read('s', 0).end)

    def test_lost_append(self):
        """An append is lost on its way: the error is the same, not more."""
        self.lose_append()
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.log.append, 's', [b'a']
        )
        self.assertTrue(error.sent)
        self.assertEqual(0, self.log.read('s', 0).end)

    def test_throttled(self):
        """Above the rate limit nothing is appended, and the error says so."""
        self.throttle()
        error = self.assertRaises(
            errors.ThrottledError, self.log.append, 's', [b'a']
        )
        self.assertGreater(error.retry_after, 0)
        self.assertEqual(0, self.log.read('s', 0).end)
