"""All log lines of the direct path, and the fields that they have.

From this table the operators' page is made; a test plays a day and compares
each line that is written with it.
"""

from __future__ import annotations

import typing


class Field(typing.NamedTuple):
    """A field of a line.

    :param value_type: the type of its value.
    """

    value_type: str
    meaning: str


class Kind(typing.NamedTuple):
    """A kind of line.

    :param field_names: what it may have besides what all lines have, with
        spaces.
    :param description: when it is written, or what follows.
    """

    field_names: str
    description: str

    @property
    def fields(self) -> tuple[str, ...]:
        """Return the names of its own fields."""
        return tuple(self.field_names.split())


#: Fields of each line.
COMMON_FIELDS: dict[str, Field] = {
    'time': Field('str', 'of the process, to the millisecond'),
    'level': Field('str', 'INFO, WARNING, ERROR or CRITICAL'),
    'message': Field('str', 'the kind of line; after a colon, the error'),
    'at': Field('str', 'the module'),
}
#: How far a request had come when it ended.
_PROGRESS_FIELDS = 'seconds left events first waited patience endpoint silent'
#: The other fields, by name.
FIELDS_BY_NAME: dict[str, Field] = {
    'active': Field('int', 'requests running at the engine'),
    'after_event': Field('int or null', 'the last event that the caller has'),
    'ago': Field('float', 'seconds since, at this process'),
    'answer': Field('str', 'accepted, done, rejected or unknown'),
    'answered_by': Field('str', 'the id in the answer; empty if none'),
    'attempt': Field('int', 'from 1'),
    'attempts': Field('int', 'so far'),
    'before': Field('int or list', 'what it was before'),
    'busy': Field('bool', 'whether an order is in progress'),
    'callers': Field('str', 'where callers connect'),
    'changed': Field('bool', 'whether a bound changed'),
    'configuration': Field('int', 'version in force; 0 for none'),
    'connected_for': Field('float', 'seconds of its connection'),
    'connections': Field('int', 'open ones of callers'),
    'decision': Field(
        'str',
        'allowed, or why not: may_have_run, enough_runs, enough_attempts, '
        'no_time, budget_spent',
    ),
    'draining': Field('bool', 'whether it leaves'),
    'end': Field(
        'str',
        'why the connection ended: caller_closed, caller_reset, '
        'caller_silent, transport_fault, broken_off, cut; open where it '
        'had not ended',
    ),
    'endpoint': Field(
        'str or null', 'its id; of a request, the last that it was sent to'
    ),
    'engine': Field('str', 'its address'),
    'error': Field('str', 'with the step and the peer'),
    'events': Field('int', 'pieces of the answer that the caller got'),
    'execution': Field('str', 'not_run or may_have_run'),
    'failures': Field('int', 'in a row'),
    'fault': Field(
        'str',
        'unreachable, lost (reset), ended (by the endpoint), silent, spoilt, '
        'loading (the engine takes up weights) or too_old (its weights)',
    ),
    'first': Field('float or null', 'seconds to the first piece of the answer'),
    'from_agents': Field('int', 'bytes'),
    'from_origin': Field('int', 'bytes'),
    'guessed': Field(
        'bool', 'whether the time is a guess, as the process began later'
    ),
    'here': Field('int', 'version in force in this process'),
    'host': Field('str', 'that the caller named'),
    'in_flight': Field('int', 'requests of this entry there'),
    'key': Field('str', 'of a record'),
    'last': Field('float', 'seconds from SIGTERM to the end at the latest'),
    'last_in': Field(
        'int',
        'the newest configuration known here with the key or the route that '
        'is lacking; 0 for none',
    ),
    'last_answer_ago': Field('float', 'seconds'),
    'layers': Field('int', 'held'),
    'left': Field('float', 'seconds until the final answer is due'),
    'lists_end': Field(
        'float', 'seconds from SIGTERM until no list names the entry'
    ),
    'lines': Field('int', 'not written'),
    'lost_for': Field('float', 'seconds'),
    'missing': Field('int', 'pieces'),
    'model': Field('str', 'its name'),
    'news': Field('int', 'records that were not known'),
    'node': Field('str', 'the machine'),
    'number': Field('int', 'of the request on its connection, from 1'),
    'offset': Field('int', 'in the topic'),
    'open': Field('int', 'connections with a request in progress'),
    'orders': Field('int', 'that the engine has begun since it started'),
    'outcomes': Field(
        'list',
        'of its attempts: turned_away, misdirected, failed, or the fault',
    ),
    'partners': Field('list', 'agents asked besides'),
    'path': Field('str', 'that the caller named, its first 80 bytes'),
    'patience': Field(
        'float or null',
        'seconds without an event after which callers leave; null if no stream',
    ),
    'peer': Field('str', 'IP number'),
    'phase': Field('str', 'starting, ready or leaving'),
    'piece': Field('int', 'its number'),
    'reads': Field('bool', 'whether this process reads it itself'),
    'reason': Field(
        'str',
        'why a request ended: starting, malformed, unknown_route, '
        'unknown_key, overload, no_service, no_endpoint, no_weights, '
        'turned_away, broken, endpoint_failed, deadline (of its caller), '
        'route_time, slow_reader, leaving',
    ),
    'refused': Field(
        'int', 'requests since SIGTERM; of input, since the line before'
    ),
    'request': Field('str', 'the id that its caller gave it'),
    'resume_after': Field('int or null', 'the last event that the caller has'),
    'rounds': Field('int', 'of questions that brought nothing before'),
    'runs': Field('int', 'attempts that ran or may have'),
    'seconds': Field('float', 'in all'),
    'service': Field('str', 'its name'),
    'silent': Field(
        'float or null', 'seconds since the endpoint last sent a byte'
    ),
    'since': Field('float', 'seconds since SIGTERM'),
    'slots': Field('int', 'requests run at once'),
    'source': Field('str', 'IP number, origin or store'),
    'sources': Field('list', 'IP numbers; empty text for the origin'),
    'started': Field('int', 'its start in Unix milliseconds; 0 if untold'),
    'status': Field('int', 'of the answer'),
    'step': Field('str', 'what the process was at'),
    'store_age': Field(
        'float or null',
        'seconds since the store last answered a read of what the operator '
        'wrote, or an entry was heard that reads it for this one; null for '
        'never',
    ),
    'congested': Field('bool', 'whether the link is slow'),
    'taken': Field('int', 'requests since SIGTERM'),
    'there': Field('int', 'version in force at the peer'),
    'topic': Field('str', 'operator or endpoints'),
    'trouble': Field('str', 'slow, failing, behind or silent'),
    'used_for': Field('float', 'seconds more'),
    'version': Field('int', 'of a configuration or of weights'),
    'wait': Field('float', 'seconds'),
    'waited': Field('float', 'seconds since the last event, or since it came'),
    'waiting': Field('float', 'requests that would wait'),
}
#: The kinds of line, by their message up to a colon.
KINDS_BY_MESSAGE: dict[str, Kind] = {
    'agent started': Kind('node engine', 'an agent listens'),
    'entry started': Kind('node callers', 'an entry listens'),
    'entry ready': Kind(
        'node seconds',
        'configuration and endpoints are known; callers may be sent here',
    ),
    'topic known': Kind(
        'topic source news seconds',
        'the first records of a topic came, so long after the start',
    ),
    'first request answered': Kind(
        'service seconds', 'the first of each service, since the start'
    ),
    'leaving': Kind(
        'connections open lists_end last',
        'an entry was told to end; what it has in progress, and its times',
    ),
    'offered while leaving': Kind(
        'node since', 'callers are sent here, as no other entry is ready'
    ),
    'taken while leaving': Kind(
        'request since connected_for number left',
        'a request came after the entry was told to end',
    ),
    'cut off, as this entry ends': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'its caller has no whole answer, and is not to blame',
    ),
    'stopped': Kind(
        'node seconds open taken refused', 'a process ends, with so many cut'
    ),
    'settings read': Kind('step changed', 'the settings were read anew'),
    'settings stay as they are': Kind('step', 'newer settings can not be read'),
    'no settings': Kind('step', 'the process ends, having none'),
    'lines dropped': Kind(
        'lines', 'more was written in a second than the bound'
    ),
    'work begins anew': Kind('', 'a task met a fault that nobody foresaw'),
    'handler failed': Kind(
        'step error',
        'the same while a request was served; its caller is cut off',
    ),
    'configuration in force': Kind(
        'version before', 'requests are handled by it from now on'
    ),
    'a peer has a newer configuration': Kind(
        'peer there here offset', 'its records are taken anew from that peer'
    ),
    'version named': Kind(
        'model version ago guessed', 'engines are to take up these weights'
    ),
    'endpoint listed': Kind(
        'endpoint service draining version layers offset started',
        'its own word in the list changed',
    ),
    'endpoint dropped from the list': Kind(
        'endpoint used_for', 'nothing more is sent to it after that time'
    ),
    'engine holds weights': Kind(
        'endpoint version layers busy', 'no layers while it loads'
    ),
    'link of an endpoint': Kind(
        'endpoint congested',
        'requests go elsewhere where they can, or no longer',
    ),
    'member changed': Kind(
        'peer phase', 'an entry is new, started anew, is ready or leaves'
    ),
    'store lost': Kind(
        'topic error last_answer_ago', 'a call to the store failed'
    ),
    'store regained': Kind('topic lost_for', 'the store answers again'),
    'reading of the store': Kind(
        'topic reads', 'this process begins to read, or leaves it to others'
    ),
    'history was dropped': Kind('topic', 'the newest records are read instead'),
    'records taken from a peer': Kind(
        'peer topic news offset', 'it had read further'
    ),
    'records not fetched': Kind('peer', 'it did not hand them over'),
    'record passed over': Kind(
        'key offset',
        'it can not be decoded; what was in force stays, and an endpoint of '
        'that id gets nothing more. Once in 30 s for each key',
    ),
    'heartbeat dropped': Kind('peer', 'a message that is none'),
    'entries not read': Kind('', 'the list of entries; it is tried again'),
    'store not read': Kind(
        '', 'an agent that hears of no entry; it is tried again'
    ),
    'sent': Kind(
        'request attempt endpoint in_flight left resume_after',
        'an attempt begins',
    ),
    'no endpoint has room': Kind(
        'request service endpoint waiting slots',
        'the best one, and how many would wait there',
    ),
    'turned away by the endpoint': Kind(
        'request attempt endpoint status in_flight',
        'it did not run the request',
    ),
    'another endpoint or version answered': Kind(
        'request attempt endpoint answered_by version',
        'it did not run the request',
    ),
    'passed over the answer to another request': Kind(
        'request', 'it came where this one was expected'
    ),
    'attempt failed': Kind(
        'request attempt endpoint engine execution fault silent error '
        'after_event',
        'there is no whole answer',
    ),
    'failed by the endpoint': Kind(
        'request attempt endpoint status', 'it ran the request and says so'
    ),
    'sending once more': Kind(
        'request attempts decision', 'a repeat is allowed'
    ),
    'not sending once more': Kind('request attempts decision', 'and why not'),
    'answered': Kind(
        'request status attempts first seconds',
        'the caller has the whole answer',
    ),
    'ended without an answer': Kind(
        f'request reason status service attempts runs outcomes '
        f'decision {_PROGRESS_FIELDS}',
        'status 0 for a connection that was broken off',
    ),
    'refused': Kind(
        'request reason status host path configuration last_in store_age error',
        'before it was admitted',
    ),
    'input refused': Kind(
        'status refused',
        'what came is no request to serve; one line a second at most',
    ),
    'caller left': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'it ended its side of the connection; its work is ended',
    ),
    'connection reset': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'by the caller or by something between; its work is ended',
    ),
    'connection lost': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'the caller can not be reached any more; its work is ended',
    ),
    'cut off, not known why': Kind(
        f'request end attempts after_event {_PROGRESS_FIELDS}',
        'its work was ended, and its connection had not',
    ),
    'cut off by a fault of this entry': Kind(
        'request attempts error', 'which nobody foresaw; its caller is cut off'
    ),
    'getting pieces': Kind('version missing', 'an agent begins with a version'),
    'pieces stalled': Kind(
        'sources partners missing',
        'none came for a moment; agents go by what others have',
    ),
    'sources changed': Kind(
        'sources before missing', 'pieces come from others than before'
    ),
    'source passed over': Kind(
        'source trouble', 'slow, failing, behind or silent'
    ),
    'no answer': Kind('source', 'of a source, for the first time in a row'),
    'source answers again': Kind('source failures', 'after so many failures'),
    'manifest found': Kind('version rounds', 'an agent got it'),
    'no manifest': Kind('version', 'a source did not hand it over'),
    'piece is spoilt': Kind('piece source', 'it is not what its digest says'),
    'not handed out': Kind(
        'piece', 'a staged piece could not be read for another agent'
    ),
    'pieces got': Kind(
        'version missing from_origin from_agents seconds',
        'getting a version ends, whole or not',
    ),
    'staged pieces not read': Kind('', 'the engine did not answer'),
    'piece not staged': Kind(
        '', 'the engine did not take it, or it was spoilt there'
    ),
    'staged too long ago': Kind(
        'version', 'it is read back once more before the order'
    ),
    'the engine has restarted': Kind(
        'version', 'between the last look at it and the order, which is left'
    ),
    'turn to load': Kind(
        'version wait', 'seconds until the engine takes it up'
    ),
    'ordered to load': Kind(
        'version orders active answer', 'what the engine said'
    ),
    'not loaded': Kind('node', 'the engine did not answer'),
    'not fetched': Kind(
        'node', 'nobody had the manifest, or the engine did not answer'
    ),
    'not prepared': Kind(
        'version', 'nobody had the manifest of the version to get next'
    ),
}


def find_kind(message: str) -> Kind | None:
    """Return the kind of a line by its message."""
    return KINDS_BY_MESSAGE.get(message.partition(': ')[0])


def render_page() -> str:
    """Return the operators' page on log lines."""
    lines = [
        '# Log lines',
        '',
        'What processes on the direct path write, one JSON object a line. Made',
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
