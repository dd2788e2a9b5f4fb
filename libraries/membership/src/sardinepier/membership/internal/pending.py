"""Probes that wait for their acks, by sequence number."""

import dataclasses
import itertools

from sardinepier.core import ids
from sardinepier.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """The peer for which a probe was sent, and its own number for it."""

    address: messages.PeerAddress
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProbe:
    """One probe under way. ``target`` is empty when only an address was."""

    target: ids.InstanceId
    address: messages.PeerAddress
    sent_at_s: float
    deadline_s: float
    requester: Requester | None = None


class PendingProbes:
    """All probes under way; the oldest comes first."""

    def __init__(self, max_pending: int) -> None:
        """Await at most ``max_pending`` acks."""
        self._max_pending = max_pending
        self._probes: dict[int, PendingProbe] = {}
        self._sequence = itertools.count(1)

    def open(self, probe: PendingProbe) -> int:
        """Return the sequence number of a new probe."""
        if len(self._probes) >= self._max_pending:
            self._probes.pop(next(iter(self._probes)))
        sequence = next(self._sequence)
        self._probes[sequence] = probe
        return sequence

    def find(self, sequence: int) -> PendingProbe | None:
        """Return the probe of that number while its ack is awaited."""
        return self._probes.get(sequence)

    def close(self, sequence: int) -> PendingProbe | None:
        """Return the probe of that number and await it no more."""
        return self._probes.pop(sequence, None)

    def expire(self, now_s: float) -> None:
        """Forget the probes whose deadline has passed."""
        # A changed interval leaves later deadlines before earlier ones.
        for sequence, probe in tuple(self._probes.items()):
            if probe.deadline_s <= now_s:
                self._probes.pop(sequence)

    def clear(self) -> None:
        """Forget all probes."""
        self._probes.clear()
