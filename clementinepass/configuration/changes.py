"""Differences between requested sections and the state in force."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.configuration import checks, folder, records, schema

if typing.TYPE_CHECKING:
    from clementinepass.configuration import state

Values = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Sections to set or remove in a state."""

    set_by_section: dict[str, Values]
    removed: tuple[str, ...]

    @classmethod
    def between(
        cls,
        current: state.State,
        sections: folder.Sections,
        removed: typing.Collection[str],
    ) -> Changes:
        """Return the changes that turn a state into the requested one."""
        requested = {
            name: sections.texts_by_key(name) for name in sections.by_name
        }
        in_force = current.values_by_section()
        return cls(
            _changed_sections(in_force, requested),
            tuple(sorted(set(removed) & in_force.keys())),
        )

    def __bool__(self) -> bool:
        """Return whether there is anything to change."""
        return bool(self.set_by_section or self.removed)

    def applied(self, current: state.State) -> dict[str, Values]:
        """Return all sections after the changes, except derived ones."""
        sections = current.values_by_section() | self.set_by_section
        for removed_name in self.removed:
            sections.pop(removed_name, None)
        return {
            name: values
            for name, values in sections.items()
            if schema.kind_of(name) != schema.KEY_OWNER
        }

    def with_key_owners(self, current: state.State) -> Changes:
        """Add the derived sections that record which team owns a key.

        Two operators who give two teams the same key at the same time change
        no section in common, and callers would be assigned to the wrong team.
        Both publications set the derived section of the key, so the later
        one is rejected.
        """
        in_force = {
            name: values
            for name, values in current.values_by_section().items()
            if schema.kind_of(name) == schema.KEY_OWNER
        }
        requested = _key_owner_sections(self.applied(current))
        return Changes(
            self.set_by_section | _changed_sections(in_force, requested),
            self.removed + tuple(sorted(in_force.keys() - requested.keys())),
        )

    def expectations(self, current: state.State) -> dict[str, int]:
        """Return the revision of each section changed or depended on."""
        names = set(self.set_by_section) | set(self.removed)
        for touched, values in self.set_by_section.items():
            names |= checks.dependencies(touched, values)
        return {name: current.revision_of(name) for name in sorted(names)}

    def publication(
        self,
        current: state.State,
        *,
        unique_id: str,
        operator: str,
        message: str,
    ) -> records.Publication:
        """Return a publication that requests these changes."""
        return records.Publication(
            id=unique_id,
            operator=operator,
            message=message,
            checked_at=current.revision,
            expected_by_section=self.expectations(current),
            set_by_section=self.set_by_section,
            removed=self.removed,
        )


def _changed_sections(
    in_force: dict[str, Values],
    requested: dict[str, Values],
) -> dict[str, Values]:
    return {
        name: values
        for name, values in requested.items()
        if in_force.get(name) != values
    }


def _key_owner_sections(
    values_by_section: dict[str, Values],
) -> dict[str, Values]:
    owners = {}
    for name, values in values_by_section.items():
        if schema.kind_of(name) == schema.TEAM and 'key_sha256' in values:
            header = schema.header(schema.KEY_OWNER, values['key_sha256'])
            owners[header] = {schema.TEAM: schema.name_of(name)}
    return owners
