"""Errors of the command-line tool, each with its exit code."""

from sardinepier.cli import exit_codes
from sardinepier.core import errors


class CommandError(errors.SardinepierError):
    """Base of the errors; subclasses set the exit code."""

    exit_code = exit_codes.ExitCode.INTERNAL


class UsageError(CommandError):
    """The command line is invalid."""

    exit_code = exit_codes.ExitCode.USAGE


class RefusedError(CommandError):
    """A daemon refused a request, or knows no address for it."""

    exit_code = exit_codes.ExitCode.NEGATIVE


class UnreachableDaemonError(CommandError):
    """A daemon could not be reached or did not answer in time."""

    exit_code = exit_codes.ExitCode.NO_ANSWER


class BadAnswerError(CommandError):
    """The answer isn't that of a daemon, or of an unsupported version."""

    exit_code = exit_codes.ExitCode.NO_ANSWER
