"""Failures of the command-line tool, each with its exit code."""

from sardinepier.cli import exit_codes
from sardinepier.core import errors


class CommandError(errors.SardinepierError):
    """Root of the failures; a subclass sets the exit code."""

    exit_code = exit_codes.ExitCode.INTERNAL


class UsageError(CommandError):
    """The command line is wrong."""

    exit_code = exit_codes.ExitCode.USAGE


class RefusedError(CommandError):
    """A daemon answered with a refusal."""

    exit_code = exit_codes.ExitCode.NEGATIVE


class UnreachableDaemonError(CommandError):
    """A daemon could not be reached or did not answer in time."""

    exit_code = exit_codes.ExitCode.NO_ANSWER


class BadAnswerError(CommandError):
    """What answered is not a daemon that this tool understands."""

    exit_code = exit_codes.ExitCode.NO_ANSWER
