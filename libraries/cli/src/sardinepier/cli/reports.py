"""What every command ends with: one document in two forms."""

from collections.abc import Iterable
from typing import Protocol

import msgspec
from sardinepier.cli import exit_codes


class Report(Protocol):
    """A msgspec Struct that knows its form for people and its exit code."""

    def lines(self) -> Iterable[str]:
        """Return the form for people, for standard output."""
        ...

    def diagnostics(self) -> Iterable[str]:
        """Return what went wrong on the way, for standard error."""
        ...

    def exit_code(self) -> exit_codes.ExitCode:
        """Return what a script should learn."""
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
        """Return the sentence for people."""
        return f'{self.what}. {self.remedy}.'


class Failure(msgspec.Struct, frozen=True):
    """The JSON form of a command that failed as a whole."""

    error: str
    what: str
    remedy: str
    exit_code: int
