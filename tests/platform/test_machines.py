"""Tests of the adapters for the users' platform."""

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
    evacuation,
    intake,
    records,
    routing,
    weights,
)
from clementinepass.direct import directory as direct_directory
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
    """Return a record with a JSON payload."""
    return records.Record(key, 0, json.dumps(payload).encode())


class OperatorTest(testtools.TestCase):
    """Decoding of configurations and desired versions."""

    def test_configuration(self) -> None:
        """Each field is decoded with its meaning and unit."""
        found = operator.decode_record(record('config', CONFIG))
        assert isinstance(found, routing.Routing)
        route = found.find_route(b'h.example:80', b'/a/x')
        assert route is not None
        self.assertEqual(
            (routing.RouteKind.STREAM, 6.0, 0.406, 0.3, 2, True),
            (
                route.kind,
                route.timeout,
                route.latency_target,
                route.max_event_gap,
                route.max_runs,
                route.is_repeatable,
            ),
        )
        decoded_engine = found.services_by_name['pool'].engine
        assert decoded_engine is not None
        self.assertEqual(
            ('m', 16, 96),
            (
                decoded_engine.model,
                decoded_engine.layers,
                decoded_engine.chunks,
            ),
        )
        self.assertAlmostEqual(0.00673, decoded_engine.step_seconds)
        assert found.origin is not None
        self.assertEqual('south-1', found.origin.domain)
        self.assertEqual(15.0, found.bounds.idle_seconds)
        self.assertEqual('t', found.teams_by_key[b'k2'].name)

    def test_longest_prefix_and_weights(self) -> None:
        """The longest prefix wins; an unknown kind runs at most once."""
        found = operator.decode_record(record('config', CONFIG))
        assert isinstance(found, routing.Routing)
        route = found.find_route(b'H.EXAMPLE', b'/a/b/c')
        assert route is not None
        self.assertEqual('b', route.name)
        self.assertIs(routing.RouteKind.AT_MOST_ONCE, route.kind)
        self.assertFalse(route.is_repeatable)
        self.assertTrue(route.is_public)
        points = [route.service_for(number / 100) for number in range(100)]
        self.assertEqual(90, points.count('pool'))

    def test_no_teams(self) -> None:
        """Without a list of teams no key is needed; with an empty list it is."""
        without = {key: CONFIG[key] for key in CONFIG if key != 'tenants'}
        found = operator.decode_record(record('config', without))
        assert isinstance(found, routing.Routing)
        self.assertFalse(found.requires_key)
        found = operator.decode_record(
            record('config', {**CONFIG, 'tenants': []})
        )
        assert isinstance(found, routing.Routing)
        self.assertTrue(found.requires_key)

    def test_version(self) -> None:
        """Desired versions are decoded; irrelevant records are ignored."""
        found = operator.decode_record(
            record('version/m', {'model': 'm', 'version': 2}),
        )
        self.assertEqual(intake.DesiredVersion('m', 2), found)
        self.assertIsNone(operator.decode_record(record('else', {})))
        self.assertIsNone(
            operator.decode_record(records.Record('config', 0, None))
        )

    def test_evacuation(self) -> None:
        """A domain is evacuated while its record exists, whatever it holds."""
        for payload in (b'{}', b'', b'no JSON'):
            self.assertEqual(
                evacuation.Evacuation('north-1', True),
                operator.decode_record(
                    records.Record('evacuate/north-1', 0, payload)
                ),
            )
        self.assertEqual(
            evacuation.Evacuation('north-1', False),
            operator.decode_record(records.Record('evacuate/north-1', 1, None)),
        )

    def test_allowed_regions(self) -> None:
        """An empty list restricts nothing; another type is malformed."""
        for named, expected in (
            (['north', 'south'], frozenset(('north', 'south'))),
            (['nowhere'], frozenset(('nowhere',))),
            ([], None),
            (None, None),
        ):
            config = {
                **CONFIG,
                'routes': [{**CONFIG['routes'][0], 'allowedRegions': named}],
                'tenants': [{**CONFIG['tenants'][0], 'allowedRegions': named}],
            }
            found = operator.decode_record(record('config', config))
            assert isinstance(found, routing.Routing)
            decoded_route = found.find_route(b'h.example', b'/a/x')
            assert decoded_route is not None
            self.assertEqual(expected, decoded_route.allowed_regions)
            self.assertEqual(
                expected, found.teams_by_key[b'k1'].allowed_regions
            )
        for malformed in ('north', [1], {'north': 1}):
            routes = [{**CONFIG['routes'][0], 'allowedRegions': malformed}]
            self.assertRaises(
                errors.MalformedMessageError,
                operator.decode_record,
                record('config', {**CONFIG, 'routes': routes}),
            )

    def test_malformed(self) -> None:
        """A malformed configuration raises an error."""
        for payload in (b'', b'{', b'[]', b'{"version": "x"}', b'\xff'):
            self.assertRaises(
                errors.MalformedMessageError,
                operator.decode_record,
                records.Record('config', 0, payload or b' '),
            )


