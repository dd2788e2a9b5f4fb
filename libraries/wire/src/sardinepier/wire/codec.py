"""Encodes messages as MessagePack in a versioned envelope."""

from collections.abc import Iterable
from typing import Any, Final, Union

import msgspec

from sardinepier.core import decoding, ids
from sardinepier.wire import counters, errors, hooks, messages

PROTOCOL_VERSION: Final = 1


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The envelope of a message, which is decoded separately.

    The version is the first field in every protocol version, so that a
    message of another version can be distinguished from a damaged one.
    """

    version: int
    instance_id: ids.InstanceId
    address: messages.PeerAddress
    stamp: tuple[int, int] | None
    message: msgspec.Raw


class Delivery(msgspec.Struct, frozen=True):
    """A decoded message with its sender and optional stamp."""

    sender: messages.Sender
    stamp: hooks.Stamp | None
    message: messages.Message


class Codec:
    """Encodes and decodes the registered kinds of messages.

    For example ``Codec((Ping, Ack))`` decodes these two kinds and raises
    :class:`errors.UndecodableMessageError` for any other.
    """

    def __init__(self, kinds: Iterable[type[messages.Message]]) -> None:
        """Build the decoder.

        Raises ``MessageKindsError`` for no kinds or kinds that conflict.
        """
        self._kinds = tuple(dict.fromkeys(kinds))
        if not self._kinds:
            raise errors.MessageKindsError('there are none')
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(_Envelope)
        try:
            self._messages = msgspec.msgpack.Decoder[messages.Message](
                Union[self._kinds],
            )
        except TypeError as error:
            raise errors.MessageKindsError(str(error)) from error
        self._tags = frozenset(
            kind.__struct_config__.tag for kind in self._kinds
        )

    @property
    def kinds(self) -> tuple[type[messages.Message], ...]:
        """The registered kinds."""
        return self._kinds

    def encode(
        self,
        sender: messages.Sender,
        message: messages.Message,
        stamp: hooks.Stamp | None = None,
    ) -> bytes:
        """Return the bytes of ``message`` from ``sender``."""
        return self._encoder.encode(
            (
                PROTOCOL_VERSION,
                sender.instance_id,
                sender.address,
                stamp,
                message,
            ),
        )

    def decode(self, frame: bytes) -> Delivery:
        """Return the message in ``frame`` with its sender and stamp.

        Raises ``UndecodableMessageError`` with the reason unless the bytes
        are an envelope of this version with a message of a registered kind
        and a valid sender.
        """
        envelope = self._decode_envelope(frame)
        if not (envelope.address.is_valid() and envelope.instance_id):
            raise errors.UndecodableMessageError(
                counters.DropReason.BAD_SENDER,
                f'the sender receives on {envelope.address}',
            )
        try:
            message = self._messages.decode(envelope.message)
        except decoding.FAILURES as error:
            raise errors.UndecodableMessageError(
                self._message_drop_reason(envelope.message),
                str(error),
            ) from error
        return Delivery(
            messages.Sender(envelope.instance_id, envelope.address),
            envelope.stamp,
            message,
        )

    def _decode_envelope(self, frame: bytes) -> _Envelope:
        try:
            envelope = self._envelopes.decode(frame)
        except decoding.FAILURES as error:
            raise errors.UndecodableMessageError(
                _envelope_drop_reason(frame),
                str(error),
            ) from error
        if envelope.version != PROTOCOL_VERSION:
            raise errors.UndecodableMessageError(
                counters.DropReason.WRONG_VERSION,
                f'its version is {envelope.version}',
            )
        return envelope

    def _message_drop_reason(self, raw: msgspec.Raw) -> counters.DropReason:
        tag = _first_element(raw)
        if isinstance(tag, str) and tag not in self._tags:
            return counters.DropReason.UNKNOWN_KIND
        return counters.DropReason.MALFORMED


def _envelope_drop_reason(frame: bytes) -> counters.DropReason:
    version = _first_element(frame)
    if isinstance(version, int) and version != PROTOCOL_VERSION:
        return counters.DropReason.WRONG_VERSION
    return counters.DropReason.MALFORMED


def _first_element(frame: bytes | msgspec.Raw) -> Any:
    # Only called for frames that failed to decode, so the cost is rare.
    try:
        decoded = msgspec.msgpack.decode(frame)
    except decoding.FAILURES:
        return None
    if isinstance(decoded, list) and decoded:
        return decoded[0]
    return None
