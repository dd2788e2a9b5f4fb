"""Failures of the network between daemons."""

from sardinepier.core import errors
from sardinepier.wire import counters, messages


class WireError(errors.SardinepierError):
    """Base of all failures of this library."""


class MessageKindsError(WireError):
    """The registered kinds of messages don't fit together."""

    def __init__(self, detail: str) -> None:
        """Tell which mistake the codec found in the kinds."""
        super().__init__(
            f'The kinds of messages cannot share one codec: {detail}',
            'Give each kind a class name of its own and typed fields',
        )


class BindError(WireError):
    """The address for receiving messages could not be opened."""

    def __init__(
        self,
        address: messages.PeerAddress,
        detail: str,
        remedy: str,
    ) -> None:
        """Name the address, the operating system's reason and the remedy."""
        super().__init__(
            f'Cannot receive on {address.ip}:{address.port}: {detail}',
            remedy,
        )
        self.address = address


class PortInUseError(BindError):
    """Another process already receives on the address."""

    def __init__(self, address: messages.PeerAddress) -> None:
        """Name the address that is taken."""
        super().__init__(
            address,
            'the port is in use',
            'Stop the process that holds it, or set another peer_port',
        )


class AddressUnavailableError(BindError):
    """The address is not one of this machine, or may not be opened."""

    def __init__(self, address: messages.PeerAddress, detail: str) -> None:
        """Name the address and the operating system's reason."""
        super().__init__(
            address,
            detail,
            'Set an IP number of this instance and a port it may open',
        )


class UndecodableMessageError(WireError):
    """Received bytes are not a message that this process understands."""

    def __init__(self, reason: counters.DropReason, detail: str) -> None:
        """Tell the reason under which the message is counted."""
        super().__init__(
            f'A message was dropped as {reason.value}: {detail}',
            'Check that all daemons run the same version of the protocol',
        )
        self.reason = reason