class RegistryTest(testtools.TestCase):
    """Decoding of endpoints' records."""

    RECORD: typing.ClassVar[dict[str, typing.Any]] = {
        'service': 'pool',
        'address': '10.0.0.1:80',
        'zone': 'north-1',
        'slots': 16,
        'state': 'ready',
        'sequence': 4,
        'models': [{'name': 'm', 'version': 1}],
        'layers': {'from': 0, 'target': 16, 'version': 1},
    }

    def test_records(self) -> None:
        """An endpoint that is ready, one that drains, one without weights."""
        found = registry.decode_record(record('i-1', self.RECORD))
        assert found is not None
        self.assertEqual(endpoints.Weights(1, 0, 16), found.weights)
        self.assertFalse(found.draining)
        found = registry.decode_record(
            record('i-1', {**self.RECORD, 'state': 'draining'})
        )
        assert found is not None
        self.assertTrue(found.draining)
        empty = {**self.RECORD, 'models': [], 'layers': None}
        found = registry.decode_record(record('i-1', empty))
        assert found is not None
        self.assertEqual(endpoints.Weights(0, 0, 0), found.weights)

    def test_removed_and_malformed(self) -> None:
        """A removal yields ``None``; a malformed record raises an error."""
        self.assertIsNone(
            registry.decode_record(records.Record('i-1', 0, None))
        )
        self.assertRaises(
            errors.MalformedMessageError,
            registry.decode_record,
            record('i-1', {'address': 3}),
        )


