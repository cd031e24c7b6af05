"""Tests of the stand-ins as programs."""

from __future__ import annotations

import json
import subprocess
import sys

import testtools
import urllib3

from clementinepass import errors
from clementinepass.endpoints import engine
from tests import tables
from tests.endpoints import contracts

_END_TIMEOUT = 20


@tables.expand
class ProgramTest(testtools.TestCase):
    """Each program says where it listens, answers, and ends when told to."""

    def start(self, name, *arguments):
        process = subprocess.Popen(
            [sys.executable, '-m', f'standins.{name}', *arguments],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, json.loads(process.stdout.readline())['listening']

    @tables.cases(
        log_service='/v1/streams/s/records',
        instance_list='/v1/instances',
        weight_store=None,
        origin='/v1/counters',
        engine='/v1/status',
        service='/control/runs',
    )
    def test_starts_and_ends(self, path):
        """A program serves until SIGTERM and then ends well."""
        name = self.id().rpartition('test_starts_and_ends_')[2]
        process, address = self.start(name, '--listen', '127.0.0.1:0')
        if path:
            answer = urllib3.request('GET', f'http://{address}{path}')
            self.assertEqual(200, answer.status)
        process.terminate()
        self.assertEqual(0, process.wait(_END_TIMEOUT))

    def test_crash(self):
        """A single request crashes each engine that runs it.

        The connection breaks, the process is gone, and whether the request
        was run cannot be told; the next call finds nothing that listens.
        """
        process, address = self.start(
            'engine', '--serves', 'v1', '--crash-on', 'boom'
        )
        adapter = engine.HttpEngine(address)
        contracts.read_body(adapter.call(contracts.completion_call()))
        error = self.assertRaises(
            errors.EndpointError,
            adapter.call,
            contracts.completion_call(prompt='it goes boom'),
        )
        self.assertEqual(errors.Execution.MAY_HAVE_RUN, error.execution)
        self.assertNotEqual(0, process.wait(_END_TIMEOUT))
        error = self.assertRaises(
            errors.EndpointError, adapter.call, contracts.completion_call()
        )
        self.assertEqual(errors.Execution.NOT_RUN, error.execution)
