"""The interface of a network between daemons."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from sardinepier.wire import messages

MessageT = TypeVar('MessageT', bound=messages.Message)


class PeerNetwork(Protocol):
    """Sends typed messages to peers and passes received ones to handlers.

    Delivery is not guaranteed: a message may be lost, duplicated, late or out
    of order, and callers must tolerate that.
    """

    def send(
        self,
        peer: messages.PeerAddress,
        message: messages.Message,
    ) -> bool:
        """Send ``message`` to ``peer`` or queue it, without blocking.

        Returns False when it was dropped at once; the network's counters
        record the reason.
        """
        ...

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Callable[[messages.Sender, MessageT], None],
    ) -> None:
        """Call ``handler`` for each received message of exactly ``kind``.

        A kind has one handler; a second call replaces the first. The handler
        must not block. An exception that it raises is counted and reported to
        the hook for failures, and does not stop the network.
        """
        ...
