"""What the operating system says about a process, read by its id."""

import os
import pathlib
import re
from typing import Final

import msgspec

from sardinepier.core import errors

_PROC: Final = pathlib.Path('/proc')
_KIB: Final = 1024
_MS_PER_S: Final = 1000
# Fields after the closing bracket of the name, which may hold spaces itself.
_USER_TICKS: Final = 11
_SYSTEM_TICKS: Final = 12
_START_TICKS: Final = 19
_STATUS_LINE: Final = re.compile(r'^(\w+):\s*(\d+)', re.MULTILINE)


class ProcessGoneError(errors.SardinepierError):
    """A process that is measured does not run any more."""


class Reading(msgspec.Struct, frozen=True):
    """One process at one moment.

    ``cpu_ms`` is user and system time since its start. ``wake_ups`` counts
    how often it waited and ran again, which for a daemon is nearly the
    number of rounds of its event loop.
    """

    cpu_ms: float
    resident_bytes: int
    wake_ups: int
    sockets: int


def read(pid: int) -> Reading:
    """Return the figures of a running process.

    Raises ``ProcessGoneError``.
    """
    directory = _PROC / str(pid)
    try:
        cpu_ms = parse_cpu_ms((directory / 'stat').read_text())
        status = parse_status((directory / 'status').read_text())
        sockets = _count_sockets(directory / 'fd')
    except (FileNotFoundError, ProcessLookupError) as error:
        raise ProcessGoneError(
            f'The process {pid} has ended',
            'Look into its log, and measure a fleet that stays up',
        ) from error
    return Reading(
        cpu_ms,
        status['VmRSS'] * _KIB,
        status['voluntary_ctxt_switches'],
        sockets,
    )


def parse_cpu_ms(stat: str) -> float:
    """Return user and system time out of the text of ``/proc/PID/stat``."""
    fields = _fields(stat)
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks * _MS_PER_S / os.sysconf('SC_CLK_TCK')


def parse_start_s(stat: str) -> float:
    """Return when the process started, in seconds since the system did."""
    return int(_fields(stat)[_START_TICKS]) / os.sysconf('SC_CLK_TCK')


def started_s(pid: int) -> float:
    """Return when a process started, in seconds since the system did."""
    return parse_start_s((_PROC / str(pid) / 'stat').read_text())


def parse_status(status: str) -> dict[str, int]:
    """Return all whole numbers of the text of ``/proc/PID/status``."""
    return {name: int(number) for name, number in _STATUS_LINE.findall(status)}


def _fields(stat: str) -> list[str]:
    return stat.rpartition(')')[2].split()


def _count_sockets(directory: pathlib.Path) -> int:
    links = [_target(path) for path in directory.iterdir()]
    return sum(link.startswith('socket:') for link in links)


def _target(path: pathlib.Path) -> str:
    try:
        return str(path.readlink())
    except FileNotFoundError:
        return ''
