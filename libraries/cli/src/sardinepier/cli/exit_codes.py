"""The exit codes of the command-line tool, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """The result of a command, for scripts that don't parse its output."""

    OK = 0
    """The command succeeded, and its result is positive."""

    NEGATIVE = 1
    """A clear negative result: problems in a file, a refused request."""

    USAGE = 2
    """The command line is invalid. Nothing was read or sent."""

    NO_ANSWER = 3
    """A daemon gave no answer, or a request's outcome is unknown.

    The answers of the other daemons are still printed.
    """

    INTERNAL = 4
    """The tool itself failed. Please report it."""

    INTERRUPTED = 130
    """The user stopped the command."""
