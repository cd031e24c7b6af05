"""Processor time and memory of processes, read from the operating system."""

from __future__ import annotations

import os
import pathlib

import msgspec

_TICKS = os.sysconf('SC_CLK_TCK')
_KIB = 1024
_USER_FIELD = 11
_SYSTEM_FIELD = 12


class Usage(msgspec.Struct, frozen=True):
    """What a process has used so far."""

    #: Seconds of processor time, user and system.
    processor: float
    #: Bytes of resident memory now.
    resident: int
    #: Bytes of resident memory at the peak.
    peak: int


def of(pid: int) -> Usage:
    """Return what a process has used."""
    folder = pathlib.Path('/proc') / str(pid)
    stat = (folder / 'stat').read_text().rpartition(')')[2].split()
    status_by_key = {}
    for line in (folder / 'status').read_text().splitlines():
        key, _, text = line.partition(':')
        status_by_key[key] = text.split()
    ticks = int(stat[_USER_FIELD]) + int(stat[_SYSTEM_FIELD])
    return Usage(
        ticks / _TICKS,
        int(status_by_key['VmRSS'][0]) * _KIB,
        int(status_by_key['VmHWM'][0]) * _KIB,
    )
