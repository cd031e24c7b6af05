"""The causes with which requests end, and the sentences that explain them."""

from __future__ import annotations

import enum


class Cause(enum.Enum):
    """The cause of a request's outcome, as far as the log lines prove it."""

    #: The request was answered.
    ANSWERED = 'answered'

    # The caller or its connection.
    CALLER_LEFT = 'caller_left'
    CALLER_GAVE_UP = 'caller_gave_up'
    CALLER_DEADLINE = 'caller_deadline'
    CONNECTION_RESET = 'connection_reset'
    CONNECTION_LOST = 'connection_lost'
    SLOW_READER = 'slow_reader'
    MALFORMED = 'malformed'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_ROUTE = 'unknown_route'

    # The configuration.
    KEY_WITHDRAWN = 'key_withdrawn'
    ROUTE_WITHDRAWN = 'route_withdrawn'
    NO_SERVICE = 'no_service'

    # The entry and its limits.
    STARTING = 'starting'
    DRAINING = 'leaving'
    CUT_AT_SHUTDOWN = 'cut_at_end'
    PROCESS_KILLED = 'process_gone'
    INTERNAL_ERROR = 'own_fault'
    DEADLINE = 'deadline'
    ROUTE_TIMEOUT = 'route_time'
    RETRY_BUDGET_SPENT = 'budget'

    # Endpoints.
    QUARANTINED = 'quarantined'
    OVERLOAD = 'overload'
    NO_ENDPOINT = 'no_endpoint'
    NO_WEIGHTS = 'no_weights'
    REGION_NOT_ALLOWED = 'region_not_allowed'
    EVACUATED = 'evacuated'
    MEMORY_FULL = 'memory_full'
    ALL_PAUSED = 'all_paused'
    ALL_LIMITED = 'all_limited'
    REJECTED = 'turned_away'
    MISDIRECTED = 'misdirected'
    UNREACHABLE = 'unreachable'
    ENDPOINT_CONNECTION_LOST = 'endpoint_lost'
    ENDPOINT_CLOSED = 'endpoint_ended'
    ENDPOINT_SILENT = 'endpoint_silent'
    ENDPOINT_MALFORMED = 'endpoint_spoilt'
    ENDPOINT_FAILED = 'endpoint_failed'
    WEIGHTS_TOO_OLD = 'weights_too_old'
    ENGINE_LOADING = 'took_up_weights'

    UNKNOWN = 'not_known'


