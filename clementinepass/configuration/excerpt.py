"""Excerpts of the configuration state for single agents."""

from __future__ import annotations

from clementinepass.configuration import schema, state


def for_endpoint(current: state.State, serves: str) -> state.State:
    """Return the sections of one model or service, at the same revision.

    Sending each agent the complete state after each change, although it uses
    only a few sections, would take some 8 KB per second and agent at 2,000
    sections and 1,900 changes a day; a node may spend 2 KB per second on all
    control traffic.

    An excerpt must never be folded or forwarded: the receiver would take it
    for the complete state of its revision.
    """
    names = {
        schema.header(schema.MODEL, serves),
        schema.header(schema.SERVICE, serves),
    }
    selected_sections = {
        name: section
        for name, section in current.sections_by_name.items()
        if name in names or _is_version_of(name, section, serves)
    }
    return state.State(current.revision, selected_sections)


def _is_version_of(name: str, section: state.Section, model: str) -> bool:
    is_version = schema.kind_of(name) == schema.VERSION
    return is_version and section.values.get(schema.MODEL) == model
