"""What each daemon of a running fleet costs over a quiet window."""

import asyncio
import os
import statistics
from collections.abc import Callable, Iterable

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.telemetry import status
from sardinepier.workbench.capacity import fleet as fleets
from sardinepier.workbench.capacity import proc, samples

_PERCENT = 100
_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


class _Readings(msgspec.Struct, frozen=True):
    """What the system says about all daemons."""

    at_s: float
    readings: dict[str, proc.Reading]


class _Counts(msgspec.Struct, frozen=True):
    """What the daemons and the platform have counted."""

    at_s: float
    counted: dict[str, status.PeerCounters]
    platform_calls: int


def spread(figures: Iterable[float]) -> samples.Spread:
    """Return mean, standard deviation and highest of one figure a daemon."""
    found = list(figures)
    return samples.Spread(
        statistics.fmean(found),
        statistics.stdev(found) if len(found) > 1 else 0.0,
        max(found),
    )


class _Window(msgspec.Struct, frozen=True):
    """Two moments, and what grew between them."""

    before: _Readings
    after: _Readings
    counted_before: _Counts
    counted_after: _Counts

    def cpu_percent(self) -> samples.Spread:
        """Return the share of a core which each daemon took."""
        grown = self._grown(lambda reading: reading.cpu_ms)
        return spread(each * _PERCENT / _MS_PER_S for each in grown)

    def wake_ups_per_s(self) -> samples.Spread:
        """Return how often each daemon's loop ran."""
        return spread(self._grown(lambda reading: reading.wake_ups))

    def rate(self, field: str) -> samples.Spread:
        """Return the growth of a counter of peers, a second."""
        taken_s = self.counted_after.at_s - self.counted_before.at_s
        before = self.counted_before.counted
        return spread(
            (getattr(now, field) - getattr(before[name], field)) / taken_s
            for name, now in self.counted_after.counted.items()
        )

    def platform_calls_per_s(self) -> float:
        """Return the platform's calls, of the whole fleet."""
        taken_s = self.counted_after.at_s - self.counted_before.at_s
        earlier = self.counted_before.platform_calls
        return (self.counted_after.platform_calls - earlier) / taken_s

    def _grown(self, pick: Callable[[proc.Reading], float]) -> list[float]:
        taken_s = self.after.at_s - self.before.at_s
        return [
            (pick(reading) - pick(self.before.readings[name])) / taken_s
            for name, reading in self.after.readings.items()
        ]


async def measure(
    fleet: fleets.MeasuredFleet,
    shape: samples.Shape,
    window_s: float,
    clock: clocks.Clock,
) -> samples.FleetSample:
    """Measure for ``window_s`` seconds.

    The readings of processor time are taken inside of those of the status
    pages, so that asking for the pages is not measured with the rest. The
    counters of peers span the little more that their own reading takes.
    """
    counted_before = await _count(fleet, clock)
    before = _read(fleet, clock)
    await asyncio.sleep(window_s)
    after = _read(fleet, clock)
    window = _Window(before, after, counted_before, await _count(fleet, clock))
    documents = await fleet.read_statuses()
    return samples.FleetSample(
        shape=shape,
        window_s=after.at_s - before.at_s,
        cpu_percent=window.cpu_percent(),
        resident_mb=spread(
            reading.resident_bytes / _BYTES_PER_MB
            for reading in after.readings.values()
        ),
        sockets=spread(reading.sockets for reading in after.readings.values()),
        wake_ups_per_s=window.wake_ups_per_s(),
        sent_bytes_per_s=window.rate('sent_bytes'),
        received_bytes_per_s=window.rate('received_bytes'),
        sent_messages_per_s=window.rate('sent_messages'),
        received_messages_per_s=window.rate('received_messages'),
        services_held=spread(
            len(document.services) for document in documents.values()
        ),
        members_known=spread(
            len(document.members) for document in documents.values()
        ),
        platform_calls_per_s=window.platform_calls_per_s(),
        load_average=os.getloadavg()[0],
    )


def _read(fleet: fleets.MeasuredFleet, clock: clocks.Clock) -> _Readings:
    readings = {name: fleet.reading(name) for name in fleet.daemons}
    return _Readings(clock.monotonic_s(), readings)


async def _count(
    fleet: fleets.MeasuredFleet,
    clock: clocks.Clock,
) -> _Counts:
    calls = await fleet.count_platform_calls()
    documents = await fleet.read_statuses()
    counted = {name: document.peers for name, document in documents.items()}
    return _Counts(clock.monotonic_s(), counted, calls)