#: One sentence for each cause, in which ``it`` and ``its`` stand for the
#: request. A name in braces is a field of the log line that proves the cause.
SENTENCE_BY_CAUSE = {
    Cause.ANSWERED: (
        'the complete answer was written to the connection of its caller'
    ),
    Cause.CALLER_LEFT: (
        'its caller closed the connection after {waited} s without an event, '
        '{left} s before the deadline'
    ),
    Cause.CALLER_GAVE_UP: (
        'its caller disconnected after {waited} s without an event; callers '
        'wait {patience} s'
    ),
    Cause.CALLER_DEADLINE: (
        'its caller disconnected when its time was over, {seconds} s after '
        'sending the request'
    ),
    Cause.CONNECTION_RESET: (
        "the connection was reset from its caller's side, {waited} s after the "
        'last event; whether the caller itself sent the reset is not known'
    ),
    Cause.CONNECTION_LOST: 'its caller could not be reached any longer',
    Cause.SLOW_READER: (
        'its deadline passed while its caller had yet to read data already sent'
    ),
    Cause.MALFORMED: 'the request lacks a required part, or says it wrongly',
    Cause.UNKNOWN_KEY: (
        'no configuration known to this entry contained its key '
        '({configuration} was in force), as of a read of the store {store_age} '
        's before'
    ),
    Cause.UNKNOWN_ROUTE: (
        'no configuration known to this entry contained its route '
        '({configuration} was in force), as of a read of the store {store_age} '
        's before'
    ),
    Cause.KEY_WITHDRAWN: (
        'its key was removed: configuration {last_in} had it, '
        '{configuration} has not'
    ),
    Cause.ROUTE_WITHDRAWN: (
        'its route was removed: configuration {last_in} had it, '
        '{configuration} has not'
    ),
    Cause.NO_SERVICE: (
        'the configuration routes it to service {service}, which it does not '
        'define'
    ),
    Cause.STARTING: 'the entry had just started and had no configuration',
    Cause.DRAINING: 'the entry was told to end and had no time left to run it',
    Cause.CUT_AT_SHUTDOWN: (
        'the entry was told to end and cut off the request when it exited'
    ),
    Cause.PROCESS_KILLED: (
        'the entry was killed or crashed: it started again at {time} without '
        'a regular stop'
    ),
    Cause.INTERNAL_ERROR: 'an unexpected error occurred in the entry: {error}',
    Cause.DEADLINE: (
        'the deadline that its caller set passed after {seconds} s'
    ),
    Cause.ROUTE_TIMEOUT: 'the timeout of its route passed after {seconds} s',
    Cause.RETRY_BUDGET_SPENT: (
        'the retry budget was spent, so it was not sent again'
    ),
    Cause.QUARANTINED: (
        'endpoints had crashed under it, or under requests sent before that '
        'are the same or have parts of their prompts in common, one after the '
        'other'
    ),
    Cause.OVERLOAD: 'even the best endpoint had too many requests waiting',
    Cause.NO_ENDPOINT: (
        'no endpoint of service {service} was available to run it'
    ),
    Cause.NO_WEIGHTS: (
        'endpoints of service {service} were available, but none held complete '
        'weights of a version that may be used'
    ),
    Cause.REGION_NOT_ALLOWED: (
        'service {service} had no endpoint in the regions that its route and '
        'its team allow'
    ),
    Cause.EVACUATED: (
        'each endpoint of service {service} that could run it was in a failure '
        'domain that the operator evacuates'
    ),
    Cause.MEMORY_FULL: (
        'the entry held too many bytes for callers and endpoints that did not '
        'read'
    ),
    Cause.ALL_PAUSED: (
        'each endpoint of service {service} that could run it was paused, as '
        'it had turned requests away'
    ),
    Cause.ALL_LIMITED: (
        'the limits that the endpoints of service {service} name left no time '
        'for it'
    ),
    Cause.REJECTED: (
        'each endpoint that it was sent to answered that the request was not '
        'run'
    ),
    Cause.MISDIRECTED: (
        'each endpoint that it was sent to had another id or other weights '
        'than expected'
    ),
    Cause.UNREACHABLE: (
        'none of the endpoints that it was sent to could be reached'
    ),
    Cause.ENDPOINT_CONNECTION_LOST: (
        'the connection to endpoint {endpoint} was lost before the answer was '
        'complete'
    ),
    Cause.ENDPOINT_CLOSED: (
        'endpoint {endpoint} closed the connection before the answer was '
        'complete'
    ),
    Cause.ENDPOINT_SILENT: 'endpoint {endpoint} sent no data for {silent} s',
    Cause.ENDPOINT_MALFORMED: (
        'endpoint {endpoint} sent data that is no valid answer to it: {error}'
    ),
    Cause.ENDPOINT_FAILED: (
        'endpoint {endpoint} ran it and answered with error status {status}'
    ),
    Cause.WEIGHTS_TOO_OLD: (
        'it had not started at endpoint {endpoint} when the weights there were '
        'about to be too old'
    ),
    Cause.ENGINE_LOADING: (
        'endpoint {endpoint} took up new weights and aborted it'
    ),
    Cause.UNKNOWN: 'not known: {why}',
}