class DialectTest(testtools.TestCase):
    """Verdicts on the heads of answers."""

    def test_verdicts(self) -> None:
        """Id, not-executed mark, stamp and encoding determine the verdict."""
        header_dialect = dialect.HeaderDialect()
        request = messages.Request(
            b'GET',
            b'/',
            messages.Headers([(b'X-Attempt-Id', b'r')]),
            b'',
            0,
        )
        call = header_dialect.decode_request(request)
        id_header = (b'X-Attempt-Id', b'r')
        stamp = (b'X-Server-Stamp', b's')
        table = (
            (200, [id_header, stamp], calls.Verdict.SUCCESS),
            (500, [id_header, stamp], calls.Verdict.FAILURE),
            (200, [id_header], calls.Verdict.INVALID),
            (200, [stamp], calls.Verdict.INVALID),
            (500, [id_header], calls.Verdict.INVALID),
            (
                200,
                [id_header, stamp, (b'Content-Encoding', b'gzip')],
                calls.Verdict.INVALID,
            ),
            (
                200,
                [(b'X-Attempt-Id', b'o'), stamp],
                calls.Verdict.OTHER_REQUEST,
            ),
            (
                503,
                [id_header, (b'X-Not-Executed', b'1')],
                calls.Verdict.NOT_RUN,
            ),
            (503, [id_header, stamp], calls.Verdict.FAILURE),
            (421, [id_header], calls.Verdict.MISDIRECTED),
            (
                503,
                [(b'X-Attempt-Id', b'o'), (b'X-Not-Executed', b'1')],
                calls.Verdict.OTHER_REQUEST,
            ),
        )
        for status, pairs, verdict in table:
            head = messages.AnswerHead(status, messages.Headers(pairs))
            decoded_head = header_dialect.decode_head(call, head)
            self.assertIs(verdict, decoded_head.verdict, (status, pairs))

    def test_pause_of_an_endpoint(self) -> None:
        """Only a 503 that says that nothing ran asks for a pause, in seconds."""
        header_dialect = dialect.HeaderDialect()
        request = messages.Request(
            b'GET',
            b'/',
            messages.Headers([(b'X-Attempt-Id', b'r')]),
            b'',
            0,
        )
        call = header_dialect.decode_request(request)
        id_header = (b'X-Attempt-Id', b'r')
        not_run = (b'X-Not-Executed', b'1')
        stamp = (b'X-Server-Stamp', b's')
        rejected = [id_header, not_run]
        table: tuple[
            tuple[int, list[messages.Pair], bytes | None, float | None], ...
        ] = (
            (503, rejected, b'3', 3),
            (503, rejected, b'0.25', 0.25),
            (503, rejected, b'0', 0),
            (503, rejected, b'86400', 86400),
            (503, rejected, None, None),
            (503, rejected, b'', None),
            (503, rejected, b'-1', None),
            (503, rejected, b'soon', None),
            (503, rejected, b'nan', None),
            (503, rejected, b'inf', None),
            (503, rejected, b'1e3', None),
            (503, rejected, b'9' * 400, None),
            (503, rejected, b'Wed, 21 Oct 2015 07:28:00 GMT', None),
            (429, rejected, b'3', None),
            (421, rejected, b'3', None),
            (503, [id_header, stamp], b'3', None),
            (200, [id_header, stamp], b'3', None),
            (503, [(b'X-Attempt-Id', b'o'), not_run], b'3', None),
        )
        for status, pairs, field, seconds in table:
            if field is not None:
                pairs = [*pairs, (b'Retry-After', field)]
            head = messages.AnswerHead(status, messages.Headers(pairs))
            decoded_head = header_dialect.decode_head(call, head)
            self.assertEqual(
                seconds, decoded_head.notice.pause_seconds, (status, pairs)
            )


class SettingsTest(testtools.TestCase):
    """The settings file of a process."""

    def test_read(self) -> None:
        """Fields are decoded; unknown fields are ignored."""
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
        """A missing or malformed file raises ``SettingsError``."""
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
    """Fixture of a temporary folder."""

    path = ''

    def setUp(self) -> None:
        """Create the folder."""
        self._folder = tempfile.TemporaryDirectory()
        self.path = self._folder.name

    def cleanUp(self) -> None:  # noqa: N802
        """Remove the folder."""
        self._folder.cleanup()

    def getDetails(self) -> dict[str, str]:  # noqa: N802
        """Return no details."""
        return {}


class ScriptedServer:
    """HTTP server that gives the next scripted answer to each request."""

    def __init__(self, *script: tuple[int, bytes]) -> None:
        self.script = list(script)
        #: The era that each answer tells, if any.
        self.eras: list[int] = []
        self.requests: list[messages.Request] = []
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
        self.requests.append(request)
        status, body = self.script.pop(0)
        pairs = []
        if self.eras:
            pairs.append((b'Store-Era', b'%d' % self.eras.pop(0)))
        reply.send(status, pairs, body)


def encode_page(*pairs: tuple[bytes, bytes]) -> bytes:
    """Return a page of the store with the given keys and values."""
    parts = [(9).to_bytes(8, 'big'), (0).to_bytes(8, 'big')]
    for key, payload in pairs:
        content = bytes((len(key),)) + key + payload
        parts.append(len(content).to_bytes(4, 'big') + content)
    return b''.join(parts)


