"""Reference of all log lines of the direct path and their fields.

The operators' page on log lines is generated from this table.  A test simulates
a day and checks every line that is written against it.
"""

from __future__ import annotations

import typing


class Field(typing.NamedTuple):
    """The description of a field.

    :param value_type: the type of its value.
    """

    value_type: str
    meaning: str


class Kind(typing.NamedTuple):
    """The description of a kind of line.

    :param field_names: the fields that it may have besides the common ones,
        separated by spaces.
    :param description: when it is written, or what follows from it.
    """

    field_names: str
    description: str

    @property
    def fields(self) -> tuple[str, ...]:
        """Return the names of the fields that are not common to all lines."""
        return tuple(self.field_names.split())


#: Fields of all lines.
COMMON_FIELDS: dict[str, Field] = {
    'time': Field('str', 'time by the clock of the process, with milliseconds'),
    'level': Field('str', 'INFO, WARNING, ERROR or CRITICAL'),
    'message': Field(
        'str',
        'the kind of line, followed by a colon and the error if there is one',
    ),
    'at': Field('str', 'the module that wrote the line'),
}
#: Fields that describe the progress of a request when it ended.
_PROGRESS_FIELDS = 'seconds left events first waited patience endpoint silent'
#: The other fields, by name.
FIELDS_BY_NAME: dict[str, Field] = {
    'active': Field('int', 'requests running at the engine'),
    'after_event': Field(
        'int or null', 'number of the last event that the caller received'
    ),
    'ago': Field(
        'float', 'seconds since the event, by the clock of this process'
    ),
    'ages': Field('list', 'seconds since each of the crashes'),
    'answer': Field(
        'str', 'of the engine: accepted, done, rejected or unknown'
    ),
    'answering': Field(
        'bool', 'whether an event of the answer had arrived from the endpoint'
    ),
    'answered_by': Field(
        'str', 'id of the endpoint that answered; empty if it is not given'
    ),
    'asked': Field('int', 'number of engines that were asked for a slot'),
    'attempt': Field('int', 'number of the attempt, from 1'),
    'attempts': Field('int', 'number of attempts so far'),
    'before': Field('int or list', 'the previous value'),
    'body': Field('str', "first digits of a digest of the request's body"),
    'busy': Field(
        'bool', 'whether the engine is carrying out an order to load'
    ),
    'by': Field(
        'str',
        'answer (sent after the crashes), earlier_answer (at most three '
        'seconds before) or beginning (the first event of an answer)',
    ),
    'bytes': Field('int', 'size of the message, or bytes that were not read'),
    'callers': Field('str', 'address for callers'),
    'changed': Field('bool', 'whether a limit changed'),
    'closed': Field(
        'int',
        'connections closed in favour of new ones since the start of the '
        'process',
    ),
    'cleared': Field(
        'list', 'fingerprints and digests of parts that answers have cleared'
    ),
    'configuration': Field(
        'int', 'version of the configuration in force; 0 for none'
    ),
    'connected_for': Field('float', 'age of the connection in seconds'),
    'connections': Field('int', 'open connections of clients'),
    'crashes': Field(
        'int',
        'crashes that the request has met one after the other, with no answer '
        'in between',
    ),
    'crashed': Field(
        'list', 'starts of endpoints that crashed, as ID/START in milliseconds'
    ),
    'decision': Field(
        'str',
        'allowed, or why a retry is not: may_have_run, enough_runs, '
        'enough_attempts, no_time, budget_spent, no_endpoint, or '
        'crashed_endpoints (one after the other, under the same request); why '
        'a request is sent after crashes: too_few, shared (others have met the '
        'same ones) or trial (by one entry, one attempt at a time)',
    ),
    'domain': Field('str', 'a failure domain'),
    'draining': Field('bool', 'whether the endpoint is draining'),
    'end': Field(
        'str',
        'why the connection ended: caller_closed, caller_reset, '
        'caller_silent, transport_fault, broken_off, cut; open if it had '
        'not ended',
    ),
    'endpoint': Field(
        'str or null',
        'id of the endpoint; for a request, the last one that it was sent to',
    ),
    'engine': Field('str', 'address of the engine'),
    'error': Field('str', 'the error, with the step and the peer'),
    'evacuated': Field(
        'bool', 'whether the operator evacuates the failure domain'
    ),
    'events': Field('int', 'events of the answer that the caller received'),
    'era': Field('int', 'how often the store came back from a copy'),
    'execution': Field(
        'str', 'whether the endpoint ran the request: not_run or may_have_run'
    ),
    'expired': Field(
        'bool', 'whether they were too old; otherwise there were too many'
    ),
    'failures': Field('int', 'number of consecutive failures'),
    'fault': Field(
        'str',
        'unreachable, lost (connection reset), ended (connection closed by the '
        'endpoint), spoilt (malformed answer), loading (the engine loads '
        'weights) or too_old (its weights)',
    ),
    'fingerprint': Field(
        'str',
        'digest of what is the same when the caller sends the request again: '
        'team, host, method, path with query, and body',
    ),
    'fingerprints': Field('list', 'fingerprints of requests'),
    'first': Field('float or null', 'seconds to the first part of the answer'),
    'from': Field('float', 'seconds since the time before the change'),
    'from_agents': Field('int', 'bytes fetched from agents'),
    'from_origin': Field('int', 'bytes fetched from the origin'),
    'given_up': Field('int', 'requests given up since the previous such line'),
    'guessed': Field(
        'bool',
        'whether the time is an estimate, as the process started later',
    ),
    'held': Field(
        'int',
        'bytes of requests and answers that the process holds; with those of '
        'connections where unfinished requests are given up',
    ),
    'here': Field(
        'int', 'version of the configuration in force in this process'
    ),
    'host': Field('str', 'host name in the request'),
    'in_flight': Field(
        'int', 'requests of this entry in progress at the endpoint'
    ),
    'key': Field('str', 'key of the record'),
    'last': Field('float', 'longest time from SIGTERM to the exit, in seconds'),
    'last_in': Field(
        'int',
        'version of the newest configuration known to this process that '
        'contained the missing key or route; 0 for none',
    ),
    'last_answer_ago': Field(
        'float', 'seconds since the last answer of the store'
    ),
    'late': Field('float', 'seconds after the bound'),
    'layers': Field('int', 'number of layers that the engine holds'),
    'left': Field('float', 'seconds until the final answer is due'),
    'lists_end': Field(
        'float',
        'seconds from SIGTERM until no list of entries contains the entry',
    ),
    'lines': Field('int', 'number of lines that were not written'),
    'lost_for': Field('float', 'seconds for which the store was unavailable'),
    'missing': Field('int', 'number of missing pieces'),
    'model': Field('str', 'name of the model'),
    'moved': Field(
        'float', 'seconds by which the time changed; positive if it is later'
    ),
    'news': Field('int', 'number of new records'),
    'node': Field('str', 'name of the machine'),
    'number': Field('int', 'number of the request on its connection, from 1'),
    'offset': Field('int', 'offset in the topic'),
    'open': Field('int', 'connections with a request in progress'),
    'orders': Field(
        'int', 'number of loads that the engine has begun since it started'
    ),
    'outcomes': Field(
        'list',
        'the outcome of each attempt: turned_away, paused, misdirected, '
        'unusable, failed, silent, superseded (a silent endpoint went on), '
        'unfinished (aborted or not sent), or the fault',
    ),
    'overloaded_for': Field(
        'float', 'seconds since the overload of the service began'
    ),
    'partners': Field('list', 'fallback agents besides the sources'),
    'path': Field('str', 'the first 80 bytes of the requested path'),
    'patience': Field(
        'float or null',
        'seconds without an event after which callers give up; null if the '
        'answer is no stream',
    ),
    'peer': Field('str', 'IP address of the peer'),
    'parts': Field(
        'list',
        'digests of parts of the prompt, without the last one; each stands for '
        'the same part in all lines',
    ),
    'phase': Field('str', 'phase of the entry: starting, ready or leaving'),
    'piece': Field('int', 'number of the piece'),
    'rate': Field(
        'float or null',
        'requests a second that the endpoint takes of all entries together; '
        'null for no limit',
    ),
    'share': Field('float', 'the part of that rate that this entry may use'),
    'reads': Field(
        'bool', 'whether this process reads the topic from the store itself'
    ),
    'reason': Field(
        'str',
        'why the request ended: starting, malformed, unknown_route, '
        'unknown_key, quarantined (it, or its prompt, crashes endpoints), '
        'overload, memory_full, no_service, no_endpoint, no_weights, '
        'all_paused, all_limited, turned_away, broken, endpoint_failed, '
        'deadline (of its '
        'caller), route_time, slow_reader, leaving; why a crash is not '
        'counted: draining, removed_before (the record of the endpoint), '
        'not_removed (in five seconds, nor did its address refuse '
        'connections), too_many',
    ),
    'refused': Field(
        'int',
        'requests refused since SIGTERM; for input and connections, since the '
        'previous such line',
    ),
    'request': Field('str', 'request id, set by the caller'),
    'resume_after': Field(
        'int or null', 'number of the last event that the caller received'
    ),
    'retry_after': Field(
        'float or null',
        'seconds for which the endpoint asked for no requests of this machine, '
        'null if it did not; or that are left of the pause, or until limits '
        'allow the request',
    ),
    'returning': Field(
        'bool', 'whether the caller was refused before and came back'
    ),
    'rounds': Field(
        'int',
        'number of rounds of requests for the manifest that failed before',
    ),
    'runs': Field('int', 'attempts that ran or may have run'),
    'seconds': Field('float', 'elapsed time in seconds'),
    'service': Field('str', 'name of the service'),
    'shared_with': Field(
        'list',
        'fingerprints of requests that were sent again from crash to crash '
        'like this one, so that these crashes convict neither',
    ),
    'silent': Field(
        'float or null', 'seconds since the endpoint last sent a byte'
    ),
    'since': Field('float', 'seconds since SIGTERM'),
    'slots': Field('int', 'requests that the endpoint runs at once'),
    'source': Field(
        'str',
        'IP address, origin or store; of the time of a version also start (it '
        'was named before this process started) or request for pieces',
    ),
    'sources': Field('list', 'IP addresses; an empty string for the origin'),
    'started': Field(
        'int', 'start of the endpoint in Unix milliseconds; 0 if not reported'
    ),
    'status': Field('int', 'HTTP status of the answer'),
    'step': Field('str', 'the operation in progress'),
    'store_age': Field(
        'float or null',
        "seconds since the store last answered a read of the operator's "
        'records, here or at an entry that reads them for this one; null for '
        'never',
    ),
    'congested': Field('bool', 'whether the link is congested'),
    'taken': Field('int', 'requests accepted since SIGTERM'),
    'target': Field(
        'str', 'first digits of a digest of the path with its query'
    ),
    'there': Field('int', 'version of the configuration in force at the peer'),
    'to': Field('float', 'seconds since the time after the change'),
    'topic': Field('str', 'topic of the store: operator or endpoints'),
    'trouble': Field(
        'str', 'why the source is skipped: slow, failing, behind or silent'
    ),
    'urgency': Field('int', 'priority, by team and route; 0 is served first'),
    'used_for': Field('float', 'seconds for which the endpoint remains in use'),
    'version': Field('int', 'version of a configuration or of weights'),
    'was_guessed': Field(
        'bool', 'whether the time before the change was an estimate'
    ),
    'wait': Field('float', 'waiting time in seconds'),
    'waited': Field(
        'float', 'seconds since the last event, or since the request arrived'
    ),
    'waiting': Field('float', 'number of requests that would wait'),
}
#: The kinds of line by the part of their message before the first colon.
KINDS_BY_MESSAGE: dict[str, Kind] = {
    'agent started': Kind('node engine', 'an agent has started to listen'),
    'entry started': Kind('node callers', 'an entry has started to listen'),
    'entry ready': Kind(
        'node seconds',
        'configuration and endpoints are known; callers may be directed here',
    ),
    'topic known': Kind(
        'topic source news seconds',
        'the first records of a topic arrived, with the time since the start',
    ),
    'first request answered': Kind(
        'service seconds',
        'the first request of each service, with the time since the start',
    ),
    'leaving': Kind(
        'connections open lists_end last',
        'an entry was told to end; what is in progress, and its time limits',
    ),
    'offered while leaving': Kind(
        'node since',
        'callers are still directed here, as no other entry is ready',
    ),
    'taken while leaving': Kind(
        'request since connected_for number left',
        'a request arrived after the entry was told to end',
    ),
    'cut off, as this entry ends': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'the entry exits before the answer is complete; not a fault of the '
        'caller',
    ),
    'stopped': Kind(
        'node seconds open taken refused',
        'a process exits; `open` connections are cut off',
    ),
    'settings read': Kind('step changed', 'the settings were read again'),
    'settings stay as they are': Kind(
        'step', 'the changed settings cannot be read; the old ones stay'
    ),
    'no settings': Kind('step', 'the process exits, as it has no settings'),
    'lines dropped': Kind(
        'lines',
        'more lines were written than the rate limit or the buffer allows',
    ),
    'work begins anew': Kind(
        '', 'a background task failed with an unexpected error and is restarted'
    ),
    'handler failed': Kind(
        'step error',
        'an unexpected error while a request was served; its caller gets 502, '
        'or is cut off if a part of the answer was sent; with `step` '
        '`attempt`, another attempt may still answer',
    ),
    'configuration in force': Kind(
        'version before', 'requests are handled by this version from now on'
    ),
    'a peer has a newer configuration': Kind(
        'peer there here offset',
        'the records are fetched again from that peer',
    ),
    'version named': Kind(
        'model version ago guessed source seconds',
        'the operator named a version of weights that engines are to load',
    ),
    'machine was suspended': Kind(
        'seconds',
        'the monotonic clock stood still; the ages of versions are corrected',
    ),
    'version time changed': Kind(
        'model version from to moved was_guessed guessed source',
        'the bound on older weights moves by as much',
    ),
    'endpoint listed': Kind(
        'endpoint service draining version layers offset started',
        'the state that an endpoint reports in the list changed',
    ),
    'endpoint drains by its answer': Kind(
        'request endpoint service status in_flight',
        'an answer of the endpoint is the first to say that it drains; it gets '
        'no more requests until it restarts',
    ),
    'endpoint dropped from the list': Kind(
        'endpoint used_for', 'no request is sent to it after that time'
    ),
    'evacuation of a failure domain': Kind(
        'domain evacuated',
        'while it is evacuated, its endpoints get no requests; afterwards they '
        'return slowly to full use',
    ),
    'endpoint is cold': Kind(
        'endpoint rate seconds',
        'it takes few requests a second, which a few entries share',
    ),
    'engine holds weights': Kind(
        'endpoint version layers busy', 'layers is 0 while the engine loads'
    ),
    'engine drains; it loads no more versions': Kind(
        'version',
        'the engine beside an agent drains; it is not ordered to load until it '
        'restarts',
    ),
    'link of an endpoint': Kind(
        'endpoint congested',
        'the link became congested, and requests avoid the endpoint where '
        'possible, or it is no longer congested',
    ),
    'member changed': Kind(
        'peer phase',
        'an entry was added, restarted, became ready or is draining',
    ),
    'store lost': Kind(
        'topic error last_answer_ago', 'a request to the store failed'
    ),
    'store regained': Kind('topic lost_for', 'the store answers again'),
    'reading of the store': Kind(
        'topic reads',
        'this process starts to read the topic, or leaves it to other entries',
    ),
    'history was dropped': Kind(
        'topic offset',
        'the store no longer has the records at the offset; the newest records '
        'are read instead',
    ),
    'long records read': Kind(
        'topic bytes offset', 'the store answered a read with long records'
    ),
    'event loop delayed': Kind(
        'seconds',
        'the process did nothing, or one thing, for so long; requests waited',
    ),
    'readers of the store are behind': Kind(
        'topic offset before',
        'the store has records that have not arrived from the entries that '
        'read it for this one, which now reads itself for a while',
    ),
    'end of records not read': Kind(
        '', 'the store did not tell the end of a topic; it is asked again'
    ),
    'store came back from a copy': Kind(
        'topic era offset before',
        'what was written since the copy is lost; what is known here is kept '
        'until the store shows something newer',
    ),
    'records taken from a peer': Kind(
        'peer topic news offset bytes seconds',
        'the peer had read further in the topic',
    ),
    'records not fetched': Kind('peer', 'the peer did not provide the records'),
    'record passed over': Kind(
        'key offset',
        'the record cannot be decoded; the state in force stays, and an '
        'endpoint of that id gets no more requests. Written once in 30 s for '
        'each key',
    ),
    'heartbeat dropped': Kind(
        'peer', 'a received message is no valid heartbeat'
    ),
    'entries not read': Kind(
        '', 'the list of entries could not be read; it is tried again'
    ),
    'store not read': Kind(
        '',
        'an agent that receives heartbeats of no entry could not read the '
        'store; it is tried again',
    ),
    'sent': Kind(
        'request attempt endpoint in_flight left resume_after',
        'an attempt starts',
    ),
    'no endpoint has room': Kind(
        'request service endpoint waiting slots',
        'the best endpoint, and how many requests would wait there',
    ),
    'no slot in time': Kind(
        'request service urgency waited asked returning overloaded_for '
        'retry_after',
        'none of the engines that were asked had a free slot while the request '
        'could wait; returning: its caller came back after a refusal',
    ),
    'not sent, as the endpoint became unusable': Kind(
        'request attempt endpoint draining',
        'the endpoint was selected, and became unusable while a connection to '
        'it was opened',
    ),
    'turned away by the endpoint': Kind(
        'request attempt endpoint status in_flight retry_after',
        'the endpoint did not run the request',
    ),
    'not sent during a pause of the endpoint': Kind(
        'request attempt endpoint retry_after',
        'the endpoint was paused after it had been selected',
    ),
    'all endpoints are paused': Kind(
        'request service retry_after',
        'no endpoint is available before the time of the request is over',
    ),
    'another endpoint or version answered': Kind(
        'request attempt endpoint answered_by version',
        'the request was not run',
    ),
    'answer on outdated weights': Kind(
        'request attempt endpoint version late seconds',
        'the answer began after the bound of its weights; `seconds` since the '
        'attempt began',
    ),
    'passed over the answer to another request': Kind(
        'request',
        'it arrived where the answer to this request was expected',
    ),
    'attempt failed': Kind(
        'request attempt endpoint engine execution fault silent error '
        'after_event fingerprint',
        'there is no complete answer',
    ),
    'given up, as it was quarantined': Kind(
        'request attempt endpoint execution',
        'the request, or a part of its prompt, was found to crash endpoints '
        'before it was sent, or before the endpoint began to answer',
    ),
    'endpoint crashed under a request': Kind(
        'request attempt endpoint fingerprint crashes answering parts crashed '
        'ages shared_with host target body',
        'its process is gone; other requests may have run there, too',
    ),
    'broken attempt not counted as a crash': Kind(
        'request fingerprint endpoint reason',
        'the connection ended while the request ran, and nothing shows that '
        'the endpoint crashed',
    ),
    'crash evidence received': Kind(
        'peer crashed ages fingerprints cleared',
        'another process reported crashes, or requests and parts of prompts '
        'that answers have cleared; at most eight of each',
    ),
    'cleared of crashes': Kind(
        'fingerprints parts crashed by',
        'answers show that these requests, or parts of prompts, did not cause '
        'these crashes; at most eight of each',
    ),
    'crash evidence dropped': Kind(
        'crashed fingerprints expired',
        'these crashes do not count any longer; at most eight of each',
    ),
    'sent after crashes': Kind(
        'request fingerprint crashes crashed ages shared_with decision',
        'the request is sent, although endpoints have crashed under it before',
    ),
    'quarantine of a request ended': Kind(
        'fingerprint crashed ages shared_with',
        'an answer cleared it, its time is over, the evidence was dropped, or '
        'another request explains the crashes',
    ),
    'quarantine of prompt parts ended': Kind(
        'parts',
        'an answer cleared them, or the crashes were found to have another '
        'cause',
    ),
    'request quarantined': Kind(
        'fingerprint crashed ages shared_with seconds',
        'repeats of a request have crashed endpoints one after the other; it '
        'is refused at every entry for that time',
    ),
    'prompt parts quarantined': Kind(
        'parts crashed seconds',
        'requests with all these parts in their prompts have crashed '
        'endpoints, no two of them alike; such requests are refused at every '
        'entry for that time',
    ),
    'prompt parts restricted': Kind(
        'parts crashed',
        'requests with all these parts in their prompts were at endpoints that '
        'crashed, several at one moment; one entry sends one such request at a '
        'time, until an answer clears the parts',
    ),
    'refused for its prompt parts': Kind(
        'request parts crashed retry_after',
        'requests with these parts crashed those endpoints',
    ),
    'endpoint names a limit': Kind(
        'request endpoint rate share',
        'its answer names another limit of requests than the one before',
    ),
    'all endpoints are limited': Kind(
        'request service retry_after',
        'the limits that endpoints name leave no time for the request',
    ),
    'limit of an endpoint not understood': Kind(
        'request endpoint', 'the limit in its answer is ignored'
    ),
    'failed by the endpoint': Kind(
        'request attempt endpoint status',
        'the endpoint ran the request and answered with an error',
    ),
    'endpoint silent': Kind(
        'request attempt endpoint silent after_event',
        'the attempt stays open, and another endpoint is sought',
    ),
    'endpoint goes on': Kind(
        'request attempt endpoint seconds after_event',
        'a silent endpoint delivers again, with the length of its silence',
    ),
    'attempt superseded': Kind(
        'request attempt endpoint execution silent answered_by',
        'the attempt was aborted, as another one delivers',
    ),
    'sending once more': Kind(
        'request attempts decision', 'a retry is allowed'
    ),
    'not sending once more': Kind(
        'request attempts decision',
        'no other attempt is started, with the reason; attempts at silent '
        'endpoints go on',
    ),
    'answered': Kind(
        'request status attempts attempt first seconds fingerprint',
        'the complete answer was sent to the caller',
    ),
    'ended without an answer': Kind(
        f'request reason status service attempts runs outcomes '
        f'decision fingerprint {_PROGRESS_FIELDS}',
        'the request failed; status 0 if its connection was broken off',
    ),
    'refused': Kind(
        'request reason status host path configuration last_in store_age error',
        'a request was refused before it was admitted',
    ),
    'input refused': Kind(
        'status refused',
        'received data is no request that can be served; at most one line a '
        'second',
    ),
    'unfinished requests given up': Kind(
        'given_up held',
        'the process held too many bytes; those that had brought least for '
        'their time are refused with 503; at most one line a second',
    ),
    'connections refused at their limit': Kind(
        'refused connections closed',
        'clients have all connections that the process accepts, and none may '
        'be closed; at most one line a second',
    ),
    'no descriptor for a connection': Kind(
        'step error',
        'the descriptors of the process ran out before the limit of '
        'connections was reached; it accepts again after 0.1 s',
    ),
    'caller that does not read cut off': Kind(
        'bytes seconds held',
        'the entry held too many bytes, and the caller read nothing for so '
        'long',
    ),
    'caller left': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'the caller closed the connection; the request is aborted',
    ),
    'connection reset': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'by the caller or by something in between; the request is aborted',
    ),
    'connection lost': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'the caller cannot be reached any longer; the request is aborted',
    ),
    'cut off, not known why': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'the request was aborted although its connection was open',
    ),
    'failed by a fault of this entry': Kind(
        'request status error',
        'an unexpected error; the caller gets 502, or 503 if the request has '
        'not run, or is cut off if a part of the answer was sent',
    ),
    'getting pieces': Kind(
        'version missing', 'an agent starts to fetch a version'
    ),
    'pieces stalled': Kind(
        'sources partners missing',
        'no piece arrived for a moment; the agent now requests pieces by what '
        'other agents hold',
    ),
    'sources changed': Kind(
        'sources before missing', 'pieces are fetched from other sources'
    ),
    'source passed over': Kind(
        'source trouble', 'the source is not used for now'
    ),
    'no answer': Kind(
        'source', 'a source did not answer; not repeated until it answers again'
    ),
    'source answers again': Kind(
        'source failures', 'a source answers after failures'
    ),
    'manifest found': Kind('version rounds', 'an agent fetched the manifest'),
    'no manifest': Kind('version', 'a source did not provide the manifest'),
    'piece is spoilt': Kind(
        'piece source', 'the piece does not match its digest'
    ),
    'manifest replaced': Kind(
        'piece source',
        'the digest of a piece in the manifest was corrupt; another source '
        'sent the one that the piece has',
    ),
    'manifest not checked': Kind(
        '', 'a source did not provide the manifest anew; another one is asked'
    ),
    'not handed out': Kind(
        'piece', 'a staged piece could not be read for another agent'
    ),
    'pieces got': Kind(
        'version missing from_origin from_agents seconds',
        'fetching a version has ended, complete or not',
    ),
    'staged pieces not read': Kind(
        '', 'the engine did not answer the request for its staged pieces'
    ),
    'piece not staged': Kind(
        '', 'the engine did not accept the piece, or it was corrupted there'
    ),
    'staged too long ago': Kind(
        'version',
        'the staged pieces are read back again before the order to load',
    ),
    'the engine has restarted': Kind(
        'version',
        'the engine restarted after its last report, so the order to load is '
        'not sent',
    ),
    'turn to load': Kind(
        'version wait',
        'the agent waits before its engine loads the version, so that '
        'engines load in turns',
    ),
    'ordered to load': Kind(
        'version orders active answer',
        'the engine was ordered to load a version, with its answer',
    ),
    'not loaded': Kind(
        'node', 'the engine did not answer a query or an order to load'
    ),
    'not fetched': Kind(
        'node', 'no source had the manifest, or the engine did not answer'
    ),
    'not prepared': Kind(
        'version', 'no source had the manifest of the next version'
    ),
}


def find_kind(message: str) -> Kind | None:
    """Return the kind of a line with a message; ``None`` if unknown."""
    return KINDS_BY_MESSAGE.get(message.partition(': ')[0])


def render_page() -> str:
    """Return the text of the operators' page on log lines."""
    lines = [
        '# Log lines',
        '',
        'The log of processes on the direct path, one JSON object a line. Made',
        'from `clementinepass/observability/line_table.py`.',
        '',
        '| message | fields | when, or what follows |',
        '|---|---|---|',
    ]
    for message, kind in KINDS_BY_MESSAGE.items():
        field_list = ', '.join(f'`{name}`' for name in kind.fields)
        lines.append(f'| `{message}` | {field_list} | {kind.description} |')
    lines += ['', '| field | type | meaning |', '|---|---|---|']
    for name, field in {**COMMON_FIELDS, **FIELDS_BY_NAME}.items():
        lines.append(f'| `{name}` | {field.value_type} | {field.meaning} |')
    return '\n'.join([*lines, ''])
