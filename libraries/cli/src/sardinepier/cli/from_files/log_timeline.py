"""``sardinepier timeline`` with log files: a timeline or a picture."""

import importlib
from collections.abc import Sequence
from typing import Final

import msgspec
from sardinepier.cli import context, exit_codes
from sardinepier.cli.from_files import log_files

_REQUEST_EVENTS: Final = frozenset(
    ('request-sent', 'attempt-failed', 'request-ended', 'lines-dropped'),
)
_PLOT_MODULE: Final = 'sardinepier.cli.from_files.log_plot'
"""Imported only for a picture: importing matplotlib takes half a second."""


class LogTimelineReport(msgspec.Struct, frozen=True):
    """The log lines of all daemons, sorted by time.

    Lines about single requests are left out: ``explain`` shows them.
    """

    entries: tuple[log_files.LogLine, ...]
    unsure: tuple[str, ...]
    picture: str

    def lines(self) -> tuple[str, ...]:
        """Return a line for each entry."""
        return tuple(map(_text, self.entries))

    def diagnostics(self) -> tuple[str, ...]:
        """Return the reasons why the order may be wrong."""
        return self.unsure

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``OK``: the files were read."""
        return exit_codes.ExitCode.OK


async def report(
    paths: Sequence[str],
    picture: str,
    _: context.Context,
) -> LogTimelineReport:
    """Merge the lines of the files; draw them to ``picture`` if it is given.

    Raises ``UsageError`` when a file can't be read, or the picture written.
    """
    log = log_files.read(paths)
    if picture:
        importlib.import_module(_PLOT_MODULE).draw(log.lines, picture)
    return LogTimelineReport(
        tuple(line for line in log.lines if line.event not in _REQUEST_EVENTS),
        log.diagnostics(),
        picture,
    )


def _text(line: log_files.LogLine) -> str:
    fields = msgspec.json.encode(line.fields).decode()
    message = f' {line.message}' if line.message else ''
    moment = line.time.isoformat(timespec='milliseconds')
    return f'{moment} {line.instance_id} {line.event}{message} {fields}'
