"""The configuration in force as typed objects.

Sections and keys that only newer software knows are ignored.
"""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.configuration import schema

if typing.TYPE_CHECKING:
    from clementinepass.configuration import state

T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A team and the key that authenticates its callers."""

    name: str
    #: The SHA-256 of the team's key, in hexadecimal.
    key_digest: str
    #: ``interactive`` or ``batch``.
    priority_class: str
    #: The revision that set the section.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model and the version that it should serve."""

    name: str
    #: Name of the version.
    version: str
    #: Largest fraction of replicas that change versions at a time.
    wave: float
    #: The revision that set the section.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of a model's weights."""

    name: str
    #: Name of the model.
    model: str
    #: The SHA-256 of the manifest, in hexadecimal.
    manifest: str
    #: The revision that set the section.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A plain service."""

    name: str
    #: Whether its calls may be retried.
    idempotent: bool
    #: Seconds after which a rejected caller may retry.
    retry_after: float
    #: The revision that set the section.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseName:
    """The team and target that identify a promise."""

    team: str
    #: Name of a model or a service.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """Service levels promised to a team on a model or a service."""

    name: PromiseName
    #: Number of concurrent requests.
    concurrency: int
    #: Time to first token, in seconds.
    first_token: float
    #: The revision that set the section.
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """All objects of one revision."""

    revision: int
    teams_by_name: dict[str, Team]
    teams_by_key_digest: dict[str, Team]
    models_by_name: dict[str, Model]
    versions_by_name: dict[str, Version]
    services_by_name: dict[str, Service]
    promises_by_team_and_target: dict[PromiseName, Promise]
    #: Headers of the sections that could not be parsed.
    skipped: tuple[str, ...]

    @classmethod
    def from_state(cls, current: state.State) -> Catalogue:
        """Return the objects that a state describes."""
        return _Builder(current).build()


class _Builder:
    """Builds the catalogue of one state."""

    __slots__ = ('_skipped', '_state')

    def __init__(self, current: state.State) -> None:
        self._state = current
        self._skipped: list[str] = []

    def build(self) -> Catalogue:
        """Return the catalogue."""
        teams = self._build_all(schema.TEAM, _team)
        models = self._build_all(schema.MODEL, _model)
        versions = self._build_all(schema.VERSION, _version)
        services = self._build_all(schema.SERVICE, _service)
        promises = self._build_all(schema.PROMISE, _promise)
        return Catalogue(
            revision=self._state.revision,
            teams_by_name={team.name: team for team in teams},
            teams_by_key_digest=_first_by_key_digest(teams),
            models_by_name={model.name: model for model in models},
            versions_by_name={version.name: version for version in versions},
            services_by_name={service.name: service for service in services},
            promises_by_team_and_target={
                promise.name: promise for promise in promises
            },
            skipped=tuple(self._skipped),
        )

    def _build_all(
        self,
        kind: str,
        build_object: typing.Callable[[str, _Values], T],
    ) -> list[T]:
        objects = []
        for header, section in sorted(self._state.sections_by_name.items()):
            if schema.kind_of(header) != kind:
                continue
            values = _Values(kind, section)
            try:
                objects.append(build_object(schema.name_of(header), values))
            except (KeyError, ValueError):
                # Newer software may have changed a value's syntax. One such
                # section must not make all others unavailable.
                self._skipped.append(header)
        return objects


class _Values:
    """The parsed values of one section, with defaults."""

    __slots__ = ('_keys', '_section')

    def __init__(self, kind: str, section: state.Section) -> None:
        self._keys = schema.KEYS_BY_KIND[kind]
        self._section = section

    @property
    def revision(self) -> int:
        """The revision that set the section."""
        return self._section.revision

    def get(self, label: str) -> typing.Any:
        """Return a key's value or default."""
        key = self._keys[label]
        text = self._section.values.get(label, key.default)
        if text is None:
            raise KeyError(label)
        return key.value_type.parse(text)


def _team(name: str, values: _Values) -> Team:
    return Team(
        name,
        key_digest=values.get('key_sha256'),
        priority_class=values.get('class'),
        revision=values.revision,
    )


def _model(name: str, values: _Values) -> Model:
    return Model(
        name,
        version=values.get('version'),
        wave=values.get('wave'),
        revision=values.revision,
    )


def _version(name: str, values: _Values) -> Version:
    return Version(
        name,
        model=values.get('model'),
        manifest=values.get('manifest'),
        revision=values.revision,
    )


def _service(name: str, values: _Values) -> Service:
    return Service(
        name,
        idempotent=values.get('idempotent'),
        retry_after=values.get('retry_after'),
        revision=values.revision,
    )


def _promise(name: str, values: _Values) -> Promise:
    return Promise(
        PromiseName(*schema.promise_parts(name)),
        concurrency=values.get('concurrency'),
        first_token=values.get('first_token'),
        revision=values.revision,
    )


def _first_by_key_digest(teams: list[Team]) -> dict[str, Team]:
    """Map keys to teams; of two teams with one key the first owns it."""
    newest_first = sorted(teams, key=_claim_order, reverse=True)
    return {team.key_digest: team for team in newest_first}


def _claim_order(team: Team) -> tuple[int, str]:
    return team.revision, team.name
