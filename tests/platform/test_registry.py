"""Tests of records that other writers leave in the list of endpoints."""

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
    """Return a record with some fields changed; ``...`` takes one away."""
    fields = {**ENTRY, **changes}
    return json.dumps(
        {name: field for name, field in fields.items() if field is not ...},
    ).encode()


#: What other writers may leave: a story and the bytes.
MALFORMED = (
    ('nothing', b' '),
    ('bytes that are no text', b'\xff\xfe\x00'),
    ('text that is not JSON', b'ready'),
    ('cut short', entry()[:-9]),
    ('two in one', entry() + entry()),
    ('a list', b'[]'),
    ('no object', b'null'),
    ('no field', b'{}'),
    ('nested without end', b'{"x":' + b'[' * 99999 + b']' * 99999 + b'}'),
    ('text that is no UTF-8', entry().replace(b'north-1', b'\xff\xff')),
    ('no service', entry(service=...)),
    ('a service without a name', entry(service='')),
    ('a service that is a number', entry(service=3)),
    ('a service of any length', entry(service='s' * 100000)),
    ('no address', entry(address=...)),
    ('an address that is a number', entry(address=80)),
    ('an address without a port', entry(address='10.0.0.1')),
    ('a name in place of a number', entry(address='host:80')),
    ('no such port', entry(address='10.0.0.1:99999')),
    ('port nought', entry(address='10.0.0.1:0')),
    ('no such number', entry(address='10.0.0.256:80')),
    ('a port that is none', entry(address='10.0.0.1:8o')),
    ('any address', entry(address='0.0.0.0:80')),
    ('all machines', entry(address='255.255.255.255:80')),
    ('a group', entry(address='224.0.0.1:80')),
    ('IP version 6', entry(address='[::1]:80')),
    ('a URL', entry(address='http://10.0.0.1:80/')),
    ('an address with a line end', entry(address='10.0.0.1:80\r\n')),
    ('an address of any length', entry(address='1' * 100000 + ':80')),
    ('no zone', entry(zone=...)),
    ('a zone that is a list', entry(zone=['north-1'])),
    ('no slots', entry(slots=...)),
    ('slots below nothing', entry(slots=-1)),
    ('no slot', entry(slots=0)),
    ('slots in text', entry(slots='16')),
    ('half a slot', entry(slots=1.5)),
    ('slots beyond number', entry(slots=10**30)),
    ('no state', entry(state=...)),
    ('a state that is not named', entry(state='paused')),
    ('a state that is a flag', entry(state=True)),
    ('no heartbeat', entry(sequence=...)),
    ('a heartbeat in text', entry(sequence='4')),
    ('a heartbeat below nothing', entry(sequence=-4)),
    ('a heartbeat beyond number', entry(sequence=2**70)),
    ('a start in text', entry(born='1764727117000')),
    ('a start with a fraction', entry(born=1764727117000.5)),
    ('a start that is a float', entry(born=1764727117000.0)),
    ('a start that is null', entry(born=None)),
    ('a start that is a flag', entry(born=True)),
    ('a start below nothing', entry(born=-1)),
    ('no start', entry(born=0)),
    ('models that are none', entry(models='m')),
    ('a model without a name', entry(models=[{'version': 1}])),
    ('a version in text', entry(models=[{'name': 'm', 'version': '1'}])),
    ('layers in text', entry(layers={'from': '0', 'target': 16})),
    ('layers below nothing', entry(layers={'from': -1, 'target': 16})),
    ('layers beyond a heartbeat', entry(layers={'from': 0, 'target': 10**6})),
    (
        'weights beyond a heartbeat',
        entry(layers={'target': 1, 'version': 2**40}),
    ),
    ('a software version that is a number', entry(version=1)),
    ('a coldness in text', entry(coldLeftMs='0')),
)
#: Keys that are no id: they would go into request heads, heartbeats and the log.
ODD_KEYS = ('', 'i 1', 'i-1\r\nX-Tenant: t', 'i-\0', 'i-é', 'i' * 200)


class EntryTest(testtools.TestCase):
    """What a record says."""

    def read(self, payload: bytes, key: str = 'i-1') -> endpoints.Listing:
        """Decode a record."""
        found = registry.read(records.Record(key, 0, payload))
        assert found is not None
        return found

    def test_start(self) -> None:
        """The start is told, or untold by older writers."""
        self.assertEqual(1764727117000, self.read(entry()).started_ms)
        self.assertEqual(0, self.read(entry(born=...)).started_ms)

    def test_plain_endpoint(self) -> None:
        """One without an engine has no models, and may be new in its fields."""
        found = self.read(entry(models=..., layers=..., news={'a': [1]}))
        self.assertEqual(endpoints.Weights(0, 0, 0), found.weights)

    def test_malformed(self) -> None:
        """Each names no endpoint, and the error is of bounded length."""
        for story, payload in MALFORMED:
            error = self.assertRaises(
                errors.MalformedMessageError,
                self.read,
                payload,
            )
            self.assertLess(len(str(error)), 600, story)

    def test_odd_keys(self) -> None:
        """An id that can't be sent on names no endpoint either."""
        for key in ODD_KEYS:
            self.assertRaises(
                errors.MalformedMessageError,
                self.read,
                entry(),
                key,
            )


