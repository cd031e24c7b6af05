"""Tests of the instance list's contract and of its adapter under faults."""

from __future__ import annotations

import msgspec
import testtools

from clementinepass import errors
from clementinepass.platform import instance_list, protocols
from standins import instance_list as standin
from standins import memory
from tests import serving, tables

_ENTRY = protocols.Instance(
    id='e1',
    role=protocols.Role.ENTRY,
    address='127.0.0.1:7001',
    region='rw',
    failure_domain='kigali',
    callers_address='127.0.0.1:8001',
    serves='lamps',
)
_AGENT = protocols.Instance(
    id='a1',
    role=protocols.Role.AGENT,
    address='[::1]:7002',
    region='sk',
    failure_domain='trnava',
)


class InstanceContract:
    """Contract of all instance lists."""

    def test_shows_changes(self):
        """Added, changed and removed instances are listed accordingly."""
        self.assertEqual((), self.list_service.instances())
        self.put(_ENTRY)
        self.put(_AGENT)
        self.assertEqual({_ENTRY, _AGENT}, set(self.list_service.instances()))
        leaving = msgspec.structs.replace(
            _AGENT, state=protocols.InstanceState.LEAVING
        )
        self.put(leaving)
        self.remove('e1')
        self.assertEqual((leaving,), self.list_service.instances())

    def test_outage(self):
        """An outage raises an error and never yields an empty list.

        With an empty list, all endpoints would seem to be gone at once.
        """
        self.put(_ENTRY)
        self.outage(on=True)
        self.assertRaises(
            errors.PlatformUnavailableError, self.list_service.instances
        )
        self.outage(on=False)
        self.assertEqual((_ENTRY,), self.list_service.instances())


class MemoryInstancesTest(InstanceContract, testtools.TestCase):
    """The in-memory fake fulfils the contract."""

    def setUp(self):
        super().setUp()
        self.list_service = memory.MemoryInstanceList()
        self.put = self.list_service.put
        self.remove = self.list_service.remove

    def outage(self, on):
        self.list_service.outage = on


def _list(**changes):
    instance = {**msgspec.to_builtins(_ENTRY), **changes}
    return msgspec.json.encode({'instances': [instance]}).decode()


@tables.expand
class HttpInstancesTest(InstanceContract, testtools.TestCase):
    """The adapter and the stand-in together fulfil the contract."""

    def setUp(self):
        super().setUp()
        handlers = standin.InstanceHandlers(standin.InstanceStore())
        self.address = serving.serve(self, handlers.application())
        self.list_service = instance_list.HttpInstanceList(self.address)
        self.addCleanup(self.list_service.close)

    def put(self, instance):
        path = f'/v1/instances/{instance.id}'
        body = msgspec.json.encode(instance)
        serving.control(self.address, path, body, method='PUT')

    def remove(self, instance_id):
        path = f'/v1/instances/{instance_id}'
        serving.control(self.address, path, b'', method='DELETE')

    def outage(self, on):
        serving.order(self.address, outage=on)

    @tables.cases(
        no_json='nonsense',
        no_list='{}',
        unknown_role=_list(role='king'),
        unknown_state=_list(state='asleep'),
        unknown_field=_list(colour='red'),
        missing_field='{"instances":[{"id":"e1"}]}',
        host_name=_list(address='localhost:7001'),
        no_port=_list(address='127.0.0.1'),
        port_zero=_list(address='127.0.0.1:0'),
        huge_port=_list(address='127.0.0.1:70000'),
        odd_digit=_list(address='127.0.0.1:7²'),
        bad_callers_address=_list(callers_address='here'),
        twice=_list()[:-2] + ',' + _list()[len('{"instances":[') :],
    )
    def test_malformed(self, body):
        """A list that violates the protocol is rejected."""
        fault = serving.fault('replace', body=body)
        serving.order(self.address, faults=(fault,))
        error = self.assertRaises(
            errors.MalformedMessageError, self.list_service.instances
        )
        self.assertEqual(self.address, error.peer)


class LagTest(testtools.TestCase):
    """The stand-in lists changes with a delay and in order."""

    def test_lag(self):
        """A change is listed once the lag has passed, and not before."""
        store = standin.InstanceStore(lag=5)
        store.put(_ENTRY, now=0)
        store.delete('e1', now=2)
        self.assertEqual((), store.shown(now=4.9))
        self.assertEqual((_ENTRY,), store.shown(now=5))
        self.assertEqual((), store.shown(now=7))
