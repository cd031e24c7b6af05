"""Processes of a trial system: started, awaited, stopped by id."""

from __future__ import annotations

import ctypes
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import typing

#: Seconds that a process may take until it listens.
_START_TIMEOUT = 60.0
#: Seconds that a process may take to end once it was told to.
_STOP_TIMEOUT = 40.0
#: The number of the option in the kernel's interface.
_PR_SET_PDEATHSIG = 1
_ROOT = pathlib.Path(__file__).parent.parent


def _in_main_thread() -> bool:
    return threading.current_thread() is threading.main_thread()


def _end_with_parent() -> None:
    """Have the kernel end this process when the one that started it ends.

    A trial that is killed can't stop its processes; left behind, they load
    the machine and hold ports. The kernel goes by the thread that started
    the process, so this is for processes that the main thread starts.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class StartError(Exception):
    """A process did not come up; carries where its log is."""

    def __init__(self, name: str, log: pathlib.Path) -> None:
        super().__init__(f'{name} did not start; its log is {log}')
        #: Name of the process.
        self.name = name
        #: Path of the log.
        self.log = log


class Process:
    """One process whose output is kept in a file and watched.

    :param name: names the process and its log.
    :param module: the Python module to run.
    :param arguments: its arguments.
    :param folder: where the log goes.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: typing.Sequence[str],
        folder: pathlib.Path,
    ) -> None:
        #: Names the process.
        self.name = name
        #: Where its output is kept.
        self.log = folder / f'{name}.log'
        self._listening: dict[str, str] = {}
        self._came_up = threading.Event()
        self._lines = threading.Condition()
        self._kept: list[str] = []
        self._process = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            cwd=_ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            errors='replace',
            preexec_fn=_end_with_parent if _in_main_thread() else None,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Return how the process ended; ``None`` while it runs."""
        return self._process.poll()

    def listening(self) -> dict[str, str]:
        """Wait until the process listens and return its addresses by use.

        :raises StartError: it ended or took too long.
        """
        came_up = self._came_up.wait(_START_TIMEOUT)
        if not came_up or not self._listening:
            raise StartError(self.name, self.log)
        return self._listening

    def wait_for(self, text: str, timeout: float = 30) -> str:
        """Wait for a line of output that contains a text.

        :raises TimeoutError: none came.
        """
        seen = 0
        with self._lines:
            while True:
                for line in self._kept[seen:]:
                    if text in line:
                        return line
                seen = len(self._kept)
                if not self._lines.wait(timeout):
                    raise TimeoutError(f'{self.name}: no {text!r}')

    def terminate(self) -> None:
        """Tell the process to end in its own way."""
        self._send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        self._send(signal.SIGKILL)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._send(signal.SIGCONT)

    def wait(self, timeout: float = _STOP_TIMEOUT) -> int:
        """Wait for the end and return the exit code."""
        code = self._process.wait(timeout)
        self._reader.join(timeout)
        return code

    def stop(self) -> None:
        """Make sure that the process has ended."""
        if self.running:
            self.thaw()
            self.kill()
        self.wait()

    def _send(self, number: int) -> None:
        if self.running:
            os.kill(self.pid, number)

    def _read(self) -> None:
        output = typing.cast(typing.IO[str], self._process.stdout)
        with self.log.open('a') as log:
            for line in output:
                log.write(line)
                log.flush()
                self._take(line)
        self._came_up.set()

    def _take(self, line: str) -> None:
        with self._lines:
            self._kept.append(line)
            self._lines.notify_all()
        if self._came_up.is_set() or 'listening' not in line:
            return
        try:
            self._listening = json.loads(line)
        except ValueError:
            return
        self._came_up.set()
