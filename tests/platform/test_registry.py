"""Tests of decoding endpoint and operator records of any writer."""

from __future__ import annotations

import json
import random
import typing

import msgspec
import testtools

from clementinepass import errors
from clementinepass.direct import endpoints, records
from clementinepass.platform import engine, operator, registry
from clementinepass.wire import heartbeats as wire_heartbeats

ENTRY: dict[str, typing.Any] = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'north-1',
    'version': 'v1',
    'slots': 16,
    'state': 'ready',
    'coldLeftMs': 0,
    'sequence': 4,
    'born': 1764727117000,
    'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    'layers': {'from': 0, 'target': 16, 'version': 1},
}


def entry(**changes: typing.Any) -> bytes:
    """Return a record with some fields changed; ``...`` removes a field."""
    fields = {**ENTRY, **changes}
    return json.dumps(
        {name: field for name, field in fields.items() if field is not ...},
    ).encode()


#: Records that other writers may leave: a description and the bytes.
MALFORMED = (
    ('blank', b' '),
    ('binary bytes', b'\xff\xfe\x00'),
    ('not JSON', b'ready'),
    ('truncated', entry()[:-9]),
    ('two records in one', entry() + entry()),
    ('a list', b'[]'),
    ('null', b'null'),
    ('no fields', b'{}'),
    ('deeply nested', b'{"x":' + b'[' * 99999 + b']' * 99999 + b'}'),
    ('invalid UTF-8', entry().replace(b'north-1', b'\xff\xff')),
    ('no service', entry(service=...)),
    ('an empty service', entry(service='')),
    ('a service that is a number', entry(service=3)),
    ('a very long service', entry(service='s' * 100000)),
    ('no address', entry(address=...)),
    ('an address that is a number', entry(address=80)),
    ('an address without a port', entry(address='10.0.0.1')),
    ('a host name', entry(address='host:80')),
    ('a port out of range', entry(address='10.0.0.1:99999')),
    ('port zero', entry(address='10.0.0.1:0')),
    ('an octet out of range', entry(address='10.0.0.256:80')),
    ('a port that is not a number', entry(address='10.0.0.1:8o')),
    ('the unspecified address', entry(address='0.0.0.0:80')),
    ('the broadcast address', entry(address='255.255.255.255:80')),
    ('a multicast address', entry(address='224.0.0.1:80')),
    ('IP version 6', entry(address='[::1]:80')),
    ('a URL', entry(address='http://10.0.0.1:80/')),
    ('an address with a line end', entry(address='10.0.0.1:80\r\n')),
    ('a very long address', entry(address='1' * 100000 + ':80')),
    ('no zone', entry(zone=...)),
    ('a zone that is a list', entry(zone=['north-1'])),
    ('no slots', entry(slots=...)),
    ('negative slots', entry(slots=-1)),
    ('zero slots', entry(slots=0)),
    ('slots as text', entry(slots='16')),
    ('fractional slots', entry(slots=1.5)),
    ('slots out of range', entry(slots=10**30)),
    ('no state', entry(state=...)),
    ('an unknown state', entry(state='paused')),
    ('a state that is a boolean', entry(state=True)),
    ('no heartbeat', entry(sequence=...)),
    ('a heartbeat as text', entry(sequence='4')),
    ('a negative heartbeat', entry(sequence=-4)),
    ('a heartbeat out of range', entry(sequence=2**70)),
    ('a start as text', entry(born='1764727117000')),
    ('a start with a fraction', entry(born=1764727117000.5)),
    ('a start that is a float', entry(born=1764727117000.0)),
    ('a start that is null', entry(born=None)),
    ('a start that is a boolean', entry(born=True)),
    ('a negative start', entry(born=-1)),
    ('a start of zero', entry(born=0)),
    ('models as text', entry(models='m')),
    ('a model without a name', entry(models=[{'version': 1}])),
    ('a version as text', entry(models=[{'name': 'm', 'version': '1'}])),
    ('layers as text', entry(layers={'from': '0', 'target': 16})),
    ('negative layers', entry(layers={'from': -1, 'target': 16})),
    (
        'layers beyond the range of heartbeats',
        entry(layers={'from': 0, 'target': 10**6}),
    ),
    (
        'a version beyond the range of heartbeats',
        entry(layers={'target': 1, 'version': 2**40}),
    ),
    ('a software version that is a number', entry(version=1)),
    ('a cold time as text', entry(coldLeftMs='0')),
)
#: Keys that are not valid ids. Ids are copied to request heads, heartbeats and
#: the log.
INVALID_KEYS = ('', 'i 1', 'i-1\r\nX-Tenant: t', 'i-\0', 'i-é', 'i' * 200)


