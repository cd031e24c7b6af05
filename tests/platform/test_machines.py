"""Tests of the boundary to the users' machines: what is read and written."""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import tempfile
import typing

import testtools

from clementinepass import errors
from clementinepass.direct import (
    calls,
    endpoints,
    intake,
    records,
    routing,
    weights,
)
from clementinepass.http import front, messages, replies
from clementinepass.platform import (
    dialect,
    directory,
    engine,
    node_settings,
    operator,
    registry,
    store,
)

HOST = '127.0.0.1'
CONFIG: dict[str, typing.Any] = {
    'version': 7,
    'unknown': 1,
    'routes': [
        {
            'name': 'a',
            'host': 'H.example',
            'pathPrefix': '/a/',
            'routeKind': 'streaming',
            'timeoutMs': 6000,
            'sloMs': 406,
            'priority': 1,
            'service': 'pool',
            'maxAttempts': 2,
            'resumable': True,
            'gapTargetMs': 300,
        },
        {
            'name': 'b',
            'host': 'h.example',
            'pathPrefix': '/a/b/',
            'routeKind': 'something new',
            'backends': [
                {'service': 'pool', 'weight': 90},
                {'service': 'origin', 'weight': 10},
            ],
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'pool',
            'maxConns': 274,
            'engine': {
                'slots': 16,
                'models': [{'name': 'm', 'pace': 1.0}],
                'layers': 16,
                'chunks': 96,
                'chunkBytes': 24576,
                'step_ms': 6.73,
                'read_per_s': 30600,
                'usual': {'prompt': 964, 'answer': 119},
            },
        },
        {'name': 'origin', 'origin': '172.20.0.3:80', 'zone': 'south-1'},
    ],
    'limits': {
        'maxHeaderBytes': 100,
        'maxBodyBytes': 200,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 't', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}


def record(key: str, payload: typing.Any) -> records.Record:
    """Return a record with a JSON value."""
    return records.Record(key, 0, json.dumps(payload).encode())


class OperatorTest(testtools.TestCase):
    """Configurations and named versions."""

    def test_configuration(self) -> None:
        """Each field has its meaning and unit."""
        found = operator.read(record('config', CONFIG))
        assert isinstance(found, routing.Routing)
        one = found.find_route(b'h.example:80', b'/a/x')
        assert one is not None
        self.assertEqual(
            (routing.RouteKind.STREAM, 6.0, 0.406, 0.3, 2, True),
            (
                one.kind,
                one.timeout,
                one.latency_target,
                one.max_event_gap,
                one.max_runs,
                one.is_repeatable,
            ),
        )
        engine_of = found.services_by_name['pool'].engine
        assert engine_of is not None
        self.assertEqual(
            ('m', 16, 96),
            (engine_of.model, engine_of.layers, engine_of.chunks),
        )
        self.assertAlmostEqual(0.00673, engine_of.step_seconds)
        assert found.origin is not None
        self.assertEqual('south-1', found.origin.domain)
        self.assertEqual(15.0, found.bounds.idle_seconds)
        self.assertEqual('t', found.teams_by_key[b'k2'].name)

    def test_longest_prefix_and_weights(self) -> None:
        """The longest prefix wins; an unknown kind runs once at most."""
        found = operator.read(record('config', CONFIG))
        assert isinstance(found, routing.Routing)
        one = found.find_route(b'H.EXAMPLE', b'/a/b/c')
        assert one is not None
        self.assertEqual('b', one.name)
        self.assertIs(routing.RouteKind.AT_MOST_ONCE, one.kind)
        self.assertFalse(one.is_repeatable)
        self.assertTrue(one.is_public)
        points = [one.service_for(number / 100) for number in range(100)]
        self.assertEqual(90, points.count('pool'))

    def test_no_teams(self) -> None:
        """Without teams no request needs a key; with none each does."""
        without = {key: CONFIG[key] for key in CONFIG if key != 'tenants'}
        found = operator.read(record('config', without))
        assert isinstance(found, routing.Routing)
        self.assertFalse(found.requires_key)
        found = operator.read(record('config', {**CONFIG, 'tenants': []}))
        assert isinstance(found, routing.Routing)
        self.assertTrue(found.requires_key)

    def test_version(self) -> None:
        """A named version, and what is of no concern."""
        found = operator.read(
            record('version/m', {'model': 'm', 'version': 2}),
        )
        self.assertEqual(intake.DesiredVersion('m', 2), found)
        self.assertIsNone(operator.read(record('else', {})))
        self.assertIsNone(operator.read(records.Record('config', 0, None)))

    def test_malformed(self) -> None:
        """What can't be decoded is an error, not half a configuration."""
        for payload in (b'', b'{', b'[]', b'{"version": "x"}', b'\xff'):
            self.assertRaises(
                errors.MalformedMessageError,
                operator.read,
                records.Record('config', 0, payload or b' '),
            )


class RegistryTest(testtools.TestCase):
    """What endpoints write of themselves."""

    ENTRY: typing.ClassVar[dict[str, typing.Any]] = {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'north-1',
        'slots': 16,
        'state': 'ready',
        'sequence': 4,
        'models': [{'name': 'm', 'version': 1}],
        'layers': {'from': 0, 'target': 16, 'version': 1},
    }

    def test_entry(self) -> None:
        """An endpoint that serves, one that leaves, one without weights."""
        found = registry.read(record('i-1', self.ENTRY))
        assert found is not None
        self.assertEqual(endpoints.Weights(1, 0, 16), found.weights)
        self.assertFalse(found.draining)
        found = registry.read(
            record('i-1', {**self.ENTRY, 'state': 'draining'})
        )
        assert found is not None
        self.assertTrue(found.draining)
        empty = {**self.ENTRY, 'models': [], 'layers': None}
        found = registry.read(record('i-1', empty))
        assert found is not None
        self.assertEqual(endpoints.Weights(0, 0, 0), found.weights)

    def test_removed_and_malformed(self) -> None:
        """A removal is none; anything else that isn't an entry is an error."""
        self.assertIsNone(registry.read(records.Record('i-1', 0, None)))
        self.assertRaises(
            errors.MalformedMessageError,
            registry.read,
            record('i-1', {'address': 3}),
        )


class DialectTest(testtools.TestCase):
    """Verdicts on answers' heads."""

    def test_verdicts(self) -> None:
        """The id, the mark, the stamp and the encoding decide."""
        spelling = dialect.HeaderDialect()
        request = messages.Request(
            b'GET',
            b'/',
            messages.Headers([(b'X-Attempt-Id', b'r')]),
            b'',
            0,
        )
        call = spelling.decode_request(request)
        own = (b'X-Attempt-Id', b'r')
        stamp = (b'X-Server-Stamp', b's')
        table = (
            (200, [own, stamp], calls.Verdict.SUCCESS),
            (500, [own, stamp], calls.Verdict.FAILURE),
            (200, [own], calls.Verdict.INVALID),
            (200, [stamp], calls.Verdict.INVALID),
            (500, [own], calls.Verdict.INVALID),
            (
                200,
                [own, stamp, (b'Content-Encoding', b'gzip')],
                calls.Verdict.INVALID,
            ),
            (
                200,
                [(b'X-Attempt-Id', b'o'), stamp],
                calls.Verdict.OTHER_REQUEST,
            ),
            (503, [own, (b'X-Not-Executed', b'1')], calls.Verdict.NOT_RUN),
            (503, [own, stamp], calls.Verdict.FAILURE),
            (421, [own], calls.Verdict.MISDIRECTED),
            (
                503,
                [(b'X-Attempt-Id', b'o'), (b'X-Not-Executed', b'1')],
                calls.Verdict.OTHER_REQUEST,
            ),
        )
        for status, pairs, verdict in table:
            head = messages.AnswerHead(status, messages.Headers(pairs))
            facts = spelling.decode_head(call, head)
            self.assertIs(verdict, facts.verdict, (status, pairs))


class SettingsTest(testtools.TestCase):
    """The settings file of a process."""

    def test_read(self) -> None:
        """Fields have their meaning; unknown ones are passed over."""
        with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
            json.dump(
                {
                    'nodeName': 'edge-1',
                    'ip': '10.0.0.1',
                    'zone': 'north-1',
                    'region': 'north',
                    'zones': {'north-1': 'north'},
                    'listen': {'front': '10.0.0.1:1', 'ready': '10.0.0.1:2'},
                    'internalPorts': [7700, 7715],
                    'seeds': ['10.0.0.2:8000'],
                    'bounds': {'version_ms': 9000, 'graceS': 8, 'new': 1},
                    'limits': {'linkMbps': 3.65},
                    'platform': {'address': '10.9.0.1:80', 'form': 'log'},
                    'new': {},
                },
                file,
            )
            file.flush()
            found = node_settings.read(file.name)
        self.assertEqual('10.0.0.1:1', found.callers)
        self.assertEqual(9.0, found.duties.version)
        self.assertEqual(3.65, found.link_mbps)
        self.assertEqual(('10.0.0.2',), found.seeds)
        self.assertEqual('north', found.region_of('north-1'))

    def test_bad_files(self) -> None:
        """A missing or malformed file is one typed error."""
        folder = pathlib.Path(self.useFixture(TempFolder()).path)
        for name, text in (('a', ''), ('b', '{}'), ('c', '{"ip": 3}')):
            path = folder / name
            path.write_text(text)
            self.assertRaises(
                errors.SettingsError,
                node_settings.read,
                str(path),
            )
        self.assertRaises(
            errors.SettingsError,
            node_settings.read,
            str(folder / 'missing'),
        )


class TempFolder:
    """A folder that is removed after the test."""

    path = ''

    def setUp(self) -> None:
        """Make it."""
        self._folder = tempfile.TemporaryDirectory()
        self.path = self._folder.name

    def cleanUp(self) -> None:  # noqa: N802
        """Remove it."""
        self._folder.cleanup()

    def getDetails(self) -> dict[str, str]:  # noqa: N802
        """Return nothing."""
        return {}


class Answers:
    """A service that answers each request with the next of a script."""

    def __init__(self, *script: tuple[int, bytes]) -> None:
        self.script = list(script)
        self.asked: list[messages.Request] = []
        self._front = front.Front(self._handle)
        self.address = ''

    async def __aenter__(self) -> typing.Self:
        self.address = f'{HOST}:{await self._front.listen(HOST, 0)}'
        return self

    async def __aexit__(self, *raised: object) -> None:
        await self._front.close()

    async def _handle(
        self,
        request: messages.Request,
        reply: replies.Reply,
    ) -> None:
        self.asked.append(request)
        status, body = self.script.pop(0)
        reply.send(status, [], body)


def framed(*keyed: tuple[bytes, bytes]) -> bytes:
    """Return records as the store sends them."""
    parts = [(9).to_bytes(8, 'big'), (0).to_bytes(8, 'big')]
    for key, payload in keyed:
        whole = bytes((len(key),)) + key + payload
        parts.append(len(whole).to_bytes(4, 'big') + whole)
    return b''.join(parts)


class StoreTest(testtools.TestCase):
    """The store's calls and its refusals."""

    def test_changes(self) -> None:
        """Records come with their offsets; no value is a removal."""

        async def play() -> None:
            async with Answers((200, framed((b'a', b'1'), (b'b', b'')))) as one:
                page = await store.HttpStore(one.address).changes(
                    records.Topic.ENDPOINTS,
                    4,
                    0.5,
                )
            self.assertEqual(
                (
                    records.Record('a', 4, b'1'),
                    records.Record('b', 5, None),
                ),
                page.records,
            )
            self.assertEqual(6, page.next_offset)
            self.assertIn(b'from=4&waitMs=500', one.asked[0].target)

        asyncio.run(play())

    def test_odd_records(self) -> None:
        """Another writer's records have no key, or one that isn't text.

        Each read of the topic failed from then on. The records after them are
        read, with their offsets.
        """
        odd = [b'', b'\5ab', b'\2\xff\xfe1', b'\1a1']
        body = framed() + b''.join(
            len(whole).to_bytes(4, 'big') + whole for whole in odd
        )
        newest = {
            'entries': [
                {'key': 'a', 'offset': 3, 'value': 'no base64!'},
                {'key': 'b', 'offset': 4, 'value': 'MQ=='},
            ],
            'endOffset': 5,
        }
        encoded = json.dumps(newest).encode()

        async def play() -> None:
            topic = records.Topic.ENDPOINTS
            script = ((200, body), (200, encoded), (200, encoded))
            async with Answers(*script) as one:
                own = store.HttpStore(one.address)
                page = await own.changes(topic, 4, 0)
                self.assertEqual(8, page.next_offset)
                self.assertEqual(
                    [(6, b'1'), (7, b'1')],
                    [(each.offset, each.payload) for each in page.records],
                )
                self.assertEqual('a', page.records[-1].key)
                found = (await own.newest(topic)).records
                self.assertEqual([3, 4], [each.offset for each in found])
                self.assertEqual(b'1', found[-1].payload)

        asyncio.run(play())

    def test_pages_of_the_newest(self) -> None:
        """Changes are followed from an end that was there before all pages.

        An entry that was restarted while configurations came in quick
        succession answered by an old one for four seconds: its page had the
        configuration before the last, and an end after the last, so that the
        last was never read.
        """

        def page(key: str, end: int, *, more: bool) -> bytes:
            entry = {
                'key': key,
                'offset': 3,
                'value': base64.b64encode(b'v').decode(),
            }
            answer = {'entries': [entry], 'hasMore': more, 'endOffset': end}
            return json.dumps(answer).encode()

        async def play() -> None:
            script = (
                (200, page('a', 5, more=True)),
                (200, page('a', 7, more=True)),
                (200, page('b', 8, more=False)),
            )
            async with Answers(*script) as one:
                found = await store.HttpStore(one.address).newest(
                    records.Topic.OPERATOR,
                )
            self.assertEqual(['a', 'b'], [each.key for each in found.records])
            self.assertEqual(5, found.next_offset)
            self.assertIn(b'after=a', one.asked[2].target)

        asyncio.run(play())

    def test_errors(self) -> None:
        """Each refusal is a typed error."""
        table: tuple[tuple[int, bytes, type[Exception]], ...] = (
            (410, b'{"firstOffset":9}', errors.RecordsExpiredError),
            (429, b'', errors.ThrottledError),
            (503, b'', errors.PlatformUnavailableError),
            (500, b'', errors.PlatformUnavailableError),
            (200, framed((b'a', b'1'))[:-1], errors.MalformedMessageError),
        )

        async def play() -> None:
            for status, body, expected in table:
                async with Answers((status, body)) as one:
                    with testtools.ExpectedException(expected):
                        await store.HttpStore(one.address).changes(
                            records.Topic.OPERATOR,
                            0,
                            0,
                        )

        asyncio.run(play())

    def test_put(self) -> None:
        """A record is framed with its key."""

        async def play() -> None:
            async with Answers((200, b'{}')) as one:
                await store.HttpStore(one.address).put(
                    records.Topic.ENTRIES,
                    'key',
                    b'v',
                )
            self.assertEqual(b'\0\0\0\5\3keyv', one.asked[0].body)

        asyncio.run(play())


class EngineTest(testtools.TestCase):
    """The engine's calls."""

    def test_report_and_order(self) -> None:
        """An order names the state that it was decided on."""
        report = {
            'models': [{'name': 'm', 'version': 1}],
            'layers': {'from': 0, 'target': 16, 'version': 1},
            'busy': False,
            'sequence': 2,
            'active': 3,
            'queued': 1,
        }

        async def play() -> None:
            script = ((200, json.dumps(report).encode()), (202, b''))
            async with Answers(*script) as one:
                own = engine.HttpEngine(one.address)
                found = await own.report()
                await own.load('m', 2, found)
            self.assertEqual(
                (endpoints.Weights(1, 0, 16), 2),
                (
                    found.weights,
                    found.orders,
                ),
            )
            order = json.loads(one.asked[1].body)
            self.assertEqual(
                ('start', 'm', 2, 2),
                (
                    order['op'],
                    order['model'],
                    order['version'],
                    order['expected'],
                ),
            )

        asyncio.run(play())

    def test_origin(self) -> None:
        """A version that is too old has neither manifest nor pieces."""

        async def play() -> None:
            async with Answers((410, b''), (410, b'')) as one:
                own = engine.HttpOrigin(one.address)
                self.assertIsNone(await own.manifest('m', 1))
                found = await own.piece('m', 1, 0)
                self.assertEqual(weights.Piece(None), found)

        asyncio.run(play())


class DirectoryTest(testtools.TestCase):
    """Where to connect, and whether an entry is ready."""

    class Offers:
        """An entry that offers itself."""

        is_ready = False

        def listed_addresses(self, now: float) -> list[str]:
            """Return one address."""
            return ['10.0.0.1:80']

        def list_ttl_seconds(self, now: float) -> float:
            """Return how long to keep it."""
            return 1.5

    def test_answers(self) -> None:
        """Each question has its answer, anything else none."""
        offers = self.Offers()
        handler = directory.HttpDirectory().create_handler(offers)
        sent: list[tuple[int, bytes]] = []

        class Reply:
            def send(self, status: int, pairs: object, body: bytes) -> None:
                sent.append((status, body))

        async def play() -> None:
            for target in (
                b'/api/resolve?name=h',
                b'/api/readyz',
                b'/other',
            ):
                request = messages.Request(
                    b'GET',
                    target,
                    messages.Headers(),
                    b'',
                    0,
                )
                await handler(request, typing.cast(replies.Reply, Reply()))

        asyncio.run(play())
        self.assertEqual([200, 503, 404], [status for status, _ in sent])
        self.assertEqual(
            {'addresses': ['10.0.0.1:80'], 'ttlS': 1.5},
            json.loads(sent[0][1]),
        )
