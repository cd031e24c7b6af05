"""Tests of cutting a stream into events."""

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


class SplitterTest(testtools.TestCase):
    """Only whole events pass, each once and in order."""

    @given(st.integers(1, 20), st.lists(st.integers(1, 30), max_size=40))
    def test_any_cuts(self, count: int, cuts: list[int]) -> None:
        """However the bytes come, the events are the same."""
        payload = stream(0, count)
        splitter = events.EventSplitter(None)
        found = []
        for cut in cuts:
            found.extend(splitter.feed(payload[:cut]))
            payload = payload[cut:]
        found.extend(splitter.feed(payload))
        self.assertEqual(
            stream(0, count),
            b''.join(event.payload for event in found),
        )
        self.assertEqual(count - 1, splitter.last_id)
        self.assertFalse(splitter.has_partial_event)

    def test_crash_in_an_event(self) -> None:
        """An endpoint died in the middle of an event.

        A user saw an answer with a broken piece followed by the same piece
        again: half of it had been passed on before the stream was resumed.
        """
        splitter = events.EventSplitter(None)
        found = list(splitter.feed(stream(0, 2) + b'id: 2\ndata: tok'))
        self.assertEqual([0, 1], [event.id for event in found])
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(1, splitter.last_id)

    def test_gap_and_repeat(self) -> None:
        """Pieces that are missing or come twice break the stream."""
        for following in (2, 0, 5):
            splitter = events.EventSplitter(None)
            list(splitter.feed(stream(0, 1)))
            with testtools.ExpectedException(events.StreamBrokenError):
                list(splitter.feed(stream(following, 1)))

    def test_good_events_before_a_gap(self) -> None:
        """One read brought a good event and, after it, one too far on.

        The good one was lost: it counted as passed on when the gap was
        found, and the stream was resumed after it.
        """
        splitter = events.EventSplitter(None)
        found = []
        with testtools.ExpectedException(events.StreamBrokenError):
            for event in splitter.feed(stream(0, 1) + stream(2, 1)):
                found.append(event.id)
        self.assertEqual(([0], 0), (found, splitter.last_id))

    def test_resumed(self) -> None:
        """A resumed stream goes on right after the last event."""
        splitter = events.EventSplitter(7)
        self.assertEqual([8], [one.id for one in splitter.feed(stream(8, 1))])
        other = events.EventSplitter(7)
        with testtools.ExpectedException(events.StreamBrokenError):
            list(other.feed(stream(7, 1)))

    def test_other_line_ends(self) -> None:
        """Events may end their lines in two ways."""
        splitter = events.EventSplitter(None)
        found = splitter.feed(b'id: 0\r\ndata: a\r\n\r\n')
        self.assertEqual([0], [one.id for one in found])
