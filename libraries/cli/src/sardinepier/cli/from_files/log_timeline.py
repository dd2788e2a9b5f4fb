"""``sardinepier timeline --files``: a time line, or a picture, from logs."""

import importlib
from collections.abc import Sequence
from typing import Final

import msgspec
from sardinepier.cli import context, exit_codes
from sardinepier.cli.from_files import log_files

_REQUESTS: Final = frozenset(
    ('request-sent', 'attempt-failed', 'request-ended', 'lines-dropped'),
)
_PLOTS: Final = 'sardinepier.cli.from_files.log_plot'
"""Imported when a picture is wanted: its library takes half a second."""


class LogTimelineReport(msgspec.Struct, frozen=True):
    """What the daemons did and came to know, by the times of their lines.

    Lines about single requests are left out: ``explain`` shows them.
    """

    entries: tuple[log_files.LogLine, ...]
    unsure: tuple[str, ...]
    picture: str

    def lines(self) -> tuple[str, ...]:
        """Return a line for each entry."""
        return tuple(map(_text, self.entries))

    def diagnostics(self) -> tuple[str, ...]:
        """Return what makes the order unsure."""
        return self.unsure

    def exit_code(self) -> exit_codes.ExitCode:
        """Return that the files were read."""
        return exit_codes.ExitCode.OK


async def report(
    paths: Sequence[str],
    picture: str,
    _: context.Context,
) -> LogTimelineReport:
    """Merge the lines of the files; draw them to ``picture`` if it is named.

    Raises ``UsageError``.
    """
    found = log_files.read(paths)
    if picture:
        importlib.import_module(_PLOTS).draw(found.lines, picture)
    return LogTimelineReport(
        tuple(line for line in found.lines if line.event not in _REQUESTS),
        found.diagnostics(),
        picture,
    )


def _text(line: log_files.LogLine) -> str:
    fields = msgspec.json.encode(line.fields).decode()
    said = f' {line.message}' if line.message else ''
    moment = line.time.isoformat(timespec='milliseconds')
    return f'{moment} {line.instance_id} {line.event}{said} {fields}'
