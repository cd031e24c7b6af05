"""Semantic checks, made before publishing and never in the fold."""

from __future__ import annotations

import typing

from clementinepass.configuration import folder, schema
from clementinepass.ini import reader

_NAMED_TARGETS = (schema.MODEL, schema.SERVICE)


def check(
    sections: folder.Sections,
    *,
    only: typing.Container[str] | None = None,
) -> None:
    """Check all sections and the references between them.

    :param only: the sections whose kinds, keys and values are checked; all
        by default. Other sections may have been written by newer software.
        References are always checked.
    :raises ExceptionGroup: of ``ConfigurationError``, one for each fault.
    """
    folder.raise_faults(_Checks(sections, only).run())


def dependencies(name: str, texts_by_key: typing.Mapping[str, str]) -> set[str]:
    """Return the sections whose presence or absence a section depends on."""
    kind = schema.kind_of(name)
    plain_name = schema.name_of(name)
    names = {
        schema.header(key.references, texts_by_key[label])
        for label, key in schema.KEYS_BY_KIND.get(kind, {}).items()
        if key.references and label in texts_by_key
    }
    if kind == schema.PROMISE:
        team, target = schema.promise_parts(plain_name)
        names.add(schema.header(schema.TEAM, team))
        # The target must not change from a model to a service or back.
        names.update(
            schema.header(other_kind, target) for other_kind in _NAMED_TARGETS
        )
    if kind in _NAMED_TARGETS:
        # A name belongs to either a model or a service, never to both.
        names.update(
            schema.header(other_kind, plain_name)
            for other_kind in _NAMED_TARGETS
        )
    return names - {name}


class _Checks:
    """A run of all checks, which collects faults."""

    __slots__ = ('_by_name', '_faults', '_only')

    def __init__(
        self,
        sections: folder.Sections,
        only: typing.Container[str] | None,
    ) -> None:
        self._by_name = sections.by_name
        self._only = only
        self._faults: list[reader.Fault] = []

    def run(self) -> list[reader.Fault]:
        """Return all faults, in the order of the sections."""
        for section in self._by_name.values():
            if self._only is None or section.name in self._only:
                self._check_form(section)
            self._check_references(section)
        self._check_key_owners()
        return self._faults

    def _add_fault(
        self,
        position: reader.Section | reader.Entry,
        key: str,
        detail: str,
    ) -> None:
        fault = reader.Fault(position.file, position.line, key, detail)
        self._faults.append(fault)

    def _check_form(self, section: reader.Section) -> None:
        kind = schema.kind_of(section.name)
        keys = schema.KEYS_BY_KIND.get(kind)
        if keys is None:
            self._add_fault(section, section.name, 'unknown section')
            return
        if not schema.is_name(kind, schema.name_of(section.name)):
            self._add_fault(
                section, section.name, f'malformed name of a {kind}'
            )
        for label, entry in section.entries_by_key.items():
            schema_key = keys.get(label)
            if schema_key is None:
                self._add_fault(entry, _path(section, label), 'unknown key')
            else:
                self._check_value(section, label, schema_key)
        for label, key in keys.items():
            if key.default is None and label not in section.entries_by_key:
                self._add_fault(section, _path(section, label), 'is missing')

    def _check_value(
        self,
        section: reader.Section,
        label: str,
        key: schema.Key,
    ) -> None:
        entry = section.entries_by_key[label]
        try:
            key.value_type.parse(entry.text)
        except ValueError:
            detail = f'{entry.text!r}: {key.value_type.expected()}'
            self._add_fault(entry, _path(section, label), detail)

    def _check_references(self, section: reader.Section) -> None:
        kind = schema.kind_of(section.name)
        if kind == schema.PROMISE:
            self._check_promise(section)
        elif kind == schema.MODEL:
            self._check_model(section)
        for label, key in schema.KEYS_BY_KIND.get(kind, {}).items():
            entry = section.entries_by_key.get(label)
            if entry is None or not key.references:
                continue
            referenced = schema.header(key.references, entry.text)
            if referenced not in self._by_name:
                detail = f'there is no [{referenced}]'
                self._add_fault(entry, _path(section, label), detail)

    def _check_promise(self, section: reader.Section) -> None:
        team, target = schema.promise_parts(schema.name_of(section.name))
        referenced = schema.header(schema.TEAM, team)
        if referenced not in self._by_name:
            self._add_fault(
                section, section.name, f'there is no [{referenced}]'
            )
        targets = [schema.header(kind, target) for kind in _NAMED_TARGETS]
        if not any(name in self._by_name for name in targets):
            detail = f'there is neither [{targets[0]}] nor [{targets[1]}]'
            self._add_fault(section, section.name, detail)

    def _check_model(self, section: reader.Section) -> None:
        name = schema.name_of(section.name)
        service = schema.header(schema.SERVICE, name)
        if service in self._by_name:
            detail = f'[{service}] has the same name'
            self._add_fault(section, section.name, detail)
        entry = section.entries_by_key.get(schema.VERSION)
        if entry is None:
            return
        version = self._by_name.get(schema.header(schema.VERSION, entry.text))
        model = version and version.entries_by_key.get(schema.MODEL)
        if model and model.text != name:
            detail = f'version {entry.text} is of model {model.text}'
            self._add_fault(entry, _path(section, schema.VERSION), detail)

    def _check_key_owners(self) -> None:
        owners_by_digest: dict[str, str] = {}
        for section in self._by_name.values():
            entry = section.entries_by_key.get('key_sha256')
            if schema.kind_of(section.name) != schema.TEAM or entry is None:
                continue
            owner = owners_by_digest.setdefault(entry.text, section.name)
            if owner != section.name:
                detail = f'[{owner}] has the same key'
                self._add_fault(entry, _path(section, 'key_sha256'), detail)


def _path(section: reader.Section, label: str) -> str:
    return f'{section.name}.{label}'
