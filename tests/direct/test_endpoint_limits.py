"""Tests of limits that entries share."""

from __future__ import annotations

import testtools

from clementinepass.direct import endpoint_limits, endpoints

IPS = tuple(f'10.0.0.{number}' for number in range(9))
ID = 'i-1'
#: Seconds from a change until each entry knows of it and uses its share.
SETTLED = 2.0


class Entry:
    """The limits at one entry."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.known = endpoints.Endpoints()
        self.limits = endpoint_limits.EndpointLimits(ip, self.known)
        self.sharing: tuple[str, ...] = IPS
        self.limits.sharing_entries = lambda: self.sharing
        self.list(1)

    def list(self, started_ms: int, endpoint_id: str = ID) -> None:
        """Apply the record of a start of the endpoint."""
        weights = endpoints.Weights(0, 0, 0)
        self.known.apply_listing(
            endpoints.Listing(
                endpoint_id,
                'desk',
                '10.1.0.1:80',
                'a',
                6,
                draining=False,
                heartbeat=1,
                weights=weights,
                started_ms=started_ms,
            )
        )

    @property
    def endpoint(self) -> endpoints.Endpoint:
        """Return the endpoint."""
        found = self.known.get(ID)
        assert found is not None
        return found

    def answer(self, rate: float | None, sent_at: float, now: float) -> bool:
        """Apply an answer; return whether it changed the limit."""
        return self.limits.record_answer(self.endpoint, rate, sent_at, now)

    def send(self, now: float) -> int:
        """Send as much as is allowed, and return how much that is."""
        self.limits.update_shares(now)
        sent = 0
        while sent < 100 and self.endpoint.admits(now):
            self.endpoint.start_request(now)
            sent += 1
        return sent


def exchange(entries: list[Entry], now: float, *, full: bool = False) -> None:
    """Let all entries report to one another."""
    reports = [entry.limits.report(now, full=full) for entry in entries]
    for entry in entries:
        for report in reports:
            entry.limits.apply(report, now)


def play(entries: list[Entry], start: float, seconds: float) -> list[float]:
    """Let entries send as much as they may; return the times of arrival."""
    times: list[float] = []
    for step in range(int(seconds * 20)):
        now = start + step / 20
        for entry in entries:
            times.extend([now] * entry.send(now))
    return times


def most_in_span(times: list[float]) -> int:
    """Return the most arrivals in 4 s."""
    return max(
        sum(start <= time < start + 4 for time in times) for start in times
    )


class SharedLimitTest(testtools.TestCase):
    """All entries together keep to the limit."""

    def test_told_by_one(self) -> None:
        """All keep to a limit of which an answer told one of them."""
        for rate in (0.5, 1, 1.2, 4, 30):
            entries = [Entry(ip) for ip in IPS]
            entries[0].answer(rate, 0, 0.1)
            exchange(entries, 0.1)
            times = play(entries, 0.1, 40)
            self.assertLessEqual(most_in_span(times), 1.5 * rate * 4 + 5)
            self.assertGreaterEqual(len(times), 0.6 * rate * 40)

    def test_each_told(self) -> None:
        """Nothing more is sent if answers tell all entries."""
        entries = [Entry(ip) for ip in IPS]
        for number, entry in enumerate(entries):
            entry.answer(1, 0, 0.1 + number / 10)
        self.assertLessEqual(most_in_span(play(entries, 1, 30)), 11)

    def test_members_change(self) -> None:
        """Entries that come and go do not add to what is sent."""
        entries = [Entry(ip) for ip in IPS]
        entries[0].answer(1, 0, 0.1)
        exchange(entries, 0.1)
        times = []
        for step in range(20):
            # The news reaches half of the entries half a second later.
            left = IPS[step % len(IPS)]
            sharing = tuple(ip for ip in IPS if ip != left)
            for entry in entries[::2]:
                entry.sharing = sharing
            start = 1 + 3 * step
            active = [entry for entry in entries if entry.ip != left]
            times.extend(play(active, start, 0.5))
            for entry in entries[1::2]:
                entry.sharing = sharing
            times.extend(play(active, start + 0.5, 2.5))
        self.assertLessEqual(most_in_span(times), 11)
        self.assertGreater(len(times), 20)

    def test_later_start(self) -> None:
        """An entry that starts later learns of the limit by full heartbeats."""
        entries = [Entry(ip) for ip in IPS]
        for entry in entries[:-1]:
            entry.answer(1, 0, 0.1)
        exchange(entries, 60)
        self.assertFalse(entries[-1].endpoint.rate_limit.is_named)
        exchange(entries, 60, full=True)
        self.assertEqual(1, entries[-1].endpoint.rate_limit.rate)


class ManyLimitsTest(testtools.TestCase):
    """More endpoints name limits than a heartbeat carries."""

    def test_take_turns(self) -> None:
        """Entries that start later never heard of most of them."""
        entry = Entry(IPS[0])
        ids = {f'i-{number}' for number in range(100)}
        for endpoint_id in ids:
            entry.list(1, endpoint_id)
            found = entry.known.get(endpoint_id)
            assert found is not None
            entry.limits.record_answer(found, 2, 0.5, 1)
        reported = set()
        for now in (10, 12, 14, 16):
            report = entry.limits.report(now, full=True)
            self.assertLessEqual(len(report), 32)
            reported.update(limit.endpoint_id for limit in report)
        self.assertEqual(ids, reported)


class ChangeTest(testtools.TestCase):
    """Changes of a limit, and its end, reach all entries."""

    def test_lower(self) -> None:
        """A lower limit is applied everywhere."""
        entries = [Entry(ip) for ip in IPS]
        entries[0].answer(10, 0, 0.1)
        exchange(entries, 0.1)
        entries[3].answer(1, 5, 5.1)
        exchange(entries, 5.1)
        self.assertLessEqual(most_in_span(play(entries, 6, 20)), 11)

    def test_end(self) -> None:
        """All entries use an endpoint again whose limit has ended."""
        entries = [Entry(ip) for ip in IPS]
        entries[0].answer(1, 0, 0.1)
        exchange(entries, 0.1)
        self.assertTrue(entries[4].answer(None, 5, 5.1))
        exchange(entries, 5.1)
        for entry in entries:
            self.assertFalse(entry.endpoint.rate_limit.is_named)
            self.assertTrue(entry.endpoint.admits(5.2))

    def test_old_news(self) -> None:
        """An entry that missed the end does not bring the limit back."""
        first, second = Entry(IPS[0]), Entry(IPS[1])
        first.answer(1, 0, 0.1)
        exchange([first, second], 0.1)
        first.answer(None, 5, 5.1)
        first.limits.apply(second.limits.report(5.2, full=True), 5.2)
        self.assertFalse(first.endpoint.rate_limit.is_named)

    def test_restart(self) -> None:
        """The limit of an earlier start holds nobody back."""
        first, second = Entry(IPS[0]), Entry(IPS[1])
        first.answer(1, 0, 0.1)
        second.list(2)
        exchange([first, second], 0.2)
        self.assertFalse(second.endpoint.rate_limit.is_named)
        first.list(2)
        self.assertFalse(first.endpoint.rate_limit.is_named)
        first.limits.update_shares(5)
        self.assertEqual((), first.limits.report(5, full=True))

    def test_all_leave(self) -> None:
        """Without other entries the last one has the whole limit."""
        entry = Entry(IPS[0])
        entry.answer(2, 0, 0.1)
        entry.sharing = (IPS[0],)
        entry.limits.update_shares(1)
        self.assertEqual(2, entry.endpoint.rate_limit.share)
