"""The command that tells the story of a request from collected logs."""

from __future__ import annotations

import pathlib
import sys
import typing

from clementinepass.cli import exits, output
from clementinepass.observability import stories

if typing.TYPE_CHECKING:
    from collections.abc import Sequence


def explain(
    request: str,
    *files: pathlib.Path,
    json: bool = False,
) -> None:
    """Tell what became of a request, from the logs of several processes.

    Shows its cause, as far as its lines prove one, and what led to it; its
    lines in order, what the processes that it met believed when it came and
    for how long, and what may be missing.  Times are those of each process's
    own clock.

    Example: ``clementinepass explain 7b0eacb332610d16 logs/*.log``

    :param request: the id that its caller gave it.
    :param files: one for each process, named after it.
    :param json: print one JSON document instead of tables.
    """
    collection = _collect(files)
    story = collection.build_story(request)
    if story is None:
        sys.stderr.write(
            f'{request}: no line of {len(files)} files is of this request; of '
            'those that go well one in sixteen is written of '
            f'(lines that could not be read: {collection.unreadable_lines})\n',
        )
        for line in collection.find_killed_entries():
            sys.stderr.write(
                f'may be missing: {line.process} began anew at '
                f'{line.fields.get("time")} without having stopped; what was '
                'in progress there has no line\n',
            )
        sys.exit(exits.REJECTED)
    if json:
        output.print_json(story)
        return
    _print_story(request, story)
    if collection.unreadable_lines:
        output.screen.print(
            f'{collection.unreadable_lines} lines could not be read'
        )


def _collect(files: Sequence[pathlib.Path]) -> stories.LogCollection:
    collection = stories.LogCollection()
    if not files:
        sys.stderr.write('no files: name the log of each process\n')
        sys.exit(exits.BAD_INPUT)
    for path in files:
        try:
            payload = path.read_bytes()
        except OSError as error:
            sys.stderr.write(f'{path}: {error.strerror}\n')
            sys.exit(exits.BAD_INPUT)
        collection.add(path.stem, payload.splitlines())
    return collection


def _print_story(request: str, story: stories.Story) -> None:
    started_at = story.lines[0].at
    output.print_table(
        f'request {request}',
        ('seconds', 'process', 'what', 'why'),
        [
            (
                f'{line.at - started_at:.3f}',
                line.process,
                line.message,
                line.details,
            )
            for line in story.lines
        ],
    )
    _print_cause(story)
    output.print_table(
        'believed when it came',
        ('process', 'what', 'for seconds', 'of'),
        [
            (
                observation.line.process,
                observation.line.message,
                f'{observation.age:.1f}',
                observation.line.details,
            )
            for observation in story.observations
        ],
    )
    for gap in story.gaps:
        output.screen.print(f'may be missing: {gap}')


def _print_cause(story: stories.Story) -> None:
    verdict = story.verdict
    output.screen.print(
        f'cause: {verdict.cause.value}: {verdict.sentence}',
        markup=False,
    )
    for sentence in verdict.contributions:
        output.screen.print(f'led to it: {sentence}', markup=False)
    for observation in story.deciding_observations:
        output.screen.print(
            f'by: {observation.line.message} {observation.line.details}, '
            f'{observation.age:.1f} s before it ended',
            markup=False,
        )
    if story.first_failure is not None:
        output.screen.print(
            f'first went wrong: {story.first_failure.message} '
            f'at {story.first_failure.process}',
        )