class StoreTest(testtools.TestCase):
    """The store's calls and errors."""

    def test_changes(self) -> None:
        """Records have consecutive offsets; an empty value is a removal."""

        async def run_calls() -> None:
            async with ScriptedServer(
                (200, encode_page((b'a', b'1'), (b'b', b'')))
            ) as server:
                page = await store.HttpStore(server.address).changes(
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
            self.assertIn(b'from=4&waitMs=500', server.requests[0].target)

        asyncio.run(run_calls())

    def test_malformed_records(self) -> None:
        """Records without a key or with a binary key don't fail the page.

        If one such record of another writer failed the page, every read of the
        topic would fail from then on. Later records keep their offsets.
        """
        malformed = [b'', b'\5ab', b'\2\xff\xfe1', b'\1a1']
        body = encode_page() + b''.join(
            len(content).to_bytes(4, 'big') + content for content in malformed
        )
        newest = {
            'entries': [
                {'key': 'a', 'offset': 3, 'value': 'no base64!'},
                {'key': 'b', 'offset': 4, 'value': 'MQ=='},
            ],
            'endOffset': 5,
        }
        encoded = json.dumps(newest).encode()

        async def run_calls() -> None:
            topic = records.Topic.ENDPOINTS
            script = ((200, body), (200, encoded), (200, encoded))
            async with ScriptedServer(*script) as server:
                http_store = store.HttpStore(server.address)
                page = await http_store.changes(topic, 4, 0)
                self.assertEqual(8, page.next_offset)
                self.assertEqual(
                    [(6, b'1'), (7, b'1')],
                    [
                        (record.offset, record.payload)
                        for record in page.records
                    ],
                )
                self.assertEqual('a', page.records[-1].key)
                found = (await http_store.newest(topic)).records
                self.assertEqual([3, 4], [record.offset for record in found])
                self.assertEqual(b'1', found[-1].payload)

        asyncio.run(run_calls())

    def test_pages_of_the_newest(self) -> None:
        """Changes are followed from the end offset of the first page.

        With the end of the last page, a record written between two pages could
        be missed: an entry that was restarted while configurations changed in
        quick succession used an old one for four seconds, as its page held the
        last but one configuration and an end offset after the last one.
        """

        def page(key: str, end: int, *, more: bool) -> bytes:
            entry = {
                'key': key,
                'offset': 3,
                'value': base64.b64encode(b'v').decode(),
            }
            answer = {'entries': [entry], 'hasMore': more, 'endOffset': end}
            return json.dumps(answer).encode()

        async def run_calls() -> None:
            script = (
                (200, page('a', 5, more=True)),
                (200, page('a', 7, more=True)),
                (200, page('b', 8, more=False)),
            )
            async with ScriptedServer(*script) as server:
                found = await store.HttpStore(server.address).newest(
                    records.Topic.OPERATOR,
                )
            self.assertEqual(
                ['a', 'b'], [record.key for record in found.records]
            )
            self.assertEqual(5, found.next_offset)
            self.assertIn(b'after=a', server.requests[2].target)

        asyncio.run(run_calls())

    def test_errors(self) -> None:
        """Each error status raises its own error class."""
        table: tuple[tuple[int, bytes, type[Exception]], ...] = (
            (410, b'{"firstOffset":9}', errors.RecordsExpiredError),
            (429, b'', errors.ThrottledError),
            (503, b'', errors.PlatformUnavailableError),
            (500, b'', errors.PlatformUnavailableError),
            (200, encode_page((b'a', b'1'))[:-1], errors.MalformedMessageError),
        )

        async def run_calls() -> None:
            for status, body, expected in table:
                async with ScriptedServer((status, body)) as server:
                    with testtools.ExpectedException(expected):
                        await store.HttpStore(server.address).changes(
                            records.Topic.OPERATOR,
                            0,
                            0,
                        )

        asyncio.run(run_calls())

    def test_put(self) -> None:
        """Records are encoded with length, key and value."""

        async def run_calls() -> None:
            async with ScriptedServer((200, b'{}')) as server:
                await store.HttpStore(server.address).put(
                    records.Topic.ENTRIES, {'key': b'v', 'k': b'xy'}
                )
            self.assertEqual(
                b'\0\0\0\5\3keyv' + b'\0\0\0\4\1kxy',
                server.requests[0].body,
            )

        asyncio.run(run_calls())


class NewestTest(testtools.TestCase):
    """All newest records of a topic are read."""

    def test_records_are_read_once(self) -> None:
        """The end of the topic is asked for without reading records.

        They were read twice at each start, 1.3 MB of a configuration of 480 KB.
        """

        async def run_calls() -> None:
            end = b'{"entries": [], "endOffset": 7, "hasMore": false}'
            page = b'{"entries": [{"key": "a", "offset": 7, "value": "MQ=="}],'
            page += b'"endOffset": 8, "hasMore": false}'
            async with ScriptedServer((200, end), (200, page)) as server:
                newest = await store.HttpStore(server.address).newest(
                    records.Topic.OPERATOR
                )
            self.assertEqual(7, newest.next_offset)
            self.assertEqual('a', newest.records[0].key)
            self.assertIn(b'&after=%F4%8F%BF%BF', server.requests[0].target)
            self.assertNotIn(b'after', server.requests[1].target)

        asyncio.run(run_calls())

    def test_same_page_again(self) -> None:
        """A store that answers with the same page again is not asked on."""

        async def run_calls() -> None:
            page = b'{"entries": [{"key": "a", "offset": 0, "value": "MQ=="}],'
            page += b'"endOffset": 1, "hasMore": true}'
            async with ScriptedServer(*[(200, page)] * 9) as server:
                error = await _raised(
                    store.HttpStore(server.address).newest(
                        records.Topic.OPERATOR
                    )
                )
            self.assertIsInstance(error, errors.PlatformUnavailableError)
            self.assertEqual(3, len(server.requests))

        asyncio.run(run_calls())


class EraTest(testtools.TestCase):
    """The store came back from a copy and gives offsets out again."""

    NEWEST = b'{"entries": [{"key": "a", "offset": 3, "value": "MQ=="}], '
    NEWEST += b'"endOffset": 4, "hasMore": false}'

    def run_calls(
        self,
        script: list[tuple[int, bytes]],
        eras: list[int],
        calls: typing.Callable[
            [store.HttpStore, ScriptedServer], typing.Awaitable[None]
        ],
    ) -> None:
        """Run calls to a store whose answers tell some eras."""

        async def scenario() -> None:
            async with ScriptedServer(*script) as server:
                server.eras = eras
                await calls(store.HttpStore(server.address), server)

        asyncio.run(scenario())

    def test_offsets_grow(self) -> None:
        """Offsets of a newer era are higher than all earlier ones."""

        async def calls(one: store.HttpStore, server: ScriptedServer) -> None:
            page = await one.newest(records.Topic.OPERATOR)
            self.assertEqual(2 * records.ERA_SPAN + 4, page.next_offset)
            (record,) = page.records
            self.assertEqual(2 * records.ERA_SPAN + 3, record.offset)
            changes = await one.changes(
                records.Topic.OPERATOR, page.next_offset, 0.5
            )
            self.assertEqual(page.next_offset + 1, changes.next_offset)
            self.assertIn(b'from=4&', server.requests[-1].target)

        script = [(200, self.NEWEST)] * 2 + [(200, encode_page((b'a', b'2')))]
        self.run_calls(script, [3, 3, 3], calls)

    def test_answer_of_a_newer_era(self) -> None:
        """Records at offsets that were given out again are dropped."""
        told: list[int] = []

        async def calls(one: store.HttpStore, server: ScriptedServer) -> None:
            one.on_new_era = told.append
            error = await _raised(one.changes(records.Topic.OPERATOR, 4, 0.5))
            self.assertIsInstance(error, errors.RecordsExpiredError)
            # The next one is known to be of an earlier era.
            error = await _raised(one.changes(records.Topic.OPERATOR, 4, 0.5))
            self.assertIsInstance(error, errors.RecordsExpiredError)
            self.assertEqual(1, len(server.requests))
            self.assertEqual([1], told)

        self.run_calls([(200, encode_page((b'a', b'2')))], [2], calls)

    def test_rejected_write_tells_the_era(self) -> None:
        """A refusal tells the era, too."""
        told: list[int] = []

        async def calls(one: store.HttpStore, server: ScriptedServer) -> None:
            one.on_new_era = told.append
            error = await _raised(one.put(records.Topic.ENTRIES, {'k': b'1'}))
            self.assertIsInstance(error, errors.PlatformUnavailableError)
            self.assertEqual([4], told)

        self.run_calls([(503, b'')], [5], calls)

    def test_pages_of_two_eras(self) -> None:
        """Pages of the newest records from two eras are not put together."""

        async def calls(one: store.HttpStore, server: ScriptedServer) -> None:
            error = await _raised(one.newest(records.Topic.OPERATOR))
            self.assertIsInstance(error, errors.PlatformUnavailableError)

        self.run_calls([(200, self.NEWEST)] * 2, [1, 2], calls)


async def _raised(
    call: typing.Awaitable[typing.Any],
) -> errors.ClementinepassError | None:
    try:
        await call
    except errors.ClementinepassError as error:
        return error
    return None


class EngineTest(testtools.TestCase):
    """The engine's and the origin's calls."""

    def test_report_and_order(self) -> None:
        """An order states the number of orders in the report it is based on."""
        report = {
            'models': [{'name': 'm', 'version': 1}],
            'layers': {'from': 0, 'target': 16, 'version': 1},
            'busy': False,
            'sequence': 2,
            'active': 3,
            'queued': 1,
        }

        async def run_calls() -> None:
            script = ((200, json.dumps(report).encode()), (202, b''))
            async with ScriptedServer(*script) as server:
                http_engine = engine.HttpEngine(server.address)
                found = await http_engine.report()
                await http_engine.load('m', 2, found)
            self.assertEqual(
                (endpoints.Weights(1, 0, 16), 2),
                (
                    found.weights,
                    found.orders,
                ),
            )
            order = json.loads(server.requests[1].body)
            self.assertEqual(
                ('start', 'm', 2, 2),
                (
                    order['op'],
                    order['model'],
                    order['version'],
                    order['expected'],
                ),
            )

        asyncio.run(run_calls())

    def test_origin(self) -> None:
        """An expired version has neither a manifest nor pieces."""

        async def run_calls() -> None:
            async with ScriptedServer((410, b''), (410, b'')) as server:
                http_origin = engine.HttpOrigin(server.address)
                self.assertIsNone(await http_origin.manifest('m', 1))
                found = await http_origin.piece('m', 1, 0)
                self.assertEqual(weights.Piece(None), found)

        asyncio.run(run_calls())


class DirectoryTest(testtools.TestCase):
    """The directory of entries and the readiness probe."""

    class FakeEntryDirectory:
        """Directory that lists one entry, which is not ready."""

        is_ready = False

        def __init__(self) -> None:
            self.queries: list[direct_directory.Query] = []

        def listed_addresses(
            self, now: float, query: direct_directory.Query
        ) -> list[str]:
            """Return one address."""
            self.queries.append(query)
            return ['10.0.0.1:80']

        def list_ttl_seconds(self, now: float) -> float:
            """Return how long to cache the list."""
            return 1.5

    def test_answers(self) -> None:
        """Both paths are answered; any other path yields 404."""
        entry_directory = self.FakeEntryDirectory()
        handler = directory.HttpDirectory().create_handler(entry_directory)
        sent: list[tuple[int, bytes]] = []

        class Reply:
            def send(self, status: int, pairs: object, body: bytes) -> None:
                sent.append((status, body))

        async def run_calls() -> None:
            for target in (
                b'/api/resolve?name=h&region=north&zone=north-1',
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

        asyncio.run(run_calls())
        self.assertEqual([200, 503, 404], [status for status, _ in sent])
        self.assertEqual(
            {'addresses': ['10.0.0.1:80'], 'ttlS': 1.5},
            json.loads(sent[0][1]),
        )
        self.assertEqual(
            [direct_directory.Query(b'h', 'north')], entry_directory.queries
        )
