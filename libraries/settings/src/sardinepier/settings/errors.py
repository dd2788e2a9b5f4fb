"""Errors of reading settings files.

An ``InvalidSettingsError`` carries all problems of a file, so that an
operator can correct them in one go. The command line prints one problem a
line, a daemon writes them to its log and its status.
"""

import dataclasses

from sardinepier.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem in one settings file.

    ``section`` is the title between the brackets. ``section`` and ``key`` are
    ``None`` when the problem isn't tied to a single section or key. ``what``
    and ``remedy`` are sentences without a final full stop.

    ``str`` gives a single line, for example::

        service/search [target a] port: `x` is not a whole number from 1 to
        65535. Write a whole number from 1 to 65535.
    """

    source: str
    section: str | None
    key: str | None
    what: str
    remedy: str

    def __str__(self) -> str:
        """Return the place, the problem and the remedy on one line."""
        place = self.source
        if self.section is not None:
            place = f'{place} [{self.section}]'
        if self.key is not None:
            place = f'{place} {self.key}'
        return f'{place}: {self.what}. {self.remedy}.'


class InvalidSettingsError(errors.SardinepierError):
    """A settings file is invalid. ``problems`` holds every problem found.

    The message is one line with the number of problems, followed by one line
    for each problem.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Store the problems and build the message from them."""
        sources = sorted({problem.source for problem in problems})
        # The base class appends a full stop, so the last one is cut off here.
        lines = '\n'.join(str(problem) for problem in problems)
        super().__init__(
            f'Found {len(problems)} problem(s) in {", ".join(sources)}',
            f'Correct every line below and try again:\n{lines[:-1]}',
        )
        self.problems = problems


class SettingsFileError(errors.SardinepierError):
    """A settings file on disk could not be read as text."""


class UnreadableFileError(SettingsFileError):
    """The file is missing, is not a regular file, or is not readable."""


class UndecodableFileError(SettingsFileError):
    """The file is not UTF-8 text."""


class OversizedFileError(SettingsFileError):
    """The file exceeds the maximum size of a settings file."""


class DuplicateRouteError(errors.SardinepierError):
    """Two routes of a route table match exactly the same requests."""
