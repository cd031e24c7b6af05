"""Turn measured slopes into the tables of docs/measurements/gates.md."""

from __future__ import annotations

import pathlib
import typing

import cyclopts
import msgspec

from benchmarks import slopes

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'
_SLOPES = _DOCS / 'measurements' / 'slopes.json'
_PATH = _DOCS / 'measurements' / 'path.json'
_PAGE = _DOCS / 'measurements' / 'gates.md'
_BEGIN = '<!-- tables: made by scripts/bench capacity -->'
_END = '<!-- end of tables -->'

# The size to plan for.
_NODES = 330
_AGENTS = 1500
_ENTRIES = 9
_REQUESTS = 4200
_TOKENS = 1.5e6
_PROMISES = 200
#: Budgets of a node for control.
_CORE_BUDGET = 1.5
_MEMORY_BUDGET = 128
_BYTES_BUDGET = 2000
_MILLION = 1e6
_PERCENT = 100


class Row(msgspec.Struct, frozen=True):
    """One line of a table: a figure at the planned size."""

    what: str
    #: How it follows from slope and count.
    reckoning: str
    value: float
    unit: str
    #: The budget that it is held against; 0 for none.
    budget: float
    mechanism: str

    def cells(self) -> tuple[str, ...]:
        """Return the row as cells; over budget in bold."""
        text = f'{self.value:,.1f} {self.unit}'
        if self.budget and self.value > self.budget:
            text = f'**{text}, over {self.budget:,.1f}**'
        elif self.budget:
            text = f'{text} of {self.budget:,.1f}'
        return self.what, self.reckoning, text, self.mechanism


def main(*, write: bool = False) -> None:
    """Print the tables, or write them into the page.

    :param write: replace the tables in the page.
    """
    measured = msgspec.json.decode(_SLOPES.read_bytes(), type=slopes.Slopes)
    path_figures = msgspec.json.decode(_PATH.read_bytes())
    text = '\n'.join(
        (
            _table('Slopes', _SLOPE_HEADINGS, _slope_cells(measured)),
            _table(
                'An agent at the planned size',
                _ROW_HEADINGS,
                [row.cells() for row in _agent_rows(measured, path_figures)],
            ),
            _table(
                'An entry at the planned size',
                _ROW_HEADINGS,
                [row.cells() for row in _entry_rows(measured, path_figures)],
            ),
        ),
    )
    if not write:
        print(text)
        return
    page = _PAGE.read_text()
    head, _, rest = page.partition(_BEGIN)
    tail = rest.partition(_END)[2]
    _PAGE.write_text(f'{head}{_BEGIN}\n\n{text}\n{_END}{tail}')


_SLOPE_HEADINGS = (
    'grows with',
    'figure',
    'sizes',
    'at 0',
    'slope (median)',
    'spread over runs',
    'largest distance from the line',
)
_ROW_HEADINGS = ('figure', 'reckoning', 'value', 'carried by')


def _table(
    title: str,
    headings: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[str]],
) -> str:
    lines = [
        f'## {title}',
        '',
        _line(headings),
        _line('---' for _ in headings),
    ]
    lines.extend(_line(row) for row in rows)
    return '\n'.join((*lines, ''))


