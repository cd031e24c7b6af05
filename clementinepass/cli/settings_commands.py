"""Commands on the daemon's settings: check, reference."""

from __future__ import annotations

import pathlib
import sys

import cyclopts

from clementinepass.cli import exits, output
from clementinepass.settings import reference as page, settings

app = cyclopts.App(
    name='settings',
    help="Check the daemon's settings and write their reference page.",
)

_PROJECT_ROOT = pathlib.Path(__file__).parent.parent.parent
_REFERENCE_PAGE = _PROJECT_ROOT / 'docs' / 'operators' / 'settings.md'


@app.command
def check(path: pathlib.Path, *, json: bool = False) -> None:
    """Check a settings file without opening any connection; list all faults.

    Example: ``clementinepass settings check /etc/clementinepass.ini``

    :param path: the settings file in INI format.
    :param json: print one JSON document.
    """
    with exits.report_errors():
        checked = settings.Settings.from_file(path)
    role = checked.daemon.role.value
    if json:
        output.print_json({'role': role, 'id': checked.daemon.id})
    else:
        output.screen.print(f'{path}: settings of an {role}, no faults')


@app.command
def reference(
    path: pathlib.Path = _REFERENCE_PAGE,
    *,
    check: bool = False,  # noqa: WPS442 (the option's name)
) -> None:
    """Write the reference page of all settings from the table of defaults.

    Example: ``clementinepass settings reference --check``

    :param path: the file to write.
    :param check: compare with the existing page instead of writing it.
    """
    text = page.render()
    if not check:
        path.write_text(text)
    elif not path.exists() or path.read_text() != text:
        sys.stderr.write(f'{path} is out of date with the table of defaults\n')
        sys.exit(exits.REJECTED)
