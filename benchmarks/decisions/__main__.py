"""Print baseline and chosen decisions side by side for each workload."""

from __future__ import annotations

import json
import statistics
import typing

import cyclopts
import rich.console
import rich.table

from benchmarks.decisions import policies, runner, workloads

app = cyclopts.App(name='decisions', help=__doc__)

_COLUMNS = (
    'fairness',
    'goodput',
    'answered',
    'wasted',
    'first_token_p95',
    'amplification',
    'offers',
    'recovery',
    'hits',
)
_DIGITS = 3


Averages = dict[str, typing.Any]


def _average(outcomes: list[runner.Outcome]) -> Averages:
    merged: Averages = {}
    for column in _COLUMNS:
        values = [getattr(outcome, column) for outcome in outcomes]
        if None in values:
            merged[column] = None
        else:
            merged[column] = round(statistics.mean(values), _DIGITS)
    merged['kept_by_team'] = {
        team: round(
            statistics.mean(one.kept_by_team[team] for one in outcomes),
            _DIGITS,
        )
        for team in outcomes[0].kept_by_team
    }
    return merged


def _show(results: dict[str, dict[str, Averages]]) -> None:
    table = rich.table.Table('workload', 'policy', *_COLUMNS)
    for workload, by_policy in results.items():
        for policy, merged in by_policy.items():
            table.add_row(
                workload,
                policy,
                *(
                    '' if merged[c] is None else f'{merged[c]}'
                    for c in _COLUMNS
                ),
            )
    rich.console.Console(width=150).print(table)


@app.default
def main(
    *,
    only: tuple[str, ...] = (),
    variants: bool = False,
    seeds: int = 3,
    json_line: typing.Annotated[
        bool,
        cyclopts.Parameter(name='--json'),
    ] = False,
) -> None:
    """Run the table.

    :param only: names of workloads; all if none is given.
    :param variants: run variants of the chosen policy as well.
    :param seeds: how many seeds to average over.
    :param json_line: print the result as one JSON object at the end.
    """
    by_name = dict(policies.POLICIES)
    if variants:
        by_name.update(policies.VARIANTS)
    results: dict[str, dict[str, Averages]] = {}
    for workload in workloads.WORKLOADS:
        if only and workload.name not in only:
            continue
        results[workload.name] = {
            name: _average(
                [
                    runner.run(workload, make_policy, seed)
                    for seed in range(seeds)
                ],
            )
            for name, make_policy in by_name.items()
        }
    _show(results)
    if json_line:
        print(json.dumps({'benchmark': 'decisions', 'results': results}))


if __name__ == '__main__':
    app()
