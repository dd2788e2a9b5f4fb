"""Reports of commands, printed as text or as JSON."""

from collections.abc import Iterable
from typing import Protocol

import msgspec
from sardinepier.cli import exit_codes


class Report(Protocol):
    """A msgspec Struct with a text form and an exit code."""

    def lines(self) -> Iterable[str]:
        """Return the text form, for standard output."""
        ...

    def diagnostics(self) -> Iterable[str]:
        """Return warnings and errors, for standard error."""
        ...

    def exit_code(self) -> exit_codes.ExitCode:
        """Return the exit code of the command."""
        ...


def to_json(report: object) -> str:
    """Return the indented JSON form of a report."""
    return msgspec.json.format(msgspec.json.encode(report)).decode()


class Unanswered(msgspec.Struct, frozen=True):
    """A daemon that gave no usable answer, and why."""

    daemon: str
    error: str
    what: str
    remedy: str

    def __str__(self) -> str:
        """Return the reason and the remedy as text."""
        return f'{self.what}. {self.remedy}.'


class Failure(msgspec.Struct, frozen=True):
    """The JSON form of a command that failed as a whole."""

    error: str
    what: str
    remedy: str
    exit_code: int
