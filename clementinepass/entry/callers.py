"""Callers' HTTP requests, checked and typed; nothing here does any I/O."""

from __future__ import annotations

import re
import typing

import msgspec

from clementinepass.requests import identity, problem

if typing.TYPE_CHECKING:
    from clementinepass import clock as clocks
    from clementinepass.configuration import catalogue as catalogues

MODEL_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))
SERVICES_PREFIX = '/v1/services/'
_DEFAULT_DEADLINE = 60.0
#: Seconds that a caller may give at most.
LONGEST_DEADLINE = 600.0
_SECOND = 1000
_LONGEST_KEY = 200
_BEARER = re.compile(r'Bearer +(\S+)', re.ASCII)
_JSON = 'application/json'
_FLAGS = {'yes': True, 'no': False}
_SAFE_METHODS = frozenset(('GET', 'HEAD'))


class CallerRequest(msgspec.Struct, frozen=True):
    """One HTTP request as it came."""

    id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


class _Completion(msgspec.Struct, frozen=True):
    """What an entry must know of a completion's body."""

    model: str
    stream: bool = False


class RefusedError(Exception):
    """A caller's request can't be served as it is."""

    def __init__(self, refusal: problem.Problem) -> None:
        super().__init__(refusal.detail)
        #: What the caller is told.
        self.problem = refusal


class Reader:
    """Turn callers' requests into typed ones.

    :param entry: the entry's name, for problems.
    """

    def __init__(self, entry: str, clock: clocks.Clock) -> None:
        self._entry = entry
        self._clock = clock

    def read(
        self,
        caller: CallerRequest,
        catalogue: catalogues.Catalogue,
        team: catalogues.Team | None,
    ) -> identity.Request:
        """Check one request.

        :param team: the team that the key belongs to.
        :raises RefusedError: it can't be served as it is.
        """
        if team is None:
            raise self.refused(
                caller,
                problem.Reason.UNAUTHORIZED,
                'the key is missing or unknown',
                'Authorization',
            )
        if caller.path in MODEL_PATHS:
            return self._read_completion(caller, catalogue, team)
        return self._read_service_call(caller, catalogue, team)

    def refused(
        self,
        caller: CallerRequest,
        reason: problem.Reason,
        detail: str,
        field: str = '',
    ) -> RefusedError:
        """Return the error for a request that was not run."""
        return RefusedError(
            problem.Problem.not_run(
                reason,
                step='read request',
                peer=self._entry,
                request_id=caller.id,
                detail=detail,
                field=field,
            ),
        )

    def _read_completion(
        self,
        caller: CallerRequest,
        catalogue: catalogues.Catalogue,
        team: catalogues.Team,
    ) -> identity.Request:
        if caller.method != 'POST':
            raise self.refused(
                caller,
                problem.Reason.METHOD_NOT_ALLOWED,
                'completions are posted',
            )
        content_type = caller.headers.get('content-type', _JSON)
        if content_type.partition(';')[0].strip().lower() != _JSON:
            raise self.refused(
                caller,
                problem.Reason.WRONG_CONTENT_TYPE,
                f'expected {_JSON}',
                'Content-Type',
            )
        completion = self._decode(caller)
        if completion.model not in catalogue.models_by_name:
            raise self.refused(
                caller,
                problem.Reason.UNKNOWN_TARGET,
                f'there is no model {completion.model!r}',
                'model',
            )
        return self._request(
            caller,
            team,
            target=completion.model,
            kind=identity.TargetKind.MODEL,
            path=caller.path,
            stream=completion.stream,
            idempotent=self._flag(caller, default=True),
        )

    def _decode(self, caller: CallerRequest) -> _Completion:
        try:
            return msgspec.json.decode(caller.body, type=_Completion)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise self.refused(
                caller,
                problem.Reason.MALFORMED,
                str(error),
                _field_of(str(error)),
            ) from error

    def _read_service_call(
        self,
        caller: CallerRequest,
        catalogue: catalogues.Catalogue,
        team: catalogues.Team,
    ) -> identity.Request:
        name, _, rest = caller.path.removeprefix(SERVICES_PREFIX).partition(
            '/',
        )
        service = catalogue.services_by_name.get(name)
        if service is None:
            raise self.refused(
                caller,
                problem.Reason.UNKNOWN_TARGET,
                f'there is no service {name!r}',
                'path',
            )
        repeatable = service.idempotent or caller.method in _SAFE_METHODS
        query = f'?{caller.query}' if caller.query else ''
        return self._request(
            caller,
            team,
            target=name,
            kind=identity.TargetKind.SERVICE,
            path=f'/{rest}{query}',
            stream=False,
            idempotent=self._flag(caller, default=repeatable),
        )

    def _request(
        self,
        caller: CallerRequest,
        team: catalogues.Team,
        *,
        target: str,
        kind: identity.TargetKind,
        path: str,
        stream: bool,
        idempotent: bool,
    ) -> identity.Request:
        return identity.Request(
            id=caller.id,
            team=team.name,
            target=target,
            kind=kind,
            method=caller.method,
            path=path,
            body=caller.body,
            deadline=self._clock.now() + self._seconds(caller),
            content_type=caller.headers.get('content-type', _JSON),
            stream=stream,
            idempotent=idempotent,
            idempotency_key=self._idempotency_key(caller),
            priority=self._priority(caller, team),
        )

    def _seconds(self, caller: CallerRequest) -> float:
        name = 'Clementinepass-Deadline-Ms'
        text = caller.headers.get(name.lower())
        if text is None:
            return _DEFAULT_DEADLINE
        if not (text.isascii() and text.isdigit() and len(text) < 9):
            raise self.refused(
                caller,
                problem.Reason.MALFORMED,
                'expected milliseconds',
                name,
            )
        return min(int(text) / _SECOND, LONGEST_DEADLINE)

    def _flag(self, caller: CallerRequest, *, default: bool) -> bool:
        name = 'Clementinepass-Idempotent'
        text = caller.headers.get(name.lower())
        if text is None:
            return default
        if text not in _FLAGS:
            raise self.refused(
                caller,
                problem.Reason.MALFORMED,
                'expected yes or no',
                name,
            )
        return _FLAGS[text]

    def _idempotency_key(self, caller: CallerRequest) -> str:
        name = 'Idempotency-Key'
        key = caller.headers.get(name.lower(), '')
        if len(key) > _LONGEST_KEY:
            raise self.refused(
                caller,
                problem.Reason.MALFORMED,
                f'longer than {_LONGEST_KEY} characters',
                name,
            )
        return key

    def _priority(
        self,
        caller: CallerRequest,
        team: catalogues.Team,
    ) -> identity.Priority:
        name = 'Clementinepass-Priority'
        text = caller.headers.get(name.lower(), team.priority_class)
        try:
            return identity.Priority(text)
        except ValueError:
            raise self.refused(
                caller,
                problem.Reason.MALFORMED,
                'expected interactive or batch',
                name,
            ) from None


def bearer_key(headers: dict[str, str]) -> str:
    """Return the key that a request carries; empty for none."""
    match = _BEARER.fullmatch(headers.get('authorization', ''))
    return match.group(1) if match else ''


def _field_of(message: str) -> str:
    """Return the field that a decoding error names."""
    _, _, path = message.partition('`$.')
    if path:
        return path.rstrip('`')
    _, _, name = message.partition('field `')
    return name.rstrip('`') or 'body'
