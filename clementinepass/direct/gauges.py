"""Metrics of the cluster state, computed when they are read."""

from __future__ import annotations

import asyncio
import typing

import aioprometheus

from clementinepass.direct import records

if typing.TYPE_CHECKING:
    from clementinepass.direct import cluster_state, follower, gossip
    from clementinepass.http import held_memory, open_connections


class Gauges:
    """Gauges of the cluster state and its age.

    :param registry: where the gauges are registered.
    :param cluster: the state of the cluster.
    :param followers: the readers of the store, by topic.
    :param peers: the other entries.
    :param memory: the bytes held for clients.
    :param connections: the open connections of clients.
    """

    __slots__ = (
        '_store_answer_age',
        '_cluster',
        '_cold_endpoints',
        '_endpoints',
        '_evacuated_domains',
        '_followers',
        '_forgotten_answers',
        '_held_bytes',
        '_open_connections',
        '_shed_connections',
        '_memory',
        '_connections',
        '_record_bytes',
        '_limited_endpoints',
        '_members',
        '_paused_endpoints',
        '_peers',
        '_configuration_version',
        '_crash_decisions',
        '_crashes',
        '_quarantined',
    )

    def __init__(
        self,
        registry: aioprometheus.Registry,
        cluster: cluster_state.ClusterState,
        followers: dict[records.Topic, follower.Follower],
        peers: gossip.Peers,
        memory: held_memory.HeldMemory | None = None,
        connections: open_connections.OpenConnections | None = None,
    ) -> None:
        self._cluster = cluster
        self._followers = followers
        self._peers = peers
        self._memory = memory
        self._connections = connections
        self._configuration_version = aioprometheus.Gauge(
            'clementinepass_configuration_version',
            'Configuration in force; 0 while none is known.',
            registry=registry,
        )
        self._endpoints = aioprometheus.Gauge(
            'clementinepass_endpoints',
            'Endpoints that may be used.',
            registry=registry,
        )
        self._paused_endpoints = aioprometheus.Gauge(
            'clementinepass_paused_endpoints',
            'Endpoints paused by this entry, as they turned requests away.',
            registry=registry,
        )
        self._limited_endpoints = aioprometheus.Gauge(
            'clementinepass_limited_endpoints',
            'Endpoints that name a limit of requests in their answers.',
            registry=registry,
        )
        self._cold_endpoints = aioprometheus.Gauge(
            'clementinepass_cold_endpoints',
            'Endpoints that are cold, so that entries share a limit.',
            registry=registry,
        )
        self._evacuated_domains = aioprometheus.Gauge(
            'clementinepass_evacuated_domains',
            'Failure domains that the operator evacuates.',
            registry=registry,
        )
        self._members = aioprometheus.Gauge(
            'clementinepass_members',
            'Other entries that are there.',
            registry=registry,
        )
        self._store_answer_age = aioprometheus.Gauge(
            'clementinepass_store_answer_age_seconds',
            "Time since the store's last answer, here or to who reads for it.",
            registry=registry,
        )

        self._held_bytes = aioprometheus.Gauge(
            'clementinepass_held_bytes',
            'Bytes of bodies and answers that are held for callers and '
            'endpoints; refused near a bound of two fifths of the memory.',
            registry=registry,
        )
        self._open_connections = aioprometheus.Gauge(
            'clementinepass_open_connections',
            'Open connections of clients to all ports.',
            registry=registry,
        )
        self._shed_connections = aioprometheus.Counter(
            'clementinepass_shed_connections_total',
            'Connections of clients refused or closed for lack of memory or '
            'descriptors, by reason.',
            registry=registry,
        )
        self._crash_decisions = aioprometheus.Counter(
            'clementinepass_crash_decisions_total',
            'Decisions on crashes under requests, by what became of them.',
            registry=registry,
        )
        self._forgotten_answers = aioprometheus.Counter(
            'clementinepass_forgotten_answers_total',
            'Prompt parts of answers that were forgotten early, as there were '
            'too many; crashes may be put down to them.',
            registry=registry,
        )
        self._crashes = aioprometheus.Gauge(
            'clementinepass_known_crashes',
            'Crashes that are kept as evidence, other entries included.',
            registry=registry,
        )
        self._quarantined = aioprometheus.Gauge(
            'clementinepass_quarantined',
            'Requests and combinations of prompt parts that are refused, as '
            'endpoints crashed under them.',
            registry=registry,
        )
        self._record_bytes = aioprometheus.Gauge(
            'clementinepass_record_bytes',
            'Bytes of records received from the store and from processes of '
            'the same region and of others.',
            registry=registry,
        )

    def update(self) -> None:
        """Set the gauges to the current state."""
        now = asyncio.get_running_loop().time()
        configuration = self._cluster.routing
        self._configuration_version.set(
            {}, 0 if configuration is None else configuration.version
        )
        usable = sum(
            endpoint.is_usable(now) for endpoint in self._cluster.endpoints
        )
        self._endpoints.set({}, usable)
        paused = sum(
            endpoint.backoff.is_paused(now)
            for endpoint in self._cluster.endpoints
        )
        self._paused_endpoints.set({}, paused)
        limited = sum(
            endpoint.rate_limit.is_named for endpoint in self._cluster.endpoints
        )
        self._limited_endpoints.set({}, limited)
        cold = sum(
            endpoint.cold_until > now for endpoint in self._cluster.endpoints
        )
        self._cold_endpoints.set({}, cold)
        self._evacuated_domains.set({}, len(self._cluster.evacuated.domains))
        self._members.set({}, len(self._peers.members.alive(now)))
        self._update_crash_evidence(now)
        self._update_shedding()
        for topic, topic_follower in self._followers.items():
            for source in records.Source:
                self._record_bytes.set(
                    {'topic': topic.value, 'source': source.value},
                    topic_follower.received_bytes_by_source[source],
                )
            if topic_follower.last_contact:
                age = round(now - topic_follower.last_contact, 3)
                self._store_answer_age.set({'topic': topic.value}, age)

    def _update_shedding(self) -> None:
        if self._memory is not None:
            self._memory.measure()
            self._held_bytes.set({}, self._memory.held)
            self._set_shed('memory', self._memory.given_up_count)
            self._set_shed('unread', self._memory.cut_off_count)
        if self._connections is not None:
            self._open_connections.set({}, len(self._connections))
            self._set_shed('replaced', self._connections.closed_count)
            self._set_shed('refused', self._connections.refused_count)

    def _set_shed(self, reason: str, count: int) -> None:
        self._shed_connections.set({'reason': reason}, count)

    def _update_crash_evidence(self, now: float) -> None:
        evidence = self._cluster.crash_evidence
        self._crashes.set({}, evidence.crash_count)
        self._forgotten_answers.set({}, evidence.forgotten_answers)
        self._quarantined.set(
            {'kind': 'request'}, evidence.count_quarantined(now)
        )
        self._quarantined.set(
            {'kind': 'parts'}, evidence.count_quarantined_causes(now)
        )
        for decision, count in evidence.log.counts_by_decision.items():
            self._crash_decisions.set({'decision': decision.value}, count)
