"""A small process that follows the configuration, as an entry does."""

from __future__ import annotations

import hashlib
import time

import cyclopts

from clementinepass import errors
from clementinepass.configuration import follower, snapshots, state
from clementinepass.platform import log_service

_WAIT = 5
_RETRY = 0.05


def digest(current: state.State) -> str:
    """Return what tells two states apart."""
    return hashlib.sha256(current.encode()).hexdigest()[:16]


def main(*, log: str, every: int = 5, age: float = 60) -> None:
    """Print revision, digest and time of each state that comes in force.

    :param log: where the log service is.
    :param every: records after which a snapshot is due.
    :param age: seconds after which one is due.
    """
    service = log_service.HttpLogService(log)
    reader = follower.Follower(service)
    snapshotter = snapshots.Snapshotter(service, every=every, age=age)
    print('reading', flush=True)
    while True:
        before = reader.current.revision
        try:
            current = reader.poll(_WAIT)
            if current.revision > before:
                seen = f'{current.revision} {digest(current)}'
                print(f'state {seen} {time.monotonic()}', flush=True)
            snapshotter.append_if_due(current)
        except (errors.PlatformUnavailableError, errors.MalformedMessageError):
            time.sleep(_RETRY)


if __name__ == '__main__':
    cyclopts.run(main)
