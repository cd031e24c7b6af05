"""Metrics of an agent."""

from __future__ import annotations

import typing

import aioprometheus

if typing.TYPE_CHECKING:
    from clementinepass.wire import messages


class Instruments:
    """Show an agent's state as metrics; to be used on the event loop."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._bytes = aioprometheus.Counter(
            'clementinepass_weight_bytes_total',
            'Bytes of weights fetched, by source.',
            registry=registry,
        )
        self._running = aioprometheus.Gauge(
            'clementinepass_running',
            'Attempts in flight at the endpoint.',
            registry=registry,
        )
        self._capacity = aioprometheus.Gauge(
            'clementinepass_capacity',
            'Most attempts in flight that the gate admits.',
            registry=registry,
        )
        self._phase = aioprometheus.Gauge(
            'clementinepass_phase',
            '1 for the phase that the agent is in.',
            registry=registry,
        )
        self._revision = aioprometheus.Gauge(
            'clementinepass_configuration_revision',
            'Configuration revision in force.',
            registry=registry,
        )
        self._chunks = aioprometheus.Gauge(
            'clementinepass_chunks',
            'Chunks of the version wanted, held and in all.',
            registry=registry,
        )
        self._last_phase = ''

    def update(self, state: messages.AgentState) -> None:
        """Take over an agent's state."""
        self._bytes.set({'source': 'origin'}, state.bytes_origin)
        self._bytes.set({'source': 'peer'}, state.bytes_peers)
        self._bytes.set({'source': 'store'}, state.bytes_store)
        target = {'serves': state.serves}
        self._running.set(target, state.running)
        self._capacity.set(target, state.capacity)
        self._revision.set({}, state.revision)
        self._chunks.set({'kind': 'held'}, state.chunks_held)
        self._chunks.set({'kind': 'wanted'}, state.chunks_wanted)
        if self._last_phase:
            self._phase.set({'phase': self._last_phase}, 0)
        self._last_phase = state.phase.value
        self._phase.set({'phase': self._last_phase}, 1)
