"""The pause of an endpoint that has turned requests away.

An endpoint that turns a request away may ask for a time without requests. When
it is over, many requests may be waiting, and other entries send theirs at the
same moment. As in the slow start of TCP, one request is sent first, and each
one that is accepted allows one more to be undecided at a time.

An endpoint that turns everything away runs nothing, so that it looks empty and
attracts requests. If it asks for no pause, it gets one after a few rejections
in a row, which grows exponentially.
"""

from __future__ import annotations

from clementinepass.decisions import first_event

#: Longest pause in seconds. An endpoint that asks for hours by mistake gets a
#: request after this time.
MAX_PAUSE_SECONDS = 60.0
#: Rejections in a row after which an endpoint is paused that asked for none. A
#: full endpoint may turn a request away between two that it accepts.
_REJECTION_THRESHOLD = 3
#: Seconds of the first such pause; doubled for each further rejection.
_FIRST_PAUSE_SECONDS = 0.1
#: Longest such pause in seconds, which limits how late it is seen that the
#: endpoint accepts requests again.
_MAX_IMPLICIT_PAUSE_SECONDS = 1.0
#: Doublings after which the longest pause is reached in any case.
_MAX_DOUBLINGS = 8
#: Accepted requests after which the endpoint is used without limits again.
_RECOVERED_WINDOW = 8
#: Seconds after which a request counts as accepted if there is no answer yet.
#: An endpoint turns requests away at once; those that it accepts may wait in
#: its queue.
_DECISION_SECONDS = 0.3
#: Share of the remaining time of a request for which it may wait for the end of
#: a pause. The rest is left for its answer.
_WAIT_SHARE = 0.5
#: Seconds that a request needs at an endpoint to the first event of its stream:
#: twice the usual time.
_FIRST_EVENT_SECONDS = 0.35
#: Shortest time in seconds after which a rejected caller may retry.
_MIN_RETRY_AFTER = 0.25


class Backoff:
    """The pause of one start of an endpoint, and its return to full use."""

    __slots__ = (
        '_is_recovering',
        '_paused_until',
        '_rejections',
        '_undecided',
        '_window',
    )

    def __init__(self) -> None:
        self._paused_until = float('-inf')
        self._is_recovering = False
        #: Rejections in a row of requests that were sent outside of a pause.
        self._rejections = 0
        #: Number of requests that may be undecided during the recovery.
        self._window = 0
        #: Monotonic times at which requests were sent that the endpoint has
        #: neither accepted nor turned away.
        self._undecided: list[float] = []

    def admits(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        if now < self._paused_until:
            return False
        if not self._is_recovering:
            return True
        recent = [
            sent_at
            for sent_at in self._undecided
            if now - sent_at < _DECISION_SECONDS
        ]
        return len(recent) < self._window

    def is_paused(self, now: float) -> bool:
        """Tell whether the endpoint has asked for no requests at present."""
        return now < self._paused_until

    def has_paused_since(self, moment: float) -> bool:
        """Tell whether a pause has begun since a request was admitted."""
        return moment < self._paused_until

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the end of the pause; 0 if it is over."""
        return max(self._paused_until - now, 0)

    def record_sent(self, now: float) -> None:
        """Record that a request is being sent."""
        if self._is_recovering:
            self._undecided.append(now)

    def start_recovery(self) -> None:
        """Return slowly to full use without a pause before."""
        self._is_recovering = True
        self._window = 1
        self._undecided.clear()

    def record_rejection(
        self, pause_seconds: float | None, sent_at: float, now: float
    ) -> None:
        """Record that the endpoint has turned a request away.

        :param pause_seconds: time for which it asked for no requests, if it
            did. An answer that would end a pause sooner changes nothing.
        :param sent_at: time at which the request was sent. Rejections of
            requests that were sent before the pause began count as one.
        """
        seconds = min(pause_seconds or 0, MAX_PAUSE_SECONDS)
        if sent_at >= self._paused_until:
            self._rejections += 1
            seconds = max(seconds, _implicit_pause(self._rejections))
        if seconds:
            self._paused_until = max(self._paused_until, now + seconds)
            self._is_recovering = True
        self._window = 1

    def record_acceptance(self, sent_at: float) -> None:
        """Record that the endpoint has accepted a request.

        Requests that were sent before the pause prove nothing.
        """
        self.record_end(sent_at)
        if sent_at < self._paused_until:
            return
        self._rejections = 0
        if not self._is_recovering:
            return
        self._window += 1
        if self._window > _RECOVERED_WINDOW:
            self._is_recovering = False
            self._undecided.clear()

    def record_end(self, sent_at: float) -> None:
        """Record the end of a request, whether or not it was decided on."""
        if sent_at in self._undecided:
            self._undecided.remove(sent_at)


def max_wait(seconds_left: float, event_wait_left: float) -> float:
    """Return the seconds for which a request may wait for an endpoint.

    :param seconds_left: seconds until the final answer is due.
    :param event_wait_left: seconds until the caller of a stream disconnects if
        it gets no event; infinite for other requests.
    """
    return min(
        seconds_left * _WAIT_SHARE, event_wait_left - _FIRST_EVENT_SECONDS
    )


def retry_after(seconds: float) -> float:
    """Return the ``Retry-After`` of a request that cannot wait for a pause.

    :param seconds: seconds until the first pause ends.
    """
    return min(max(seconds, _MIN_RETRY_AFTER), first_event.MAX_RETRY_AFTER)


def _implicit_pause(rejections: int) -> float:
    """Return the seconds of a pause for which the endpoint did not ask.

    :param rejections: number of rejections in a row.
    """
    doublings = rejections - _REJECTION_THRESHOLD
    if doublings < 0:
        return 0
    seconds = _FIRST_PAUSE_SECONDS * 2 ** min(doublings, _MAX_DOUBLINGS)
    return min(seconds, _MAX_IMPLICIT_PAUSE_SECONDS)
