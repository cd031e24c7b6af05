"""Tests of the adapter for plain services: contract and faults."""

from __future__ import annotations

import http.server
import threading

import testtools

from clementinepass import errors
from clementinepass.endpoints import protocols, service, transport
from standins import memory_endpoints
from standins import service as standin
from tests import serving, tables
from tests.endpoints import contracts

_SHORT_LIMITS = transport.Limits(
    read_timeout=2, control_timeout=2, answer_bytes=1000
)
_CALL = protocols.Call('r1', 'POST', '/dispatch', b'{}', timeout=2)


class MemoryServiceTest(contracts.ServiceContract, testtools.TestCase):
    """The in-memory fake fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.service = memory_endpoints.MemoryService()


@tables.expand
class HttpServiceTest(contracts.ServiceContract, testtools.TestCase):
    """The adapter fulfils the contract against the stand-in."""

    def setUp(self):
        super().setUp()
        application = standin.ServiceHandlers().application()
        self.address = serving.serve(self, application)
        self.service = service.HttpService(self.address, _SHORT_LIMITS)

    @tables.cases(
        dropped=('drop_before', 1, {}),
        answer_lost=('drop_after', 2, {}),
        silent=('silence_before', 1, {'seconds': 5}),
        silent_answer=('silence_after', 2, {'seconds': 5}),
        truncated=('truncate', 2, {}),
        stalled=('stall', 2, {'seconds': 5}),
        wrong_length=('wrong_length', 2, {}),
        oversized=('replace', 2, {'body': 'a' * 1001}),
    )
    def test_fault(self, case):
        """A lost answer leaves open whether the call was run.

        The error says so in either case, and the adapter does not send the
        call again: the next run is the one that the caller requests.
        """
        kind, next_run, details = case
        fault = serving.fault(kind, **details)
        serving.order(self.address, faults=(fault,))
        error = self.assertRaises(errors.EndpointError, self.attempt)
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        self.assertIn(f'"run":{next_run},'.encode(), self.attempt())

    def attempt(self):
        return contracts.read_body(self.service.call(_CALL))

    def test_status_is_passed_on(self):
        """An error status of the service is returned as its answer."""
        fault = serving.fault('status', status=404)
        serving.order(self.address, faults=(fault,))
        self.assertEqual(404, self.service.call(_CALL).head.status)

    def test_connections_are_not_reused(self):
        """Calls and health checks open new connections.

        A service may close an idle connection just as a request is written to
        it. The sender could not tell whether a call was run, and a health
        check would take the service for dead.
        """
        connections = []

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self):
                connections.append(self.client_address)
                super().setup()

            def do_GET(self):
                self.send_response(200)
                self.send_header('Content-Length', '0')
                self.end_headers()

            def log_message(self, *arguments):
                pass

        server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        adapter = service.HttpService(
            '127.0.0.1:{0}'.format(server.server_address[1])
        )
        for _ in range(2):
            self.assertTrue(adapter.is_healthy())
        self.assertEqual(2, len(connections))
        for _ in range(3):
            call = protocols.Call('r1', 'GET', '/', b'')
            contracts.read_body(adapter.call(call))
        self.assertEqual(5, len(connections))

    def test_connection_refused(self):
        """Only a refused connection proves that nothing was run."""
        unreachable = service.HttpService(
            serving.closed_address(), _SHORT_LIMITS
        )
        error = self.assertRaises(errors.EndpointError, unreachable.call, _CALL)
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)
        self.assertFalse(unreachable.is_healthy())
