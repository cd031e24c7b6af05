"""Turn a table of cases into one test for each case."""

from __future__ import annotations

import functools
import typing

_TABLE = '_cases_by_name'
_Class = typing.TypeVar('_Class', bound=type)


def cases(**cases_by_name: object) -> typing.Callable:
    """Mark a test method as one that is run for each case."""

    def mark(method: typing.Callable) -> typing.Callable:
        setattr(method, _TABLE, cases_by_name)
        return method

    return mark


def expand(cls: _Class) -> _Class:
    """Replace each marked method by one test for each of its cases."""
    for name, method in list(vars(cls).items()):
        table = getattr(method, _TABLE, None)
        if table is None:
            continue
        delattr(cls, name)
        for case_name, case in table.items():
            setattr(cls, f'{name}_{case_name}', _bind(method, case))
    return cls


def _bind(method: typing.Callable, case: object) -> typing.Callable:
    @functools.wraps(method)
    def test(self: object) -> None:
        method(self, case)

    delattr(test, _TABLE)
    return test
