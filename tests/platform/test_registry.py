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

ENDPOINT_RECORD: dict[str, typing.Any] = {
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


def endpoint_record(**changes: typing.Any) -> bytes:
    """Return a record with some fields changed; ``...`` removes a field."""
    fields = {**ENDPOINT_RECORD, **changes}
    return json.dumps(
        {name: field for name, field in fields.items() if field is not ...},
    ).encode()


#: Records that other writers may leave: a description and the bytes.
MALFORMED = (
    ('blank', b' '),
    ('binary bytes', b'\xff\xfe\x00'),
    ('not JSON', b'ready'),
    ('truncated', endpoint_record()[:-9]),
    ('two records in one', endpoint_record() + endpoint_record()),
    ('a list', b'[]'),
    ('null', b'null'),
    ('no fields', b'{}'),
    ('deeply nested', b'{"x":' + b'[' * 99999 + b']' * 99999 + b'}'),
    ('invalid UTF-8', endpoint_record().replace(b'north-1', b'\xff\xff')),
    ('no service', endpoint_record(service=...)),
    ('an empty service', endpoint_record(service='')),
    ('a service that is a number', endpoint_record(service=3)),
    ('a very long service', endpoint_record(service='s' * 100000)),
    ('no address', endpoint_record(address=...)),
    ('an address that is a number', endpoint_record(address=80)),
    ('an address without a port', endpoint_record(address='10.0.0.1')),
    ('a host name', endpoint_record(address='host:80')),
    ('a port out of range', endpoint_record(address='10.0.0.1:99999')),
    ('port zero', endpoint_record(address='10.0.0.1:0')),
    ('an octet out of range', endpoint_record(address='10.0.0.256:80')),
    ('a port that is not a number', endpoint_record(address='10.0.0.1:8o')),
    ('the unspecified address', endpoint_record(address='0.0.0.0:80')),
    ('the broadcast address', endpoint_record(address='255.255.255.255:80')),
    ('a multicast address', endpoint_record(address='224.0.0.1:80')),
    ('IP version 6', endpoint_record(address='[::1]:80')),
    ('a URL', endpoint_record(address='http://10.0.0.1:80/')),
    ('an address with a line end', endpoint_record(address='10.0.0.1:80\r\n')),
    ('a very long address', endpoint_record(address='1' * 100000 + ':80')),
    ('no zone', endpoint_record(zone=...)),
    ('a zone that is a list', endpoint_record(zone=['north-1'])),
    ('no slots', endpoint_record(slots=...)),
    ('negative slots', endpoint_record(slots=-1)),
    ('zero slots', endpoint_record(slots=0)),
    ('slots as text', endpoint_record(slots='16')),
    ('fractional slots', endpoint_record(slots=1.5)),
    ('slots out of range', endpoint_record(slots=10**30)),
    ('no state', endpoint_record(state=...)),
    ('an unknown state', endpoint_record(state='paused')),
    ('a state that is a boolean', endpoint_record(state=True)),
    ('no heartbeat', endpoint_record(sequence=...)),
    ('a heartbeat as text', endpoint_record(sequence='4')),
    ('a negative heartbeat', endpoint_record(sequence=-4)),
    ('a heartbeat out of range', endpoint_record(sequence=2**70)),
    ('a start as text', endpoint_record(born='1764727117000')),
    ('a start with a fraction', endpoint_record(born=1764727117000.5)),
    ('a start that is a float', endpoint_record(born=1764727117000.0)),
    ('a start that is null', endpoint_record(born=None)),
    ('a start that is a boolean', endpoint_record(born=True)),
    ('a negative start', endpoint_record(born=-1)),
    ('a start of zero', endpoint_record(born=0)),
    ('models as text', endpoint_record(models='m')),
    ('a model without a name', endpoint_record(models=[{'version': 1}])),
    (
        'a version as text',
        endpoint_record(models=[{'name': 'm', 'version': '1'}]),
    ),
    ('layers as text', endpoint_record(layers={'from': '0', 'target': 16})),
    ('negative layers', endpoint_record(layers={'from': -1, 'target': 16})),
    (
        'layers beyond the range of heartbeats',
        endpoint_record(layers={'from': 0, 'target': 10**6}),
    ),
    (
        'a version beyond the range of heartbeats',
        endpoint_record(layers={'target': 1, 'version': 2**40}),
    ),
    ('a software version that is a number', endpoint_record(version=1)),
    ('a cold time as text', endpoint_record(coldLeftMs='0')),
    ('a negative cold time', endpoint_record(coldLeftMs=-1)),
    ('a cold time of a year', endpoint_record(coldLeftMs=3e10)),
    ('a cold time without end', endpoint_record(coldLeftMs=1e308)),
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
        self.assertEqual(1764727117000, self.read(endpoint_record()).started_ms)
        self.assertEqual(0, self.read(endpoint_record(born=...)).started_ms)

    def test_plain_endpoint(self) -> None:
        """A plain service has no models; unknown fields are ignored."""
        found = self.read(
            endpoint_record(models=..., layers=..., news={'a': [1]})
        )
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
                endpoint_record(),
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
            payload = bytearray(endpoint_record())
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
            names = rng.sample(sorted(ENDPOINT_RECORD), rng.randrange(1, 4))
            changes = {name: rng.choice(replacements) for name in names}
            is_endpoint = self.check(endpoint_record(**changes))
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
                found = registry.decode_record(
                    records.Record(key, 0, endpoint_record())
                )
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
        for key, valid_payload in (
            ('config', self.CONFIG),
            ('version/m', b'{"model":"m","version":2}'),
        ):
            operator.decode_record(records.Record(key, 0, valid_payload))
            for _ in range(4000):
                payload = bytearray(valid_payload)
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
            incomplete = {
                key: self.REPORT[key] for key in self.REPORT if key != name
            }
            for malformed in (incomplete, {**self.REPORT, name: 'x'}):
                self.assertRaises(
                    msgspec.ValidationError,
                    msgspec.json.decode,
                    json.dumps(malformed),
                    type=kind,
                )