class EndpointRecordTest(testtools.TestCase):
    """Decoding of one endpoint record."""

    def read(self, payload: bytes, key: str = 'i-1') -> endpoints.Listing:
        """Decode a record."""
        found = registry.decode_record(records.Record(key, 0, payload))
        assert found is not None
        return found

    def test_start(self) -> None:
        """The start time is decoded; older writers omit it."""
        self.assertEqual(1764727117000, self.read(entry()).started_ms)
        self.assertEqual(0, self.read(entry(born=...)).started_ms)

    def test_plain_endpoint(self) -> None:
        """A plain service has no models; unknown fields are ignored."""
        found = self.read(entry(models=..., layers=..., news={'a': [1]}))
        self.assertEqual(endpoints.Weights(0, 0, 0), found.weights)

    def test_malformed(self) -> None:
        """Each malformed record raises an error of bounded length."""
        for description, payload in MALFORMED:
            error = self.assertRaises(
                errors.MalformedMessageError,
                self.read,
                payload,
            )
            self.assertLess(len(str(error)), 600, description)

    def test_invalid_keys(self) -> None:
        """A key that is not a valid id raises an error."""
        for key in INVALID_KEYS:
            self.assertRaises(
                errors.MalformedMessageError,
                self.read,
                entry(),
                key,
            )


class FuzzTest(testtools.TestCase):
    """Any input yields a usable endpoint or a MalformedMessageError."""

    def check(self, payload: bytes) -> bool:
        """Decode a record; return whether it describes an endpoint."""
        try:
            found = registry.decode_record(records.Record('i-1', 0, payload))
        except errors.MalformedMessageError:
            return False
        if found is not None:
            host, _, port = found.address.rpartition(':')
            self.assertEqual(4, len(host.split('.')))
            self.assertIn(int(port), range(1, 65536))
            self.assertGreater(found.slots, 0)
            self.assertIs(int, type(found.started_ms))
        return True

    def test_random_bytes(self) -> None:
        """Random bytes."""
        rng = random.Random(11)
        for _ in range(3000):
            self.check(rng.randbytes(rng.randrange(1, 300)))

    def test_changed_bytes(self) -> None:
        """A record with some bytes changed, removed or duplicated."""
        rng = random.Random(12)
        decoded_count = 0
        for _ in range(6000):
            payload = bytearray(entry())
            for _ in range(rng.randrange(1, 4)):
                at = rng.randrange(len(payload))
                change = rng.randrange(3)
                if change == 0:
                    payload[at] = rng.randrange(256)
                elif change == 1:
                    del payload[at : at + rng.randrange(1, 20)]
                else:
                    payload[at:at] = payload[at : at + rng.randrange(1, 20)]
                payload = payload or bytearray(b' ')
            decoded_count += self.check(bytes(payload))
        self.assertGreater(decoded_count, 100)

    def test_changed_fields(self) -> None:
        """A record with fields removed or of another type."""
        rng = random.Random(13)
        replacements = (
            ...,
            None,
            True,
            -1,
            0,
            1.5,
            2**80,
            '',
            'x' * 300,
            [],
            {},
        )
        needed = {'service', 'address', 'zone', 'slots', 'state', 'sequence'}
        for _ in range(6000):
            names = rng.sample(sorted(ENTRY), rng.randrange(1, 4))
            changes = {name: rng.choice(replacements) for name in names}
            is_endpoint = self.check(entry(**changes))
            if any(changes.get(name, 1) is ... for name in needed):
                self.assertFalse(is_endpoint, changes)

    def test_keys(self) -> None:
        """Keys of random text."""
        rng = random.Random(14)
        for _ in range(2000):
            key = ''.join(
                chr(rng.choice((rng.randrange(128), rng.randrange(0xD800))))
                for _ in range(rng.randrange(1, 20))
            )
            try:
                found = registry.decode_record(records.Record(key, 0, entry()))
            except errors.MalformedMessageError:
                continue
            assert found is not None
            self.assertTrue(found.id.isascii() and found.id.isprintable())
            self.assertNotIn(' ', found.id)

    def test_forwarding(self) -> None:
        """Rejected records are forwarded to peers unchanged."""
        page = records.Page(
            tuple(
                records.Record(key, number, payload)
                for number, (key, (_, payload)) in enumerate(
                    zip(INVALID_KEYS, MALFORMED, strict=False),
                )
            ),
            9,
        )
        sent = wire_heartbeats.write_records(page)
        self.assertEqual(page, wire_heartbeats.read_records(sent, 'p'))


