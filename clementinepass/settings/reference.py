"""Render the reference page of all settings from the table of defaults."""

from __future__ import annotations

import typing

from clementinepass.platform import protocols
from clementinepass.settings import defaults

_INTRODUCTION = """\
# Settings of the daemon

Written by `clementinepass settings reference` from the table of defaults.

`clementinepassd` reads one INI file when it starts. It checks the whole file
before it opens any connection and lists all faults; to check a file manually,
run `clementinepass settings check FILE`. SIGHUP reloads `[logging] level`
only. Durations are written as `250ms`, `4s`, `2min` or `1h`, sizes as `64MB`
or `64MiB`, rates as `100MB/s`, addresses as IP address and port.
"""
_COLUMNS = ('key', 'value', 'default', 'meaning')


def render() -> str:
    """Return the text of the page."""
    parts = [_INTRODUCTION]
    for name, section_type in defaults.SECTIONS_BY_NAME.items():
        parts.append(_render_section(name, section_type))
    return '\n'.join(parts)


def _render_section(name: str, section_type: defaults.SectionType) -> str:
    role = ''
    if section_type.roles != defaults.BOTH:
        role = f' ({_role_names(section_type.roles)} only)'
    lines = [
        f'## `[{name}]`{role}',
        '',
        section_type.record.__doc__ or '',
        '',
        _row(_COLUMNS),
        _row(['---' for _ in _COLUMNS]),
    ]
    for key, setting in section_type.settings_by_key().items():
        is_required = setting.default is defaults.REQUIRED
        default = 'required' if is_required else f'`{setting.default}`'
        value = setting.value_type.name
        lines.append(_row((f'`{key}`', value, default, setting.description)))
    return '\n'.join([*lines, ''])


def _role_names(roles: frozenset[protocols.Role]) -> str:
    return ', '.join(sorted(role.value for role in roles))


def _row(cells: typing.Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'
