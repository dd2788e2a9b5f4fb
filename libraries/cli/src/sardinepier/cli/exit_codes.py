"""The exit codes of the command-line tool, for scripts."""

import enum


class ExitCode(enum.IntEnum):
    """What a script can learn without reading the output."""

    OK = 0
    """The command did all it was asked, and the result is good."""

    NEGATIVE = 1
    """A clear negative result: problems in a file, a refused request."""

    USAGE = 2
    """The command line itself is wrong. Nothing was read or sent."""

    NO_ANSWER = 3
    """A daemon gave no answer, or a request's outcome is not known.

    What the other daemons answered is still printed.
    """

    INTERNAL = 4
    """The tool itself failed. Please report it."""

    INTERRUPTED = 130
    """The user stopped the command."""