def _line(cells: typing.Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _slope_cells(measured: slopes.Slopes) -> list[tuple[str, ...]]:
    return [
        (
            item,
            name,
            ', '.join(str(size) for size in series.sizes),
            f'{fit.base:,.3g}',
            f'{fit.slope:,.3g}',
            f'{fit.least:,.3g} to {fit.most:,.3g}',
            f'{_PERCENT * fit.deviation:.0f}%',
        )
        for item, series in measured.series_by_item.items()
        for name, fit in series.fits_by_figure.items()
    ]


class _Lines:
    """Values on the fitted lines."""

    def __init__(self, measured: slopes.Slopes) -> None:
        self._series_by_item = measured.series_by_item

    def slope(self, item: str, figure: str) -> float:
        """Return the growth for each further item."""
        return self._series_by_item[item].fits_by_figure[figure].slope

    def at(self, item: str, figure: str, size: float) -> float:
        """Return the value at a size."""
        fit = self._series_by_item[item].fits_by_figure[figure]
        return fit.base + fit.slope * size


def _agent_rows(
    measured: slopes.Slopes,
    path_figures: dict[str, float],
) -> list[Row]:
    lines = _Lines(measured)
    tokens = _TOKENS / _AGENTS
    per_token = path_figures['agent_us_per_token']
    per_request = lines.slope('requests', 'agent_us')
    requests = _REQUESTS / _AGENTS
    return [
        Row(
            'processor, idle',
            f'line over entries at {_ENTRIES}',
            lines.at('entries', 'agent_core_percent', _ENTRIES),
            '% of a core',
            _CORE_BUDGET,
            'watch answered once a second (`agent/agent.py`)',
        ),
        Row(
            'memory, without weights',
            f'line over entries at {_ENTRIES}',
            lines.at('entries', 'agent_resident_mb', _ENTRIES),
            'MB',
            _MEMORY_BUDGET,
            'state per entry in `agent/links.py`',
        ),
        Row(
            'control bytes, both ways',
            f'line over entries at {_ENTRIES}',
            lines.at('entries', 'agent_bytes_per_s', _ENTRIES),
            'bytes/s',
            _BYTES_BUDGET,
            'unchanged states left out (`agent/servers.py`)',
        ),
        Row(
            'processor for requests',
            f'{per_request:,.0f} us x {requests:.1f}/s',
            per_request * requests / _MILLION * _PERCENT,
            '% of a core',
            0,
            'one thread a run (`agent/execution.py`)',
        ),
        Row(
            'processor for tokens',
            f'{per_token:,.0f} us x {tokens:,.0f}/s',
            per_token * tokens / _MILLION * _PERCENT,
            '% of a core',
            0,
            'frames of all streams in one message (`agent/links.py`)',
        ),
    ]


def _entry_rows(
    measured: slopes.Slopes,
    path_figures: dict[str, float],
) -> list[Row]:
    lines = _Lines(measured)
    return [
        *_entry_control_rows(lines),
        *_entry_traffic_rows(lines, path_figures),
    ]


def _entry_control_rows(lines: _Lines) -> list[Row]:
    return [
        Row(
            f'processor, idle, {_AGENTS} agents',
            'line over agents',
            lines.at('agents', 'entry_core_percent', _AGENTS),
            '% of a core',
            _CORE_BUDGET,
            'one connection and one watch an agent (`entry/agent_peers.py`)',
        ),
        Row(
            f'memory, {_AGENTS} agents',
            'line over agents',
            lines.at('agents', 'entry_resident_mb', _AGENTS),
            'MB',
            _MEMORY_BUDGET,
            'one peer object an agent (`entry/agent_peers.py`)',
        ),
        Row(
            f'control bytes to agents, {_AGENTS} agents',
            'agents x bytes of one connection, from the line over entries',
            _AGENTS * lines.slope('entries', 'agent_bytes_per_s'),
            'bytes/s',
            _BYTES_BUDGET,
            'watch of each agent (`entry/agent_peers.py`)',
        ),
        Row(
            f'control bytes from {_ENTRIES - 1} other entries',
            f'line over entries at {_ENTRIES}',
            lines.at('entries', 'entry_bytes_per_s', _ENTRIES),
            'bytes/s',
            _BYTES_BUDGET,
            'changed shares only (`entry/share_book.py`)',
        ),
        Row(
            f'processor for {_PROMISES} promises, idle',
            'slope over teams x promises',
            _PROMISES * lines.slope('teams', 'entry_core_percent'),
            '% of a core',
            _CORE_BUDGET,
            'shares looked at twice a second (`entry/entry.py`)',
        ),
    ]


def _entry_traffic_rows(
    lines: _Lines,
    path_figures: dict[str, float],
) -> list[Row]:
    per_token = path_figures['entry_us_per_token']
    per_request = lines.slope('requests', 'entry_us')
    return [
        Row(
            f'processor for requests, {_ENTRIES} entries',
            f'{per_request:,.0f} us x {_REQUESTS / _ENTRIES:,.0f}/s',
            per_request * _REQUESTS / _ENTRIES / _MILLION * _PERCENT,
            '% of a core',
            _PERCENT,
            'thread, admission, dispatch (`entry/http.py`)',
        ),
        Row(
            f'processor for tokens, {_ENTRIES} entries',
            f'{per_token:,.0f} us x {_TOKENS / _ENTRIES:,.0f}/s',
            per_token * _TOKENS / _ENTRIES / _MILLION * _PERCENT,
            '% of a core',
            _PERCENT,
            'the loop writes the pieces (`entry/direct.py`)',
        ),
        Row(
            f'processor for tokens, an entry on each of {_NODES} nodes',
            f'{per_token:,.0f} us x {_TOKENS / _NODES:,.0f}/s',
            per_token * _TOKENS / _NODES / _MILLION * _PERCENT,
            '% of a core',
            _PERCENT,
            'the loop writes the pieces (`entry/direct.py`)',
        ),
    ]


if __name__ == '__main__':
    cyclopts.run(main)
