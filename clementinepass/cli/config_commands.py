"""Commands on the configuration: check, diff, publish, show, history."""

from __future__ import annotations

import getpass
import pathlib
import sys
import typing

import cyclopts
import msgspec

from clementinepass.cli import exits, output
from clementinepass.configuration import (
    changes,
    checks,
    folder,
    history as publication_history,
    publisher,
    schema,
)
from clementinepass.ini import values
from clementinepass.platform import log_service

app = cyclopts.App(
    name='config',
    help='Check, publish and show the configuration.',
)

LogAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name='--log',
        env_var='CLEMENTINEPASS_LOG',
        help='Address of the log service, host:port.',
    ),
]
RemovedSections = typing.Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name='--remove',
        negative=(),
        help="Remove a section, such as 'team alpha'; may be repeated.",
    ),
]


class Difference(msgspec.Struct, frozen=True):
    """A key whose values differ; a missing value is empty."""

    section: str
    key: str
    in_force: str
    folder: str


class Differences(msgspec.Struct, frozen=True):
    """The changes that publishing a folder would make."""

    revision: int
    differences: tuple[Difference, ...]
    #: Sections in force that are not in the folder; publishing keeps them.
    only_in_force: tuple[str, ...]


class PublicationResult(msgspec.Struct, frozen=True):
    """A publication that is in force."""

    revision: int
    #: Empty if nothing had to be changed.
    id: str


class SectionInForce(msgspec.Struct, frozen=True):
    """One section in force."""

    section: str
    revision: int
    values: dict[str, str]


@app.command
def check(path: pathlib.Path, *, json: bool = False) -> None:
    """Check a folder without network access; list all faults.

    Example: ``clementinepass config check configuration/``

    :param path: the folder of INI files.
    :param json: print one JSON document.
    """
    with exits.report_errors():
        sections = folder.read(path)
        checks.check(sections)
    names = sorted(sections.by_name)
    if json:
        output.print_json(names)
    else:
        output.screen.print(f'{path}: {len(names)} sections, no faults')


@app.command
def diff(path: pathlib.Path, *, log: LogAddress, json: bool = False) -> None:
    """Show the changes that publishing a folder would make.

    Example: ``clementinepass config diff configuration/ --log 10.0.0.5:7100``

    :param path: the folder of INI files.
    :param json: print one JSON document instead of a table.
    """
    with exits.report_errors():
        sections = folder.read(path)
        state = _publisher(log).current()
    wanted = changes.Changes.between(state, sections, ())
    in_force = state.values_by_section()
    summary = Differences(
        state.revision,
        tuple(_differences(in_force, wanted.set_by_section)),
        tuple(
            name
            for name in sorted(in_force.keys() - sections.by_name.keys())
            if schema.kind_of(name) != schema.KEY_OWNER
        ),
    )
    if json:
        output.print_json(summary)
        return
    output.print_table(
        f'against revision {summary.revision}',
        ('section', 'key', 'in force', 'folder'),
        (
            msgspec.structs.astuple(difference)
            for difference in summary.differences
        ),
    )
    for name in summary.only_in_force:
        output.screen.print(f'only in force: {name}', markup=False)


@app.command
def publish(
    path: pathlib.Path,
    *,
    log: LogAddress,
    message: typing.Annotated[
        str, cyclopts.Parameter(name=('--message', '-m'))
    ],
    operator: typing.Annotated[
        str,
        cyclopts.Parameter(env_var='CLEMENTINEPASS_OPERATOR'),
    ] = '',
    remove: RemovedSections = (),
    base: int | None = None,
    timeout: float = 10,
    json: bool = False,
) -> None:
    """Publish a folder and wait until the change is in force.

    Sections in force that the folder lacks are kept unless removed by name.

    Example: ``clementinepass config publish configuration/ -m 'Add team'``

    :param path: the folder of INI files.
    :param message: the purpose of the change.
    :param operator: the author of the change; the login name by default.
    :param base: the revision on which the folder is based; sections that
        others have changed since are not overwritten.
    :param timeout: seconds for which to try each of reading, appending, and
        finding the appended record.
    :param json: print one JSON document.
    """
    with exits.report_errors():
        accepted = _publisher(log, timeout).publish(
            folder.read(path),
            remove,
            operator=operator or getpass.getuser(),
            message=message,
            base=base,
        )
    if json:
        output.print_json(PublicationResult(accepted.revision, accepted.id))
    elif accepted.id:
        output.screen.print(
            f'accepted at revision {accepted.revision} ({accepted.id})',
        )
    else:
        output.screen.print(f'nothing to change at {accepted.revision}')


@app.command
def show(
    section: str = '',
    *,
    log: LogAddress,
    json: bool = False,
) -> None:
    """Show the sections in force and the revisions that set them.

    Example: ``clementinepass config show 'model faults'``

    :param section: the section to show; all by default.
    :param json: print one JSON document instead of a table.
    """
    with exits.report_errors():
        state = _publisher(log).current()
    shown_sections = [
        SectionInForce(name, found.revision, found.values)
        for name, found in sorted(state.sections_by_name.items())
        if section in {'', name} and schema.kind_of(name) != schema.KEY_OWNER
    ]
    if json:
        output.print_json(shown_sections)
    else:
        output.print_table(
            f'in force at revision {state.revision}',
            ('section', 'revision', 'key', 'value'),
            (
                (section_in_force.section, section_in_force.revision, key, text)
                for section_in_force in shown_sections
                for key, text in (section_in_force.values or {'': ''}).items()
            ),
        )
    if section and not shown_sections:
        sys.stderr.write(f'[{section}] is not in force\n')
        sys.exit(exits.REJECTED)


@app.command
def history(
    *,
    log: LogAddress,
    id: str = '',  # noqa: WPS125 (the option's name)
    limit: int = 50,
    json: bool = False,
) -> None:
    """Show the publications in the log and their outcomes.

    Example: ``clementinepass config history --id 3f2a... --json``

    :param id: the only publication to show.
    :param limit: the maximum number of publications; the newest are shown.
    :param json: print one JSON document instead of a table.
    """
    with exits.report_errors():
        events = publication_history.read(_connect(log))
    selected = [event for event in events if id in {'', event.id}][-limit:]
    if json:
        output.print_json(selected)
    else:
        output.print_table(
            'publications',
            ('revision', 'operator', 'message', 'outcome', 'detail', 'id'),
            (
                (
                    event.revision,
                    event.operator,
                    event.message,
                    event.outcome,
                    event.detail,
                    event.id,
                )
                for event in selected
            ),
        )
    if id and not selected:
        sys.stderr.write(f'publication {id} is not in the log so far\n')
        sys.exit(exits.REJECTED)


def _connect(address: str) -> log_service.HttpLogService:
    try:
        values.ADDRESS.parse(address)
    except ValueError:
        detail = values.ADDRESS.expected()
        sys.stderr.write(f'--log: {address!r}: {detail}\n')
        sys.exit(exits.BAD_INPUT)
    return log_service.HttpLogService(address)


def _publisher(address: str, timeout: float = 10) -> publisher.Publisher:
    return publisher.Publisher(_connect(address), timeout=timeout)


def _differences(
    in_force: dict[str, dict[str, str]],
    set_by_section: dict[str, dict[str, str]],
) -> typing.Iterator[Difference]:
    for section, wanted in sorted(set_by_section.items()):
        current_values = in_force.get(section, {})
        for key in sorted(current_values.keys() | wanted.keys()):
            difference = Difference(
                section,
                key,
                current_values.get(key, ''),
                wanted.get(key, ''),
            )
            if difference.in_force != difference.folder:
                yield difference
