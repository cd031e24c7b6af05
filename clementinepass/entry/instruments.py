"""Metrics of an entry, by team and class."""

from __future__ import annotations

import typing

import aioprometheus

if typing.TYPE_CHECKING:
    from clementinepass.requests import identity, problem

_FIRST_TOKEN_BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.87, 1.5, 3.0, 10.0, float('inf'),
)  # fmt: skip
_BETWEEN_BUCKETS = (
    0.005, 0.01, 0.02, 0.04, 0.078, 0.15, 0.3, 1.0, float('inf'),
)  # fmt: skip
_TOTAL_BUCKETS = (
    0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, float('inf'),
)  # fmt: skip


class Sender(typing.NamedTuple):
    """Whom a request came from; empty where that is not known."""

    team: str = ''
    #: The request's class.
    priority: str = ''

    @classmethod
    def of(cls, request: identity.Request) -> Sender:
        """Return the sender of a request that was read."""
        return cls(request.team, request.priority.value)

    @property
    def labels(self) -> dict[str, str]:
        """Return the labels of the sender's metrics."""
        return {'team': self.team, 'class': self.priority}


class Instruments:
    """What an entry counts and measures; to be used on the event loop."""

    def __init__(self, registry: aioprometheus.Registry) -> None:
        self._first_token = aioprometheus.Histogram(
            'clementinepass_first_token_seconds',
            'Time from dispatch to the first piece of the answer.',
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=registry,
        )
        self._between = aioprometheus.Histogram(
            'clementinepass_between_tokens_seconds',
            'Time between two pieces of a streamed answer.',
            buckets=_BETWEEN_BUCKETS,
            registry=registry,
        )
        self._queue_wait = aioprometheus.Histogram(
            'clementinepass_queue_wait_seconds',
            'Time that a request waited for admission.',
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=registry,
        )
        self._total = aioprometheus.Histogram(
            'clementinepass_request_seconds',
            'Time from a request to the end of its answer.',
            buckets=_TOTAL_BUCKETS,
            registry=registry,
        )
        self._refusals = aioprometheus.Counter(
            'clementinepass_refusals_total',
            'Requests refused, by reason.',
            registry=registry,
        )
        self._failures = aioprometheus.Counter(
            'clementinepass_failures_total',
            'Requests that failed after a dispatch, by reason and execution.',
            registry=registry,
        )
        self._gate_refusals = aioprometheus.Counter(
            'clementinepass_gate_refusals_total',
            "Attempts refused by an agent's gate, by reason.",
            registry=registry,
        )
        self._retries = aioprometheus.Counter(
            'clementinepass_retries_total',
            'Requests sent again after a failed attempt.',
            registry=registry,
        )
        self._revision = aioprometheus.Gauge(
            'clementinepass_configuration_revision',
            'Configuration revision in force.',
            registry=registry,
        )

    def first_token(self, request: identity.Request, seconds: float) -> None:
        """Note the time to the first piece of an answer."""
        self._first_token.observe(_labels(request), seconds)

    def between(self, request: identity.Request, seconds: float) -> None:
        """Note the time between two pieces of an answer."""
        self._between.observe(_labels(request), seconds)

    def waited(self, request: identity.Request, seconds: float) -> None:
        """Note the time that a request waited for admission."""
        self._queue_wait.observe(_labels(request), seconds)

    def ended(self, request: identity.Request, seconds: float) -> None:
        """Note the time of a whole request."""
        self._total.observe(_labels(request), seconds)

    def told(self, sender: Sender, final: problem.Problem) -> None:
        """Count a problem that a caller was told, a refusal or a failure."""
        labels = {**sender.labels, 'reason': final.reason.value}
        if final.is_failure:
            labels['execution'] = final.execution.value
            self._failures.inc(labels)
        else:
            self._refusals.inc(labels)

    def gate_refused(self, reason: str) -> None:
        """Count an attempt that a gate refused."""
        self._gate_refusals.inc({'reason': reason})

    def retried(self, request: identity.Request) -> None:
        """Count a request that is sent again after a failed attempt."""
        self._retries.inc(_labels(request))

    def revision(self, revision: int) -> None:
        """Note the configuration revision in force."""
        self._revision.set({}, revision)


def _labels(request: identity.Request) -> dict[str, str]:
    return Sender.of(request).labels
