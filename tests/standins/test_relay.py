"""Tests of the relays: what they do to connections, mode by mode."""

from __future__ import annotations

import json
import socket
import socketserver
import subprocess
import sys
import threading
import time

import msgspec
import testtools
import urllib3

from standins import relay, relays
from tests import serving, tables

_SILENCE = 0.2
_Mode = relay.Mode
_Scope = relay.Scope


class _Echo(socketserver.BaseRequestHandler):
    def handle(self):
        while piece := self.request.recv(65536):
            self.request.sendall(piece)


class _EchoServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    block_on_close = False


class RelayCase(testtools.TestCase):
    """Has an echo server behind a relay."""

    def setUp(self):
        super().setUp()
        echo = _EchoServer(('127.0.0.1', 0), _Echo)
        threading.Thread(target=echo.serve_forever, daemon=True).start()
        self.addCleanup(echo.server_close)
        self.addCleanup(echo.shutdown)
        self.target = '127.0.0.1:{0}'.format(echo.server_address[1])
        self.relays = relays.Relays()
        self.relays.__enter__()
        self.addCleanup(self.relays.__exit__, None, None, None)
        self.address = self.relays.add(relays.RelaySpec('r', self.target))

    def follow(self, mode=_Mode.PASS, **details):
        self.relays.follow('r', relay.Rules(mode=mode, **details))

    def connect(self):
        host, _, port = self.address.rpartition(':')
        connection = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(connection.close)
        return connection

    def established(self):
        connection = self.connect()
        self.assertEqual(b'x', echoed(connection, b'x'))
        return connection


def echoed(connection, content):
    """Send bytes and return as many that come back, or all until the end."""
    threading.Thread(target=connection.sendall, args=(content,)).start()
    received = b''
    while len(received) < len(content):
        piece = connection.recv(65536)
        if not piece:
            break
        received += piece
    return received


def fate(connection):
    """Tell what becomes of a byte that is sent."""
    connection.settimeout(_SILENCE)
    try:
        connection.sendall(b'y')
        piece = connection.recv(10)
    except TimeoutError:
        return 'silent'
    except ConnectionError:
        return 'closed'
    return 'passed' if piece == b'y' else 'closed'


@tables.expand
class ModeTest(RelayCase):
    """What each mode does to connections that stand, and to new ones."""

    @tables.cases(
        passing=(_Mode.PASS, _Scope.ALL, 'passed', 'passed'),
        cut_all=(_Mode.CUT, _Scope.ALL, 'closed', 'closed'),
        cut_established=(_Mode.CUT, _Scope.ESTABLISHED, 'closed', 'passed'),
        silence_all=(_Mode.SILENCE, _Scope.ALL, 'silent', 'silent'),
        silence_established=(
            _Mode.SILENCE,
            _Scope.ESTABLISHED,
            'silent',
            'passed',
        ),
    )
    def test_mode(self, case):
        """The mode takes effect at once, and ends for new connections."""
        mode, scope, old_fate, new_fate = case
        old = self.established()
        self.follow(mode, scope=scope)
        self.assertEqual(old_fate, fate(old))
        self.assertEqual(new_fate, fate(self.connect()))
        self.follow()
        self.assertEqual('passed', fate(self.connect()))
        # What was lost track of stays lost.
        self.assertEqual(old_fate, fate(old))

    def test_refuse(self):
        """Nothing listens any more, until the relay passes again."""
        old = self.established()
        self.follow(_Mode.REFUSE)
        self.assertEqual('closed', fate(old))
        self.assertRaises(ConnectionRefusedError, self.connect)
        self.follow()
        self.assertEqual('passed', fate(self.connect()))

    def test_silent_end_stays_unseen(self):
        """One end of a silent connection closes; the other isn't told."""
        old = self.established()
        self.follow(_Mode.SILENCE)
        old.shutdown(socket.SHUT_WR)
        old.settimeout(_SILENCE)
        self.assertRaises(TimeoutError, old.recv, 1)

    def test_target_gone(self):
        """With nothing behind the relay, connections are closed."""
        gone = relays.RelaySpec('gone', serving.closed_address())
        self.address = self.relays.add(gone)
        self.assertEqual('closed', fate(self.connect()))


class PassTest(RelayCase):
    """Bytes that pass are the same, late, slower or changed by a seed."""

    content = bytes(range(256)) * 2000

    def test_whole(self):
        """All bytes pass both ways; an end passes after them."""
        connection = self.connect()
        self.assertEqual(self.content, echoed(connection, self.content))
        connection.sendall(b'last')
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(b'last', connection.recv(10))
        self.assertEqual(b'', connection.recv(10))
        counters = self.relays.states()[0].counters
        size = len(self.content) + 4
        self.assertEqual(relay.Counters(1, size, size), counters)

    def test_delay(self):
        """A byte takes at least the delay each way."""
        connection = self.established()
        self.follow(delay_ms=60)
        begun = time.monotonic()
        self.assertEqual(b'z', echoed(connection, b'z'))
        self.assertGreaterEqual(time.monotonic() - begun, 0.12)

    def test_rate(self):
        """Connections share the speed of a direction."""
        connections = [self.established() for _ in range(2)]
        self.follow(bytes_per_s=2_000_000)
        begun = time.monotonic()
        threads = [
            threading.Thread(target=echoed, args=(connection, self.content))
            for connection in connections
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertGreaterEqual(time.monotonic() - begun, 0.4)

    def test_corrupt(self):
        """Some bytes change, none is lost, and the seed decides which."""
        received = []
        for name in ('a', 'b'):
            rules = relay.Rules(corrupt=0.001, seed=7)
            spec = relays.RelaySpec(name, self.target, rules=rules)
            self.address = self.relays.add(spec)
            received.append(echoed(self.connect(), self.content))
        self.assertEqual(received[0], received[1])
        pairs = zip(self.content, received[0], strict=True)
        changed = sum(sent != got for sent, got in pairs)
        self.assertTrue(500 < changed < 2000, changed)


class ProgramTest(RelayCase):
    """The relays as a program."""

    def test_control(self):
        """Relays come from the standard input, and follow control calls."""
        process = subprocess.Popen(
            [sys.executable, '-m', 'standins.relays', '--config', '-'],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        spec = relays.RelaySpec('p', self.target)
        process.stdin.write(msgspec.json.encode([spec]))
        process.stdin.close()
        control = json.loads(process.stdout.readline())['listening']
        url = f'http://{control}/v1/relays'
        answer = urllib3.request('GET', url).json()
        self.address = answer['relays'][0]['listen']
        self.assertEqual('passed', fate(self.established()))
        body = msgspec.json.encode(relay.Rules(mode=_Mode.REFUSE))
        serving.control(control, '/v1/relays/p', body, method='PUT')
        self.assertRaises(ConnectionRefusedError, self.connect)
        answer = urllib3.request('PUT', f'{url}/unknown', body=body)
        self.assertEqual(404, answer.status)
        process.terminate()
        self.assertEqual(0, process.wait(20))
