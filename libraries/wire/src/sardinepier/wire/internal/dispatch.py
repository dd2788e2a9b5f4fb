"""Decodes received frames and calls the handlers of their kinds."""

from collections.abc import Callable
from typing import Any

from sardinepier.wire import codec, counters, errors, hooks, messages, network

_Handler = Callable[[messages.Sender, Any], None]


class Dispatcher:
    """Encodes sent and dispatches received messages, for all networks."""

    def __init__(
        self,
        message_codec: codec.Codec,
        counts: counters.CounterSet,
        max_message_bytes: int,
    ) -> None:
        """Use ``message_codec`` and count into ``counts``."""
        self.hooks = hooks.NetworkHooks()
        self._codec = message_codec
        self._counts = counts
        self._max_message_bytes = max_message_bytes
        self._handlers: dict[type[messages.Message], _Handler] = {}

    def subscribe(
        self,
        kind: type[network.MessageT],
        handler: Callable[[messages.Sender, network.MessageT], None],
    ) -> None:
        """Make ``handler`` the only handler of ``kind``."""
        if kind not in self._codec.kinds:
            raise errors.MessageKindsError(f'{kind.__name__} is not registered')
        self._handlers[kind] = handler

    def encode(
        self,
        sender: messages.Sender,
        message: messages.Message,
    ) -> bytes | None:
        """Return the frame with a stamp, or None when it is too large."""
        source = self.hooks.stamp_source
        stamp = source() if source else None
        frame = self._codec.encode(sender, message, stamp)
        if len(frame) > self._max_message_bytes:
            self._counts.drop(counters.DropReason.OVERSIZED)
            return None
        return frame

    def dispatch(self, frame: bytes) -> None:
        """Decode ``frame`` and call its handler; never raises for bad input."""
        self._counts.received(len(frame))
        if len(frame) > self._max_message_bytes:
            self._counts.drop(counters.DropReason.OVERSIZED)
            return
        try:
            delivery = self._codec.decode(frame)
        except errors.UndecodableMessageError as error:
            self._counts.drop(error.reason)
            return
        self._call_handler(delivery)

    def _call_handler(self, delivery: codec.Delivery) -> None:
        handler = self._handlers.get(type(delivery.message))
        if handler is None:
            self._counts.drop(counters.DropReason.NO_HANDLER)
            return
        try:
            self._observe_stamp(delivery)
            handler(delivery.sender, delivery.message)
        except Exception as error:
            # A failing handler must not end the task that serves all kinds.
            self._counts.handler_failed(error)
            self._report_failure(delivery.message, error)

    def _observe_stamp(self, delivery: codec.Delivery) -> None:
        on_stamp = self.hooks.on_stamp
        if on_stamp and delivery.stamp is not None:
            on_stamp(delivery.stamp)

    def _report_failure(
        self, message: messages.Message, error: Exception
    ) -> None:
        if self.hooks.on_handler_failure:
            self.hooks.on_handler_failure(message, error)
