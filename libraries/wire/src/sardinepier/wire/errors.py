"""Exceptions of the network between daemons."""

from sardinepier.core import errors
from sardinepier.wire import counters, messages


class WireError(errors.SardinepierError):
    """Base of all exceptions of the wire library."""


class MessageKindsError(WireError):
    """The registered kinds of messages conflict, or there are none."""

    def __init__(self, detail: str) -> None:
        """Describe the conflict in ``detail``."""
        super().__init__(
            f'The kinds of messages cannot share one codec: {detail}',
            'Give each kind a unique class name and typed fields',
        )


class BindError(WireError):
    """The address for receiving messages cannot be bound."""

    def __init__(
        self,
        address: messages.PeerAddress,
        detail: str,
        remedy: str,
    ) -> None:
        """State the address, the operating system's reason and the remedy."""
        super().__init__(
            f'Cannot receive on {address.ip}:{address.port}: {detail}',
            remedy,
        )
        self.address = address


class PortInUseError(BindError):
    """Another process already listens on the address."""

    def __init__(self, address: messages.PeerAddress) -> None:
        """State the address that is in use."""
        super().__init__(
            address,
            'the port is in use',
            'Stop the process that holds it, or set another peer_port',
        )


class AddressUnavailableError(BindError):
    """The address is not local to this machine, or must not be bound."""

    def __init__(self, address: messages.PeerAddress, detail: str) -> None:
        """State the address and the operating system's reason."""
        super().__init__(
            address,
            detail,
            'Set an IP address of this instance and a port it may open',
        )


class UndecodableMessageError(WireError):
    """Received bytes are not a message that this process can decode."""

    def __init__(self, reason: counters.DropReason, detail: str) -> None:
        """State the reason under which the message is counted."""
        super().__init__(
            f'A message was dropped as {reason.value}: {detail}',
            'Check that all daemons run the same version of the protocol',
        )
        self.reason = reason
