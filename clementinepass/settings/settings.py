"""The daemon's settings, checked as a whole before anything is opened."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass import errors
from clementinepass.ini import reader
from clementinepass.platform import protocols
from clementinepass.settings import defaults

if typing.TYPE_CHECKING:
    import pathlib

_DAEMON_SECTION = 'daemon'
_ROLE_KEY = 'role'


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a daemon; sections of the other role are ``None``."""

    daemon: defaults.Daemon
    platform: defaults.Platform
    peers: defaults.Peers
    logging: defaults.Logging
    #: Entries only.
    callers: defaults.Callers | None = None
    #: Entries only.
    configuration: defaults.Configuration | None = None
    #: Agents only.
    endpoint: defaults.Endpoint | None = None
    #: Agents only.
    weights: defaults.Weights | None = None

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Settings:
        """Read and check a settings file.

        :raises ExceptionGroup: of ``SettingsError``, one for each fault.
        """
        return cls._from_document(reader.read(path))

    @classmethod
    def from_text(cls, text: str, file: str) -> Settings:
        """Parse and check settings from text.

        :param text: the content of a settings file.
        :param file: the file name to use in faults.

        :raises ExceptionGroup: of ``SettingsError``, one for each fault.
        """
        return cls._from_document(reader.parse(text, file))

    @classmethod
    def _from_document(cls, document: reader.Document) -> Settings:
        checker = _Checker(document)
        records_by_section = checker.check()
        if checker.faults:
            raise ExceptionGroup(
                f'{document.file}: settings have faults',
                [_to_error(fault) for fault in checker.faults],
            )
        return cls(**records_by_section)


def _to_error(fault: reader.Fault) -> errors.SettingsError:
    return errors.SettingsError(
        fault.detail,
        file=fault.file,
        line=fault.line,
        key=fault.key,
    )


class _Checker:
    """Check a document against the table of settings and collect all faults."""

    __slots__ = ('_document', 'faults')

    def __init__(self, document: reader.Document) -> None:
        self._document = document
        #: All faults found so far.
        self.faults = list(document.faults)

    def check(self) -> dict[str, typing.Any]:
        """Return the sections by name; complete only if there are no faults."""
        if self.faults and not self._document.sections_by_name:
            return {}
        self._check_names()
        role = self._parse_role()
        records_by_section = {}
        for name, section_type in defaults.SECTIONS_BY_NAME.items():
            if role is not None and role not in section_type.roles:
                self._check_other_role(name, role)
                continue
            section = self._document.sections_by_name.get(name)
            if role is None and section is None:
                continue
            values_by_key = self._check_section(name, section_type)
            if not self.faults:
                record = section_type.record(**values_by_key)
                records_by_section[name] = record
        self._check_relations(records_by_section)
        return records_by_section

    def _add_fault(
        self,
        location: reader.Section | reader.Entry | None,
        key: str,
        detail: str,
    ) -> None:
        line = 0 if location is None else location.line
        fault = reader.Fault(self._document.file, line, key, detail)
        self.faults.append(fault)

    def _check_names(self) -> None:
        for name, section in self._document.sections_by_name.items():
            section_type = defaults.SECTIONS_BY_NAME.get(name)
            if section_type is None:
                self._add_fault(section, name, 'unknown section')
                continue
            known_keys = section_type.settings_by_key()
            for key, entry in section.entries_by_key.items():
                if key not in known_keys:
                    self._add_fault(entry, f'{name}.{key}', 'unknown key')

    def _parse_role(self) -> protocols.Role | None:
        daemon = self._document.sections_by_name.get(_DAEMON_SECTION)
        role_entry = daemon and daemon.entries_by_key.get(_ROLE_KEY)
        if not role_entry:
            if daemon is None:
                self._add_fault(
                    None, f'{_DAEMON_SECTION}.{_ROLE_KEY}', 'is missing'
                )
            return None
        try:
            return protocols.Role(role_entry.text)
        except ValueError:
            return None

    def _check_other_role(self, name: str, role: protocols.Role) -> None:
        section = self._document.sections_by_name.get(name)
        if section is not None:
            self._add_fault(section, name, f'is not for role {role.value}')

    def _check_section(
        self,
        name: str,
        section_type: defaults.SectionType,
    ) -> dict[str, typing.Any]:
        section = self._document.sections_by_name.get(name)
        entries_by_key = {} if section is None else section.entries_by_key
        values_by_key = {}
        for key, key_setting in section_type.settings_by_key().items():
            entry = entries_by_key.get(key)
            text = key_setting.default if entry is None else entry.text
            if text is defaults.REQUIRED:
                self._add_fault(section, f'{name}.{key}', 'is missing')
                continue
            try:
                values_by_key[key] = key_setting.value_type.parse(text)
            except ValueError:
                detail = f'{text!r}: {key_setting.value_type.expected()}'
                self._add_fault(entry, f'{name}.{key}', detail)
        return values_by_key

    def _check_relations(self, records: dict[str, typing.Any]) -> None:
        if self.faults:
            return
        callers = records.get('callers')
        if callers is not None and callers.streams >= callers.threads:
            # If streams occupied all threads, a refusal would wait for a
            # stream to end and take seconds instead of milliseconds.
            self._add_relation_fault(
                'callers', 'streams', 'must be below threads'
            )
        peers = records['peers']
        if peers.heartbeat >= peers.silence:
            self._add_relation_fault(
                'peers', 'heartbeat', 'must be below silence'
            )

    def _add_relation_fault(self, name: str, key: str, detail: str) -> None:
        section = self._document.sections_by_name.get(name)
        entry = section and section.entries_by_key.get(key)
        self._add_fault(entry or section, f'{name}.{key}', detail)
