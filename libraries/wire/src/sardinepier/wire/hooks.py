"""Where the embedding process watches and stamps what a network carries."""

import dataclasses
from collections.abc import Callable

from sardinepier.wire import messages

Stamp = tuple[int, int]
"""A reading of a hybrid logical clock. The network only carries it."""


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkHooks:
    """Optional callbacks of a network. None of them may wait.

    ``stamp_source`` gives the stamp of each message that is sent, and
    ``on_stamp`` is told the stamp of each that is received, before its
    handler runs. ``on_handler_failure`` is told the message and the
    exception that its handler raised.
    """

    stamp_source: Callable[[], Stamp] | None = None
    on_stamp: Callable[[Stamp], None] | None = None
    on_handler_failure: Callable[[messages.Message, Exception], None] | None = (
        None
    )
