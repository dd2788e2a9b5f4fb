"""``sardinepier retries``: what a fleet spent of its retry budget, from logs."""

import collections
import datetime
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec
from sardinepier.cli import context, exit_codes
from sardinepier.cli.from_files import log_files

_USED: Final = 'retry-budget-used'
_MS_PER_S: Final = 1000


class InstanceUse(msgspec.Struct, frozen=True):
    """What one instance spent in the window."""

    instance_id: str
    attempts: int


class ServiceUse(msgspec.Struct, frozen=True):
    """The window with the most attempts of a service, over all instances.

    It ends with the line of ``until``. ``requests`` are those of instances that
    spent something, and ``total`` the attempts of all time.
    """

    service: str
    until: datetime.datetime
    attempts: int
    requests: int
    total: int
    instances: tuple[InstanceUse, ...]


class RetriesReport(msgspec.Struct, frozen=True):
    """The use of each service, the highest first."""

    window_s: float
    services: tuple[ServiceUse, ...]
    unsure: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Return the text form."""
        if not self.services:
            yield 'No retry budget was used.'
        for use in self.services:
            yield (
                f'{use.service}: {use.attempts} attempts for {use.requests} '
                f'requests in {self.window_s:g} s until '
                f'{use.until.isoformat()}; {use.total} in all'
            )
            for instance in use.instances:
                yield f'  {instance.instance_id} {instance.attempts}'

    def diagnostics(self) -> tuple[str, ...]:
        """Return the reasons why the report may be wrong."""
        return self.unsure

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``OK``: the limit is not in the logs."""
        return exit_codes.ExitCode.OK


async def report(
    paths: Sequence[str],
    window_s: float,
    _: context.Context,
) -> RetriesReport:
    """Add up the lines of all instances.

    Raises ``UsageError`` when a file can't be read.
    """
    log = log_files.read(paths)
    by_service: dict[str, list[log_files.LogLine]] = collections.defaultdict(
        list
    )
    for line in log.lines:
        if line.event == _USED:
            by_service[line.fields['service']].append(line)
    used = [
        _highest_use(service, lines, window_s)
        for service, lines in by_service.items()
    ]
    used.sort(key=lambda use: (-use.attempts, use.service))
    return RetriesReport(window_s, tuple(used), log.diagnostics())


def _highest_use(
    service: str, lines: Sequence[log_files.LogLine], window_s: float
) -> ServiceUse:
    """Return the use in the window with the most attempts."""
    window = datetime.timedelta(seconds=window_s)
    first = 0
    attempts = 0
    highest: tuple[int, int, int] = 0, 0, 1
    for last, line in enumerate(lines):
        attempts += line.fields['attempts']
        while lines[first].time <= line.time - window:
            attempts -= lines[first].fields['attempts']
            first += 1
        highest = max(highest, (attempts, first, last + 1))
    most, begin, end = highest
    return ServiceUse(
        service,
        lines[end - 1].time,
        most,
        sum(_requests(counted, window_s) for counted in lines[begin:end]),
        sum(counted.fields['attempts'] for counted in lines),
        _by_instance(lines[begin:end]),
    )


def _by_instance(
    lines: Sequence[log_files.LogLine],
) -> tuple[InstanceUse, ...]:
    attempts: collections.Counter[str] = collections.Counter()
    for line in lines:
        attempts[line.instance_id] += line.fields['attempts']
    return tuple(
        InstanceUse(name, count) for name, count in attempts.most_common()
    )


def _requests(line: log_files.LogLine, window_s: float) -> int:
    """Return the requests of a line, of a window at most."""
    period_s: float = line.fields['period_ms'] / _MS_PER_S
    requests: float = line.fields['requests']
    return round(requests * window_s / max(window_s, period_s))
