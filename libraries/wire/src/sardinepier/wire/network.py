"""What the other libraries need from a network between daemons."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from sardinepier.wire import messages

MessageT = TypeVar('MessageT', bound=messages.Message)


class PeerNetwork(Protocol):
    """Sends typed messages to peers and hands received ones to handlers.

    Nothing is promised about a message that was sent: it may be lost,
    repeated, late or out of order. What callers rely on must survive that.
    """

    def send(
        self,
        peer: messages.PeerAddress,
        message: messages.Message,
    ) -> bool:
        """Queue ``message`` for ``peer`` without waiting.

        Returns False when it was dropped at once, which the network's
        counters record with the reason.
        """
        ...

    def subscribe(
        self,
        kind: type[MessageT],
        handler: Callable[[messages.Sender, MessageT], None],
    ) -> None:
        """Call ``handler`` for each received message of exactly ``kind``.

        A kind has one handler; a second call replaces the first. The handler
        must not wait. An exception that it raises is counted and reported to
        the hook for failures, and the network goes on.
        """
        ...
