"""What a publication would change in the state."""

from __future__ import annotations

import dataclasses
import typing

from clementinepass.configuration import checks, folder, records, schema

if typing.TYPE_CHECKING:
    from clementinepass.configuration import state

Values = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Sections that differ from a state."""

    set_by_section: dict[str, Values]
    removed: tuple[str, ...]

    @classmethod
    def between(
        cls,
        current: state.State,
        sections: folder.Sections,
        removed: typing.Collection[str],
    ) -> Changes:
        """Return what is left to do to a state."""
        wanted = {
            name: sections.texts_by_key(name) for name in sections.by_name
        }
        in_force = current.values_by_section()
        return cls(
            _differing(in_force, wanted),
            tuple(sorted(set(removed) & in_force.keys())),
        )

    def __bool__(self) -> bool:
        """Whether there is anything to change."""
        return bool(self.set_by_section or self.removed)

    def applied(self, current: state.State) -> dict[str, Values]:
        """Return all sections as they would be, without derived ones."""
        after = current.values_by_section() | self.set_by_section
        for gone in self.removed:
            after.pop(gone, None)
        return {
            name: values
            for name, values in after.items()
            if schema.kind_of(name) != schema.KEY_OWNER
        }

    def with_key_owners(self, current: state.State) -> Changes:
        """Add the derived sections that say which team owns a key.

        Two operators who give two teams the same key at the same time touch
        no section in common, and callers would be taken for the wrong team.
        The derived section is one that both touch, so the later one loses.
        """
        in_force = {
            name: values
            for name, values in current.values_by_section().items()
            if schema.kind_of(name) == schema.KEY_OWNER
        }
        wanted = _key_owners(self.applied(current))
        return Changes(
            self.set_by_section | _differing(in_force, wanted),
            self.removed + tuple(sorted(in_force.keys() - wanted.keys())),
        )

    def expectations(self, current: state.State) -> dict[str, int]:
        """Return the revision of each section touched or relied on."""
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
        """Return the record that asks for these changes."""
        return records.Publication(
            id=unique_id,
            operator=operator,
            message=message,
            checked_at=current.revision,
            expected_by_section=self.expectations(current),
            set_by_section=self.set_by_section,
            removed=self.removed,
        )


def _differing(
    in_force: dict[str, Values],
    wanted: dict[str, Values],
) -> dict[str, Values]:
    return {
        name: values
        for name, values in wanted.items()
        if in_force.get(name) != values
    }


def _key_owners(values_by_section: dict[str, Values]) -> dict[str, Values]:
    owners = {}
    for name, values in values_by_section.items():
        if schema.kind_of(name) == schema.TEAM and 'key_sha256' in values:
            header = schema.header(schema.KEY_OWNER, values['key_sha256'])
            owners[header] = {schema.TEAM: schema.name_of(name)}
    return owners