class OperatorFuzzTest(testtools.TestCase):
    """An operator's record is decoded, or raises MalformedMessageError."""

    CONFIG = (
        b'{"version":7,"routes":[{"name":"a","host":"h","pathPrefix":"/a/",'
        b'"backends":[{"service":"p","weight":1}],"timeoutMs":5}],"services":'
        b'[{"name":"p","engine":{"slots":1,"models":[{"name":"m"}],"layers":2'
        b'}},{"name":"o","origin":"10.0.0.1:80","zone":"z"}],"tenants":[]}'
    )

    def test_changed_bytes(self) -> None:
        """A configuration and a desired version with some bytes changed."""
        rng = random.Random(15)
        for key, whole in (
            ('config', self.CONFIG),
            ('version/m', b'{"model":"m","version":2}'),
        ):
            operator.decode_record(records.Record(key, 0, whole))
            for _ in range(4000):
                payload = bytearray(whole)
                for _ in range(rng.randrange(1, 3)):
                    at = rng.randrange(len(payload))
                    payload[at] = rng.randrange(256)
                try:
                    operator.decode_record(
                        records.Record(key, 0, bytes(payload))
                    )
                except errors.MalformedMessageError:
                    continue

    def test_invalid_origin(self) -> None:
        """A configuration with an invalid origin address is rejected.

        If it replaced the valid one before, agents would fail each time they
        look up the origin's address.
        """
        for origin in ('o', '10.0.0.1', '10.0.0.1:x', '[::1]:80'):
            payload = self.CONFIG.replace(b'10.0.0.1:80', origin.encode())
            self.assertRaises(
                errors.MalformedMessageError,
                operator.decode_record,
                records.Record('config', 0, payload),
            )


class ReportTest(testtools.TestCase):
    """Required fields of an engine's report."""

    REPORT: typing.ClassVar[dict[str, typing.Any]] = {
        'models': [],
        'busy': False,
        'sequence': 0,
        'active': 0,
        'queued': 0,
    }

    def test_fields(self) -> None:
        """A report without a required field is malformed.

        With defaults for missing fields, an agent would take the engine for an
        empty one and order it to load again.
        """
        kind = engine._Report
        msgspec.json.decode(json.dumps(self.REPORT), type=kind)
        for name in self.REPORT:
            short = {
                key: self.REPORT[key] for key in self.REPORT if key != name
            }
            for odd in (short, {**self.REPORT, name: 'x'}):
                self.assertRaises(
                    msgspec.ValidationError,
                    msgspec.json.decode,
                    json.dumps(odd),
                    type=kind,
                )
