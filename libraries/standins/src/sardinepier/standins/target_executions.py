"""Counts the executions of a target by idempotency key and by request tag."""

import collections
import os
import pathlib
from typing import Final

import msgspec

_FILE_MODE: Final = 0o600


class ExecutionCounts(msgspec.Struct, frozen=True):
    """The response to ``GET /control/executions``."""

    target_id: str
    total: int
    shed: int
    by_key: dict[str, int]
    by_tag: dict[str, int]


class Execution(msgspec.Struct, frozen=True, array_like=True):
    """One line of the executions file: a request that started to run."""

    key: str
    tag: str


class ExecutionLog:
    """Counts executions and appends each to a file if a path is given.

    Each line is written in one system call before the request runs, so that
    the counts survive a killed process. A process that starts with the file of
    an earlier one continues its counts.
    """

    def __init__(self, target_id: str, path: str) -> None:
        """Read the executions of earlier processes from the file at ``path``."""
        self._target_id = target_id
        self._keys: collections.Counter[str] = collections.Counter()
        self._tags: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._shed = 0
        self._descriptor = -1
        if path:
            for execution in read_executions(pathlib.Path(path)):
                self._count(execution)
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptor = os.open(path, flags, _FILE_MODE)

    def record(self, key: str, tag: str) -> None:
        """Count one request when it starts to run."""
        execution = Execution(key, tag)
        if self._descriptor >= 0:
            line = b''.join((msgspec.json.encode(execution), b'\n'))
            os.write(self._descriptor, line)
        self._count(execution)

    def record_shed(self) -> None:
        """Count one request that was refused and not run."""
        self._shed += 1

    def counts(self) -> ExecutionCounts:
        """Return all counts, including those of earlier processes."""
        return ExecutionCounts(
            target_id=self._target_id,
            total=self._total,
            shed=self._shed,
            by_key=dict(self._keys),
            by_tag=dict(self._tags),
        )

    def close(self) -> None:
        """Close the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _count(self, execution: Execution) -> None:
        self._total += 1
        if execution.key:
            self._keys[execution.key] += 1
        if execution.tag:
            self._tags[execution.tag] += 1


def read_executions(path: pathlib.Path) -> list[Execution]:
    """Return the executions in the file at ``path``, none without a file."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Execution) for line in lines]
