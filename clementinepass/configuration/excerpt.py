"""The part of a state that one agent needs."""

from __future__ import annotations

from clementinepass.configuration import schema, state


def for_endpoint(current: state.State, serves: str) -> state.State:
    """Return the sections about one model or service, at the same revision.

    With each change the whole state would go to each agent, of which it uses
    a few sections: at 2,000 sections and 1,900 changes a day some 8 KB a
    second for each agent, where a node may spend 2 KB on all control.

    An excerpt is for an agent's own use. It must never be folded or passed
    on, since others would take it for the whole state of its revision.
    """
    names = {
        schema.header(schema.MODEL, serves),
        schema.header(schema.SERVICE, serves),
    }
    kept = {
        name: section
        for name, section in current.sections_by_name.items()
        if name in names or _is_version_of(name, section, serves)
    }
    return state.State(current.revision, kept)


def _is_version_of(name: str, section: state.Section, model: str) -> bool:
    is_version = schema.kind_of(name) == schema.VERSION
    return is_version and section.values.get(schema.MODEL) == model
