"""A parsed command that has not run yet."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from sardinepier.cli import context, reports

Execute: TypeAlias = Callable[[context.Context], Awaitable[reports.Report]]


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """A command with its arguments, ready to run.

    It runs only after the whole command line was parsed: otherwise ``request``
    with a misspelt option would send the request and fail afterwards.
    """

    execute: Execute
    as_json: bool

    # Overridden because fire offers all listed members as subcommands.
    def __dir__(self) -> tuple[str, ...]:  # noqa: WPS603 (see above)
        """Return no members, so that fire accepts no further arguments."""
        return ()
