"""Tests of the callers' interface with bad input, over real sockets."""

from __future__ import annotations

import socket

import msgspec
import testtools

from standins import system as systems

_HEAD = (
    'POST /v1/services/dispatches/x HTTP/1.1\r\nHost: x\r\n'
    f'Authorization: Bearer {systems.KEY}\r\nConnection: close\r\n'
)


class EdgesTest(testtools.TestCase):
    """Bad input gets an answer, and the entry goes on serving."""

    @classmethod
    def setUpClass(cls) -> None:
        """Start one entry before one plain service."""
        super().setUpClass()
        cls.system = systems.System(systems.Shape(entries=1, engines=0))
        cls.system.__enter__()
        cls.addClassCleanup(cls.system.__exit__)
        folder = cls.system.write_configuration('none', 'a' * 64)
        cls.system.publish_configuration(folder)
        cls.system.await_serving('none')

    def _send(self, raw: bytes) -> bytes:
        host, _, port = self.system.callers['entry-0'].rpartition(':')
        with socket.create_connection((host, int(port)), 20) as connection:
            connection.sendall(raw)
            connection.shutdown(socket.SHUT_WR)
            answer = b''
            while piece := connection.recv(65536):
                answer += piece
        return answer

    def test_raw_requests(self) -> None:
        """Malformed HTTP is refused with a 4xx, or dropped when cut off."""
        table = (
            (b'\x00\xff\x00\xff\r\n\r\n', b'400'),
            (b'GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n', b'400'),
            (f'{_HEAD}Content-Length: nine\r\n\r\n'.encode(), b'400'),
            (f'{_HEAD}Content-Length: 9999999999\r\n\r\n'.encode(), b'413'),
            (f'{_HEAD}Content-Length: -4\r\n\r\n'.encode(), b'400'),
            (f'{_HEAD}Content-Length: 50\r\n\r\nshort'.encode(), b'400'),
        )
        for raw, status in table:
            self.assertIn(status, self._send(raw).partition(b'\r\n')[0], raw)

    def test_oversized_and_foreign(self) -> None:
        """Each refusal says what was wrong and that nothing was run."""
        call = self.system.call
        path = '/v1/services/dispatches/x'
        table = (
            (call('entry-0', 'POST', path, b'x' * 1_000_001), 413),
            (call('entry-0', 'GET', '/v1/nothing'), 404),
            (
                call('entry-0', 'GET', path, None, {'Authorization': 'B a'}),
                401,
            ),
            (
                call(
                    'entry-0', 'GET', path, None, {'Authorization': 'Bearer q'}
                ),
                401,
            ),
        )
        for answer, status in table:
            self.assertEqual(status, answer.status)
            problem = msgspec.json.decode(answer.body)
            self.assertEqual('not_run', problem['execution'])
            self.assertEqual('entry-0', problem['peer'])

    def test_path_is_passed_on_as_written(self) -> None:
        """An escaped path reaches the service as the caller wrote it.

        A user sees: the crew of station ``3?`` can't be found. The entry
        passed on the path unescaped, so a part of it became a query.
        """
        path = '/v1/services/dispatches/a%3Fb/%25/c%2Fd'
        answer = self.system.call('entry-0', 'GET', f'{path}?q=%26')
        served = msgspec.json.decode(answer.body)['path']
        # The service's server unescapes once, and leaves slashes alone.
        self.assertEqual('/a?b/%/c%2Fd', served)

    def test_serves_afterwards(self) -> None:
        """Noise on the peers' port and on the callers' port harms nobody."""
        for use in ('peers', 'metrics'):
            address = self.system.by_name['entry-0'].listening()[use]
            host, _, port = address.rpartition(':')
            with socket.create_connection((host, int(port)), 20) as foreign:
                foreign.sendall(b'\xff' * 4096)
        answer = self.system.call(
            'entry-0',
            'POST',
            '/v1/services/dispatches/x',
            b'{}',
        )
        self.assertEqual(200, answer.status)


class StartingTest(testtools.TestCase):
    """An entry that knows nothing yet says so."""

    def test_no_configuration_yet(self) -> None:
        """A good key is not called unknown before any key is known.

        A user sees: 401 from an entry that was just replaced, and gives up.
        It listened before it had read the log.
        """
        shape = systems.Shape(entries=1, engines=0, services=0)
        with systems.System(shape) as system:
            answer = system.call(
                'entry-0',
                'POST',
                '/v1/services/dispatches/x',
                b'{}',
            )
        problem = msgspec.json.decode(answer.body)
        self.assertEqual((503, 'starting'), (answer.status, problem['reason']))
        self.assertIn('Retry-After', answer.headers)
