"""Why a request ended as it did: the causes, and a sentence for each."""

from __future__ import annotations

import enum


class Cause(enum.Enum):
    """The cause of a request's ending, as far as the lines prove it."""

    #: Nothing went wrong here.
    ANSWERED = 'answered'

    # The caller, or its connection.
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

    # This entry and its bounds.
    STARTING = 'starting'
    DRAINING = 'leaving'
    CUT_AT_SHUTDOWN = 'cut_at_end'
    PROCESS_KILLED = 'process_gone'
    INTERNAL_ERROR = 'own_fault'
    DEADLINE = 'deadline'
    ROUTE_TIMEOUT = 'route_time'
    RETRY_BUDGET_SPENT = 'budget'

    # Endpoints.
    OVERLOAD = 'overload'
    NO_ENDPOINT = 'no_endpoint'
    NO_WEIGHTS = 'no_weights'
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


#: A sentence for each cause; names in braces are fields of its line.
SENTENCE_BY_CAUSE = {
    Cause.ANSWERED: 'the whole answer was written to its connection',
    Cause.CALLER_LEFT: (
        'its caller ended the connection after {waited} s without an event, '
        'with {left} s left'
    ),
    Cause.CALLER_GAVE_UP: (
        'its caller left after {waited} s without an event; callers wait '
        '{patience} s'
    ),
    Cause.CALLER_DEADLINE: (
        'its caller left when its time was over, {seconds} s after it had asked'
    ),
    Cause.CONNECTION_RESET: (
        "a reset came from its caller's side, {waited} s after the last event; "
        'whether its caller sent it is not known'
    ),
    Cause.CONNECTION_LOST: 'its caller could not be reached any more',
    Cause.SLOW_READER: (
        'its time was over while its caller had yet to read what was sent'
    ),
    Cause.MALFORMED: 'it lacks what each request must say, or says it wrongly',
    Cause.UNKNOWN_KEY: (
        'no configuration that this entry knew had its key ({configuration} '
        'was in force), by a word of the store that was {store_age} s old'
    ),
    Cause.UNKNOWN_ROUTE: (
        'no configuration that this entry knew had its route ({configuration} '
        'was in force), by a word of the store that was {store_age} s old'
    ),
    Cause.KEY_WITHDRAWN: (
        'its key was taken away: configuration {last_in} had it, '
        '{configuration} has not'
    ),
    Cause.ROUTE_WITHDRAWN: (
        'its route was taken away: configuration {last_in} had it, '
        '{configuration} has not'
    ),
    Cause.NO_SERVICE: (
        'the configuration sends it to service {service}, which it lacks'
    ),
    Cause.STARTING: 'the entry had just started and knew no configuration',
    Cause.DRAINING: 'the entry was told to end and had no time left for it',
    Cause.CUT_AT_SHUTDOWN: (
        'the entry was told to end, and cut it off at its end'
    ),
    Cause.PROCESS_KILLED: (
        'the entry was killed or crashed: it started again at {time} without '
        'having stopped'
    ),
    Cause.INTERNAL_ERROR: 'the entry met a fault that nobody foresaw: {error}',
    Cause.DEADLINE: (
        'the time that its caller gave it was over after {seconds} s'
    ),
    Cause.ROUTE_TIMEOUT: (
        'the time that its route gives it was over after {seconds} s'
    ),
    Cause.RETRY_BUDGET_SPENT: (
        'the budget of repeats was spent, so it was not sent again'
    ),
    Cause.OVERLOAD: 'even the best endpoint had too many waiting',
    Cause.NO_ENDPOINT: 'no endpoint of service {service} was there to run it',
    Cause.NO_WEIGHTS: (
        'endpoints of service {service} were there, none with whole weights '
        'that may be used'
    ),
    Cause.REJECTED: 'each endpoint that it was sent to said it did not run',
    Cause.MISDIRECTED: (
        'each endpoint that it was sent to, or its weights, were others than '
        'believed'
    ),
    Cause.UNREACHABLE: 'no endpoint that it was sent to could be reached',
    Cause.ENDPOINT_CONNECTION_LOST: (
        'the connection to endpoint {endpoint} was lost before the answer was '
        'whole'
    ),
    Cause.ENDPOINT_CLOSED: (
        'endpoint {endpoint} ended the connection before the answer was whole'
    ),
    Cause.ENDPOINT_SILENT: 'endpoint {endpoint} sent nothing for {silent} s',
    Cause.ENDPOINT_MALFORMED: (
        'what endpoint {endpoint} sent is no whole answer to it: {error}'
    ),
    Cause.ENDPOINT_FAILED: (
        'endpoint {endpoint} ran it and failed it with status {status}'
    ),
    Cause.WEIGHTS_TOO_OLD: (
        'it had not begun at endpoint {endpoint} when the weights there were '
        'about to be too old'
    ),
    Cause.ENGINE_LOADING: (
        'endpoint {endpoint} took up new weights and cut it off'
    ),
    Cause.UNKNOWN: 'not known: {why}',
}


class Finding(enum.Enum):
    """Something that led to a request's ending, and stands before it."""

    ACCEPTED_WHILE_DRAINING = 'taken while leaving'
    NO_FREE_SLOT = 'no endpoint has room'
    REJECTED = 'turned away by the endpoint'
    MISDIRECTED = 'another endpoint or version answered'
    ATTEMPT_FAILED = 'attempt failed'
    FAILED_BY_ENDPOINT = 'failed by the endpoint'
    NOT_RETRIED = 'not sending once more'


#: A sentence for each finding, from the fields of its line.
SENTENCE_BY_FINDING = {
    Finding.ACCEPTED_WHILE_DRAINING: (
        'it came {since} s after the entry was told to end, as number {number} '
        'on its connection'
    ),
    Finding.NO_FREE_SLOT: (
        'the best endpoint, {endpoint}, had {waiting} waiting for {slots} slots'
    ),
    Finding.REJECTED: 'endpoint {endpoint} turned it away with {status}',
    Finding.MISDIRECTED: (
        'endpoint {endpoint} was another, or had other weights than version '
        '{version}'
    ),
    Finding.ATTEMPT_FAILED: 'endpoint {endpoint} gave no whole answer: {error}',
    Finding.FAILED_BY_ENDPOINT: 'endpoint {endpoint} failed it with {status}',
    Finding.NOT_RETRIED: 'it was not sent again: {decision}',
}