class Finding(enum.Enum):
    """An event that contributed to a request's outcome.

    The values are messages of log lines written before the final one.
    """

    ACCEPTED_WHILE_DRAINING = 'taken while leaving'
    NO_FREE_SLOT = 'no endpoint has room'
    UNUSABLE = 'not sent, as the endpoint became unusable'
    REJECTED = 'turned away by the endpoint'
    NOT_SENT = 'not sent during a pause of the endpoint'
    QUARANTINED = 'given up, as it was quarantined'
    QUARANTINED_PARTS = 'refused for its prompt parts'
    ALL_PAUSED = 'all endpoints are paused'
    ALL_LIMITED = 'all endpoints are limited'
    MISDIRECTED = 'another endpoint or version answered'
    ATTEMPT_FAILED = 'attempt failed'
    SENT_AFTER_CRASHES = 'sent after crashes'
    ENDPOINT_CRASHED = 'endpoint crashed under a request'
    CRASH_NOT_COUNTED = 'broken attempt not counted as a crash'
    FAILED_BY_ENDPOINT = 'failed by the endpoint'
    ENDPOINT_SILENT = 'endpoint silent'
    ENDPOINT_GOES_ON = 'endpoint goes on'
    SUPERSEDED = 'attempt superseded'
    ENDPOINT_DRAINS = 'endpoint drains by its answer'
    NOT_RETRIED = 'not sending once more'


#: One sentence for each finding, in which ``it`` and ``its`` stand for the
#: request. A name in braces is a field of the log line of the finding.
SENTENCE_BY_FINDING = {
    Finding.ACCEPTED_WHILE_DRAINING: (
        'it arrived {since} s after the entry was told to end, as request '
        'number {number} on its connection'
    ),
    Finding.NO_FREE_SLOT: (
        'the best endpoint, {endpoint}, had {waiting} requests waiting for '
        '{slots} slots'
    ),
    Finding.UNUSABLE: (
        'endpoint {endpoint} stopped being available while a connection to it '
        'was opened'
    ),
    Finding.REJECTED: 'endpoint {endpoint} turned it away with {status}',
    Finding.NOT_SENT: (
        'endpoint {endpoint} was paused for {retry_after} s before it was sent'
    ),
    Finding.QUARANTINED: (
        'it was quarantined before endpoint {endpoint} began to answer: '
        '{execution}'
    ),
    Finding.QUARANTINED_PARTS: (
        'requests with parts {parts} in their prompts crashed {crashed}; such '
        'requests are refused for {retry_after} s'
    ),
    Finding.ALL_PAUSED: (
        'the first endpoint could be used again after {retry_after} s'
    ),
    Finding.ALL_LIMITED: (
        'the limits of its endpoints allow another request after '
        '{retry_after} s'
    ),
    Finding.MISDIRECTED: (
        'the process at the address of endpoint {endpoint} was another '
        'endpoint, or did not hold version {version}'
    ),
    Finding.ATTEMPT_FAILED: 'endpoint {endpoint} gave no whole answer: {error}',
    Finding.SENT_AFTER_CRASHES: (
        'it was sent although {crashes} crashes in a row under the same '
        'request were known: {decision}'
    ),
    Finding.CRASH_NOT_COUNTED: (
        'the end of endpoint {endpoint} under it was not counted as a crash: '
        '{reason}'
    ),
    Finding.ENDPOINT_CRASHED: (
        'endpoint {endpoint} crashed while it ran there; crashes in a row: '
        '{crashes}'
    ),
    Finding.FAILED_BY_ENDPOINT: 'endpoint {endpoint} failed it with {status}',
    Finding.ENDPOINT_SILENT: (
        'endpoint {endpoint} had sent nothing for {silent} s and was waited for'
    ),
    Finding.ENDPOINT_GOES_ON: (
        'endpoint {endpoint} went on after {seconds} s without data'
    ),
    Finding.SUPERSEDED: (
        'endpoint {answered_by} answered in the place of {endpoint}'
    ),
    Finding.ENDPOINT_DRAINS: (
        'endpoint {endpoint} said for the first time that it drains, in its '
        'answer with {status}'
    ),
    Finding.NOT_RETRIED: 'it was not sent again: {decision}',
}
