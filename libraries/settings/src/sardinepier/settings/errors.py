"""Failures of reading settings, each with everything that was wrong.

An operator corrects a file once, not once a mistake. The errors here
therefore carry all the problems of a file as values: a command line prints
them one a line, a daemon puts them into its log and its status.
"""

import dataclasses

from sardinepier.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in one settings file.

    ``section`` is the title between the brackets. ``section`` and ``key`` are
    ``None`` where the mistake belongs to no single one. ``what`` and
    ``remedy`` are sentences without a final full stop.

    The text form fits on one line::

        service/search [target a] port: `x` is not a whole number from 1 to
        65535. Write a whole number from 1 to 65535.
    """

    source: str
    section: str | None
    key: str | None
    what: str
    remedy: str

    def __str__(self) -> str:
        """Give the place, the mistake and the remedy on one line."""
        place = self.source
        if self.section is not None:
            place = f'{place} [{self.section}]'
        if self.key is not None:
            place = f'{place} {self.key}'
        return f'{place}: {self.what}. {self.remedy}.'


class InvalidSettingsError(errors.SardinepierError):
    """A settings file breaks its rules. All mistakes are in ``problems``.

    The message is one line with the number of problems, followed by one line
    for each problem.
    """

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Keep the problems and build the message from them."""
        sources = sorted({problem.source for problem in problems})
        # The root error ends the text with a full stop of its own.
        lines = '\n'.join(str(problem) for problem in problems)
        super().__init__(
            f'Found {len(problems)} problem(s) in {", ".join(sources)}',
            f'Correct every line below and try again:\n{lines[:-1]}',
        )
        self.problems = problems


class SettingsFileError(errors.SardinepierError):
    """A settings file on disk could not be turned into text."""


class UnreadableFileError(SettingsFileError):
    """The file is missing, is no plain file, or may not be read."""


class UndecodableFileError(SettingsFileError):
    """The file is not UTF-8 text."""


class OversizedFileError(SettingsFileError):
    """The file is larger than a settings file may be."""


class DuplicateRouteError(errors.SardinepierError):
    """A route table was given two routes that no request can tell apart."""
