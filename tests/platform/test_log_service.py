"""Tests of the log service's contract and of its adapter under faults."""

from __future__ import annotations

import msgspec
import testtools

from clementinepass import errors
from clementinepass.platform import log_service, transport
from standins import limits, memory
from standins import log_service as standin
from tests import serving, tables
from tests.platform import log_contract

_QUICK = transport.Limits(read_timeout=3, answer_bytes=2000)


class MemoryLogTest(log_contract.LogContract, testtools.TestCase):
    """The in-memory fake fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.log = memory.MemoryLogService()
        self.expire = self.log.expire

    def outage(self, on):
        self.log.outage = on

    def lose_answer(self):
        self.log.lost_answers = 1

    def lose_append(self):
        self.log.lost_appends = 1

    def throttle(self):
        self.log.throttled = 1


class HttpLogTest(log_contract.LogContract, testtools.TestCase):
    """The adapter and the stand-in together fulfil the contract."""

    def setUp(self):
        super().setUp()
        handlers = standin.LogHandlers(
            standin.LogStore(),
            limits.RateLimit(0),
        )
        self.address = serving.serve(self, handlers.application())
        self.log = log_service.HttpLogService(self.address)
        self.addCleanup(self.log.close)

    def expire(self, stream, oldest):
        body = msgspec.json.encode(standin.RetentionBody(stream, oldest))
        serving.control(self.address, '/control/retention', body)

    def outage(self, on):
        serving.order(self.address, outage=on)

    def lose_answer(self):
        self.inject_fault('drop_after')

    def lose_append(self):
        self.inject_fault('drop_before')

    def throttle(self):
        self.inject_fault('status', status=429, seconds=1)

    def inject_fault(self, kind, **details):
        fault = serving.fault(kind, method='POST', **details)
        serving.order(self.address, faults=(fault,))


def _page(**changes):
    page = {'oldest': 0, 'next_offset': 1, 'end': 1}
    page['records'] = [{'offset': 0, 'payload': 'YQ=='}]
    return msgspec.json.encode({**page, **changes}).decode()


@tables.expand
class ReadFaultTest(testtools.TestCase):
    """A read that meets a fault raises the error for that kind of fault."""

    def setUp(self):
        super().setUp()
        handlers = standin.LogHandlers(
            standin.LogStore(),
            limits.RateLimit(0),
        )
        self.address = serving.serve(self, handlers.application())
        self.log = log_service.HttpLogService(self.address, _QUICK)
        self.addCleanup(self.log.close)
        self.log.append('s', [b'a'])

    @tables.cases(
        status=serving.fault('status', status=500),
        dropped=serving.fault('drop_before'),
        answer_lost=serving.fault('drop_after'),
        silent=serving.fault('silence_before', seconds=5),
        silent_answer=serving.fault('silence_after', seconds=5),
        truncated=serving.fault('truncate'),
        stalled=serving.fault('stall', seconds=5),
        wrong_length=serving.fault('wrong_length'),
    )
    def test_unavailable(self, fault):
        """Without a complete answer, the service counts as unavailable."""
        serving.order(self.address, faults=(fault,))
        error = self.assertRaises(
            errors.PlatformUnavailableError, self.log.read, 's', 0
        )
        self.assertEqual(('read', self.address), (error.step, error.peer))
        self.assertTrue(error.sent)
        serving.order(self.address, clear=True)
        self.assertEqual(1, self.log.read('s', 0).end)

    @tables.cases(
        no_json='{',
        null='null',
        empty='',
        other_shape='[]',
        missing_field='{"oldest":0}',
        unknown_field=_page(colour='red'),
        wrong_type=_page(end='1'),
        no_base64=_page(records=[{'offset': 0, 'payload': '*'}]),
        gap=_page(records=[{'offset': 1, 'payload': ''}]),
        next_offset_ahead=_page(next_offset=2),
        end_before_record=_page(end=0),
        oldest_after_end=_page(oldest=2),
        oldest_after_record=_page(oldest=1, end=3),
        oversized=_page(records=[{'offset': 0, 'payload': 'YWFh' * 900}]),
        deeply_nested='[' * 1900,
    )
    def test_malformed(self, body):
        """An answer that violates the protocol is rejected."""
        fault = serving.fault('replace', body=body, calls=0)
        serving.order(self.address, faults=(fault,))
        error = self.assertRaises(
            errors.MalformedMessageError, self.log.read, 's', 0
        )
        self.assertEqual(('read', self.address), (error.step, error.peer))

    @tables.cases(
        too_few='{"offsets":[]}',
        too_many='{"offsets":[1,2]}',
        negative='{"offsets":[-1]}',
        no_number='{"offsets":["1"]}',
    )
    def test_malformed_append(self, body):
        """Offsets that do not match the appended records are rejected."""
        fault = serving.fault('replace', body=body)
        serving.order(self.address, faults=(fault,))
        self.assertRaises(
            errors.MalformedMessageError, self.log.append, 's', [b'b']
        )

    def test_refused(self):
        """If the connection is refused, the error says that nothing was sent."""
        log = log_service.HttpLogService(serving.closed_address())
        error = self.assertRaises(
            errors.PlatformUnavailableError, log.append, 's', [b'a']
        )
        self.assertFalse(error.sent)

    def test_page_too_long(self):
        """A page that exceeds the size limit is read in smaller pages.

        Otherwise, a reader that reaches many large records would fail on the
        same page forever.
        """
        self.log.append('s', [b'a' * 300] * 9)
        position = 0
        while position < 10:
            page = self.log.read('s', position, limit=100)
            self.assertTrue(page.records)
            position = page.next_offset
        self.log.append('s', [b'a' * 2000])
        self.assertRaises(
            errors.MessageTooLongError, self.log.read, 's', position
        )

    def test_expired_without_progress(self):
        """A 410 whose oldest offset is not above the requested one is malformed.

        A reader that restarts at that offset would loop forever.
        """
        self.log.append('s', [b'b'])
        body = msgspec.json.encode(standin.RetentionBody('s', 1))
        serving.control(self.address, '/control/retention', body)
        fault = serving.fault('replace', body='{"oldest":0}')
        serving.order(self.address, faults=(fault,))
        self.assertRaises(errors.MalformedMessageError, self.log.read, 's', 0)
