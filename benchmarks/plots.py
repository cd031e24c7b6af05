"""Draw the measured slopes into docs/measurements/slopes.png."""

from __future__ import annotations

import math
import pathlib
import typing

import cyclopts
import msgspec
from matplotlib import figure as figures

from benchmarks import slopes

if typing.TYPE_CHECKING:
    from matplotlib import axes

_FOLDER = pathlib.Path(__file__).parent.parent / 'docs' / 'measurements'
_COLUMNS = 4
_WIDTH = 4
_HEIGHT = 3


def main() -> None:
    """Draw one panel for each figure: the points of all runs and the line."""
    measured = msgspec.json.decode(
        (_FOLDER / 'slopes.json').read_bytes(),
        type=slopes.Slopes,
    )
    panels = [
        (series, name)
        for series in measured.series_by_item.values()
        for name in series.fits_by_figure
    ]
    rows = math.ceil(len(panels) / _COLUMNS)
    page = figures.Figure(figsize=(_COLUMNS * _WIDTH, rows * _HEIGHT))
    grid = page.subplots(rows, _COLUMNS).flatten()
    for axis in grid[len(panels) :]:
        axis.set_visible(False)
    for axis, (series, name) in zip(grid, panels, strict=False):
        _draw(axis, series, name)
    page.tight_layout()
    page.savefig(_FOLDER / 'slopes.png', dpi=60)


def _draw(axis: axes.Axes, series: slopes.Series, name: str) -> None:
    fit = series.fits_by_figure[name]
    for run in series.points:
        axis.plot(
            [point.size for point in run],
            [point.figures_by_name[name] for point in run],
            'o',
            markersize=4,
        )
    ends = (min(series.sizes), max(series.sizes))
    axis.plot(ends, [fit.base + fit.slope * size for size in ends], '-')
    axis.set_title(name, fontsize=9)
    axis.set_xlabel(series.item, fontsize=8)
    axis.set_ylim(bottom=0)


if __name__ == '__main__':
    cyclopts.run(main)
