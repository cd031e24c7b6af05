"""Tests of splitting a stream into events."""

from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from clementinepass.direct import events


def stream(first: int, count: int) -> bytes:
    """Return events with ids from ``first`` on."""
    return b''.join(
        b'id: %d\ndata: token %d\n\n' % (number, number)
        for number in range(first, first + count)
    )


class EventSplitterTest(testtools.TestCase):
    """Only complete events are yielded, each once and in order."""

    @given(st.integers(1, 20), st.lists(st.integers(1, 30), max_size=40))
    def test_any_split(self, count: int, cuts: list[int]) -> None:
        """The events do not depend on how the bytes are split."""
        payload = stream(0, count)
        splitter = events.EventSplitter(None)
        found_events = []
        for cut in cuts:
            found_events.extend(splitter.feed(payload[:cut]))
            payload = payload[cut:]
        found_events.extend(splitter.feed(payload))
        self.assertEqual(
            stream(0, count),
            b''.join(event.payload for event in found_events),
        )
        self.assertEqual(count - 1, splitter.last_id)
        self.assertFalse(splitter.has_partial_event)

    def test_crash_within_event(self) -> None:
        """An incomplete event of a crashed endpoint is not forwarded.

        Half of an event was forwarded before the stream was resumed, so that the
        caller received a broken event followed by the same event again.
        """
        splitter = events.EventSplitter(None)
        found = list(splitter.feed(stream(0, 2) + b'id: 2\ndata: tok'))
        self.assertEqual([0, 1], [event.id for event in found])
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(1, splitter.last_id)

    def test_missing_and_repeated_events(self) -> None:
        """Missing or repeated events raise an error."""
        for following in (2, 0, 5):
            splitter = events.EventSplitter(None)
            list(splitter.feed(stream(0, 1)))
            with testtools.ExpectedException(events.StreamBrokenError):
                list(splitter.feed(stream(following, 1)))

    def test_comments(self) -> None:
        """Comments before the first event do not show that there is one."""
        splitter = events.EventSplitter(None)
        self.assertEqual([], list(splitter.feed(b': a\n\n')))
        (event, comment) = splitter.feed(stream(0, 1) + b': b\n\n')
        self.assertEqual(b': a\n\n' + stream(0, 1), event.payload)
        self.assertEqual((b': b\n\n', None), comment[:2])
        self.assertEqual([1], [one.id for one in splitter.feed(stream(1, 1))])

    def test_endless_comments(self) -> None:
        """Comments without an event kept the process busy without end."""
        splitter = events.EventSplitter(None)
        with testtools.ExpectedException(events.StreamBrokenError):
            for _ in range(100):
                list(splitter.feed(b': a\n\n' * 1000))

    def test_comments_between_events(self) -> None:
        """A long stream may have many comments."""
        splitter = events.EventSplitter(None)
        for number in range(100):
            list(splitter.feed(b': a\n\n' * 1000 + stream(number, 1)))
        self.assertEqual(99, splitter.last_id)

    def test_event_before_gap(self) -> None:
        """An event before a gap in the same read is yielded.

        It was lost: it counted as forwarded when the gap was found, and the
        stream was resumed after it.
        """
        splitter = events.EventSplitter(None)
        found = []
        with testtools.ExpectedException(events.StreamBrokenError):
            for event in splitter.feed(stream(0, 1) + stream(2, 1)):
                found.append(event.id)
        self.assertEqual(([0], 0), (found, splitter.last_id))

    def test_resumed(self) -> None:
        """A resumed stream must continue with the next event."""
        splitter = events.EventSplitter(7)
        self.assertEqual(
            [8], [event.id for event in splitter.feed(stream(8, 1))]
        )
        other = events.EventSplitter(7)
        with testtools.ExpectedException(events.StreamBrokenError):
            list(other.feed(stream(7, 1)))

    def test_line_endings(self) -> None:
        """Lines may end with LF or CRLF."""
        splitter = events.EventSplitter(None)
        found = splitter.feed(b'id: 0\r\ndata: a\r\n\r\n')
        self.assertEqual([0], [event.id for event in found])
