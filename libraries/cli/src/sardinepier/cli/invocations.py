"""A command that was understood and has not run yet."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from sardinepier.cli import context, reports

Execute: TypeAlias = Callable[[context.Context], Awaitable[reports.Report]]


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """What the command line asks for.

    It runs after the whole command line was understood: otherwise ``request``
    with a misspelt option would be sent first and refused afterwards.
    """

    execute: Execute
    as_json: bool

    # Overridden because the command-line library offers whatever it lists.
    def __dir__(self) -> tuple[str, ...]:  # noqa: WPS603 (see above)
        """Offer nothing to a command line that goes on after the command."""
        return ()