class FuzzTest(testtools.TestCase):
    """Whatever comes is an endpoint that can be used, or one typed error."""

    def check(self, payload: bytes) -> bool:
        """Read a record; tell whether it names an endpoint."""
        try:
            found = registry.read(records.Record('i-1', 0, payload))
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
        """Bytes of no order."""
        rng = random.Random(11)
        for _ in range(3000):
            self.check(rng.randbytes(rng.randrange(1, 300)))

    def test_changed_bytes(self) -> None:
        """A record with some of its bytes changed, lost or doubled."""
        rng = random.Random(12)
        named = 0
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
            named += self.check(bytes(payload))
        self.assertGreater(named, 100)

    def test_changed_fields(self) -> None:
        """A record with fields of another type, or none."""
        rng = random.Random(13)
        others = (..., None, True, -1, 0, 1.5, 2**80, '', 'x' * 300, [], {})
        needed = {'service', 'address', 'zone', 'slots', 'state', 'sequence'}
        for _ in range(6000):
            names = rng.sample(sorted(ENTRY), rng.randrange(1, 4))
            changes = {name: rng.choice(others) for name in names}
            is_named = self.check(entry(**changes))
            if any(changes.get(name, 1) is ... for name in needed):
                self.assertFalse(is_named, changes)

    def test_keys(self) -> None:
        """Keys of any text."""
        rng = random.Random(14)
        for _ in range(2000):
            key = ''.join(
                chr(rng.choice((rng.randrange(128), rng.randrange(0xD800))))
                for _ in range(rng.randrange(1, 20))
            )
            try:
                found = registry.read(records.Record(key, 0, entry()))
            except errors.MalformedMessageError:
                continue
            assert found is not None
            self.assertTrue(found.id.isascii() and found.id.isprintable())
            self.assertNotIn(' ', found.id)

    def test_handed_on(self) -> None:
        """What was passed over is handed on to peers as it is."""
        page = records.Page(
            tuple(
                records.Record(key, number, payload)
                for number, (key, (_, payload)) in enumerate(
                    zip(ODD_KEYS, MALFORMED, strict=False),
                )
            ),
            9,
        )
        sent = wire_heartbeats.write_records(page)
        self.assertEqual(page, wire_heartbeats.read_records(sent, 'p'))


class OperatorFuzzTest(testtools.TestCase):
    """The operator's records: whole, or one typed error."""

    CONFIG = (
        b'{"version":7,"routes":[{"name":"a","host":"h","pathPrefix":"/a/",'
        b'"backends":[{"service":"p","weight":1}],"timeoutMs":5}],"services":'
        b'[{"name":"p","engine":{"slots":1,"models":[{"name":"m"}],"layers":2'
        b'}},{"name":"o","origin":"10.0.0.1:80","zone":"z"}],"tenants":[]}'
    )

    def test_changed_bytes(self) -> None:
        """A configuration and a version with some bytes changed."""
        rng = random.Random(15)
        for key, whole in (
            ('config', self.CONFIG),
            ('version/m', b'{"model":"m","version":2}'),
        ):
            operator.read(records.Record(key, 0, whole))
            for _ in range(4000):
                payload = bytearray(whole)
                for _ in range(rng.randrange(1, 3)):
                    at = rng.randrange(len(payload))
                    payload[at] = rng.randrange(256)
                try:
                    operator.read(records.Record(key, 0, bytes(payload)))
                except errors.MalformedMessageError:
                    continue

    def test_odd_origin(self) -> None:
        """An origin that can't be connected to.

        An agent asked for its address and failed in each of its looks at what
        is wanted, while the configuration before was sound.
        """
        for origin in ('o', '10.0.0.1', '10.0.0.1:x', '[::1]:80'):
            payload = self.CONFIG.replace(b'10.0.0.1:80', origin.encode())
            self.assertRaises(
                errors.MalformedMessageError,
                operator.read,
                records.Record('config', 0, payload),
            )


class ReportTest(testtools.TestCase):
    """An engine's report: all that is needed, or an error."""

    REPORT: typing.ClassVar[dict[str, typing.Any]] = {
        'models': [],
        'busy': False,
        'sequence': 0,
        'active': 0,
        'queued': 0,
    }

    def test_fields(self) -> None:
        """A report without a field isn't one of an empty engine.

        An agent took it for that, and had the engine load what it held.
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
