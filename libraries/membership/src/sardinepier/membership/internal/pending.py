"""Probes that await their acks, by sequence number."""

import dataclasses
import itertools

from sardinepier.core import ids
from sardinepier.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """The peer that requested a probe, and its sequence number for it."""

    address: messages.PeerAddress
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProbe:
    """One probe in flight; ``target`` is empty if only an address is known."""

    target: ids.InstanceId
    address: messages.PeerAddress
    sent_at_s: float
    deadline_s: float
    requester: Requester | None = None


class PendingProbes:
    """All probes in flight, oldest first."""

    def __init__(self, max_pending: int) -> None:
        """Keep at most ``max_pending`` probes; the oldest is dropped first."""
        self._max_pending = max_pending
        self._probes: dict[int, PendingProbe] = {}
        self._sequence = itertools.count(1)

    def open(self, probe: PendingProbe) -> int:
        """Add a probe and return its sequence number."""
        if len(self._probes) >= self._max_pending:
            self._probes.pop(next(iter(self._probes)))
        sequence = next(self._sequence)
        self._probes[sequence] = probe
        return sequence

    def find(self, sequence: int) -> PendingProbe | None:
        """Return the probe with this number, or None if it is not pending."""
        return self._probes.get(sequence)

    def close(self, sequence: int) -> PendingProbe | None:
        """Remove the probe with this number and return it, if it is pending."""
        return self._probes.pop(sequence, None)

    def expire(self, now_s: float) -> None:
        """Remove the probes whose deadline has passed."""
        # Deadlines may be out of order after the interval has changed.
        for sequence, probe in tuple(self._probes.items()):
            if probe.deadline_s <= now_s:
                self._probes.pop(sequence)

    def clear(self) -> None:
        """Remove all probes."""
        self._probes.clear()
