"""Tests of the frames of an answer: order, resumption, truncation."""

from __future__ import annotations

import testtools
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from clementinepass import errors
from clementinepass.requests import streams

END = streams.FrameKind.END
STEPS = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)


def _whole(*parts: bytes, attempt: int = 1) -> tuple[streams.Frame, ...]:
    buffer = streams.StreamBuffer('r1', attempt)
    buffer.head(200, 'text/event-stream')
    for part in parts:
        buffer.part(part)
    buffer.end()
    return buffer.since(0)


class StreamMachine(stateful.RuleBasedStateMachine):
    """A sender and a receiver with a network that does what it likes.

    Frames are doubled, reordered, lost and mixed with those of an older
    attempt; the receiver resumes when it likes.  What it passes on is the
    beginning of what was sent, and it is the whole once it says so.
    """

    def __init__(self) -> None:
        super().__init__()
        self.buffer = streams.StreamBuffer('r1', 2, limit=64)
        self.reassembly = streams.Reassembly('r1', 2)
        self.buffer.head(200, 'text/plain')
        self.sent = b''
        self.relayed: list[streams.Frame] = []
        self.network: list[streams.Frame] = list(_whole(b'old', attempt=1))

    @stateful.precondition(lambda machine: not machine.buffer.closed)
    @stateful.rule(part=strategies.binary(min_size=1, max_size=20))
    def produce(self, part: bytes) -> None:
        """The endpoint says a little more."""
        self.buffer.part(part)
        if not self.buffer.closed:
            self.sent += part

    @stateful.rule()
    def finish(self) -> None:
        """The endpoint ends its answer."""
        self.buffer.end()

    @stateful.rule()
    def resume(self) -> None:
        """The receiver asks for what it lacks, over a new connection."""
        self.network.extend(self.buffer.since(self.reassembly.next))

    @stateful.rule()
    def confirm(self) -> None:
        """The sender learns what the receiver has."""
        self.buffer.acknowledge(self.reassembly.next)

    @stateful.precondition(lambda machine: machine.network)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def deliver(self, data: strategies.DataObject, keep: bool) -> None:
        """Any frame under way arrives, and may arrive again."""
        position = data.draw(
            strategies.integers(0, len(self.network) - 1),
        )
        frame = self.network[position]
        if not keep:
            del self.network[position]
        if self.reassembly.accept(frame) is streams.Arrival.TAKEN:
            self.relayed.append(frame)

    @stateful.precondition(lambda machine: machine.network)
    @stateful.rule()
    def lose(self) -> None:
        """Everything under way is lost."""
        self.network.clear()

    @stateful.invariant()
    def relayed_is_a_beginning(self) -> None:
        """Nothing is missing, doubled, crossed or foreign."""
        body = streams.parts(self.relayed)
        assert self.sent.startswith(body), (self.sent, body)
        if self.reassembly.state is streams.StreamState.COMPLETE:
            assert body == self.sent
            assert not self.buffer.overflowed

    def teardown(self) -> None:
        """With a working network, the receiver gets to the sender's end."""
        self.buffer.end()
        for frame in self.buffer.since(self.reassembly.next):
            if self.reassembly.accept(frame) is streams.Arrival.TAKEN:
                self.relayed.append(frame)
        expected = streams.StreamState.COMPLETE
        if self.buffer.overflowed:
            expected = streams.StreamState.FAILED
        assert self.reassembly.state is expected
        self.relayed_is_a_beginning()


StreamMachineTest = StreamMachine.TestCase
StreamMachineTest.settings = STEPS


class ReassemblyTest(testtools.TestCase):
    """Frames that don't belong never reach a caller."""

    def test_strange_frames(self) -> None:
        """Each kind of stray frame is dropped and named."""
        head, first, second, end = _whole(b'a', b'b')
        stories = (
            ('gap', [head, second], streams.Arrival.GAP),
            ('doubled', [head, first, first], streams.Arrival.LATE),
            ('after the end', [head, first, second, end, end], 'late'),
            ('older attempt', [_whole(b'x', attempt=0)[0]], 'foreign'),
            ('a part before the head', [_headless()], 'contradiction'),
            ('wrong total', [head, first, _end(2, 7)], 'contradiction'),
        )
        for story, frames, expected in stories:
            with self.subTest(story):
                reassembly = streams.Reassembly('r1', 1)
                arrivals = [reassembly.accept(frame) for frame in frames]
                self.assertEqual(
                    streams.Arrival(expected),
                    arrivals[-1],
                )

    def test_wrong_total_shows_as_truncated(self) -> None:
        """An answer that lost bytes on the way never passes for whole."""
        head, first, _ = _whole(b'a')
        reassembly = streams.Reassembly('r1', 1)
        for frame in (head, first, _end(2, 9)):
            reassembly.accept(frame)
        self.assertEqual(streams.StreamState.TRUNCATED, reassembly.state)

    def test_cut(self) -> None:
        """Giving up an open answer marks it; a whole one stays whole."""
        frames = _whole(b'a')
        for count, expected in ((2, 'truncated'), (3, 'complete')):
            reassembly = streams.Reassembly('r1', 1)
            for frame in frames[:count]:
                reassembly.accept(frame)
            reassembly.cut()
            self.assertEqual(expected, reassembly.state.value)


class StreamBufferTest(testtools.TestCase):
    """A slow receiver costs its own answer and not the sender's memory."""

    def test_overflow_is_seen_as_a_failure(self) -> None:
        """A caller reads nothing for a while.

        Frames pile up to the limit; the stream fails, the endpoint is
        cancelled.  What is kept still comes, then the failure, no gap.
        """
        buffer = streams.StreamBuffer('r1', 1, limit=10)
        buffer.head(200, '')
        for _ in range(5):
            buffer.part(b'1234')
        self.assertTrue(buffer.overflowed)
        reassembly = streams.Reassembly('r1', 1)
        frames = buffer.since(0)
        arrivals = {reassembly.accept(frame) for frame in frames}
        self.assertEqual({streams.Arrival.TAKEN}, arrivals)
        self.assertEqual(streams.StreamState.FAILED, reassembly.state)
        self.assertEqual(b'12341234', streams.parts(frames))
        self.assertEqual(
            'the receiver is too slow',
            frames[-1].failure().detail,
        )

    def test_confirmed_frames_are_gone(self) -> None:
        """Resuming from what was confirmed is an error, never a gap."""
        buffer = streams.StreamBuffer('r1', 1)
        buffer.head(200, '')
        buffer.part(b'a')
        buffer.acknowledge(1)
        for sequence in (0, 3):
            self.assertRaises(
                errors.StreamLostError,
                buffer.since,
                sequence,
            )
        self.assertEqual(1, len(buffer.since(1)))

    def test_undecodable_failure(self) -> None:
        """A failed frame of garbage is a typed error."""
        frame = streams.Frame('r1', 1, 0, streams.FrameKind.FAILED, b'?')
        self.assertRaises(errors.MalformedMessageError, frame.failure)


def _end(sequence: int, total: int) -> streams.Frame:
    return streams.Frame(
        'r1',
        1,
        sequence,
        END,
        total.to_bytes(8, 'big'),
    )


def _headless() -> streams.Frame:
    return streams.Frame('r1', 1, 0, streams.FrameKind.PART, b'a')
