"""Callbacks with which a process observes and stamps messages."""

import dataclasses
from collections.abc import Callable

from sardinepier.wire import counters, messages

Stamp = tuple[int, int]
"""A reading of a hybrid logical clock, which the network only transports."""


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkHooks:
    """Optional callbacks of a network, which must not block.

    ``stamp_source`` returns the stamp of each sent message. ``on_stamp``
    gets the stamp of each received message, before the handler runs.
    ``on_handler_failure`` gets the message and the exception that its handler
    raised. ``crosses_zones`` tells the counters which receivers are in another
    zone; if it fails, the message is counted as one to an unknown zone.
    """

    stamp_source: Callable[[], Stamp] | None = None
    on_stamp: Callable[[Stamp], None] | None = None
    on_handler_failure: Callable[[messages.Message, Exception], None] | None = (
        None
    )
    crosses_zones: counters.CrossesZones | None = None
