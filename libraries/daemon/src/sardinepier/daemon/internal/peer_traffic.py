"""What a daemon sends to others and forwards, by whether it crosses zones."""

import asyncio
from typing import Final, Protocol

from sardinepier.daemon import entry_events
from sardinepier.entry import request_metrics
from sardinepier.telemetry import logs, metrics
from sardinepier.wire import counters

_LOG_INTERVAL_S: Final = 10.0


class CountingNetwork(Protocol):
    """A network that counts what it sends."""

    def counters(self) -> counters.NetworkCounters:
        """Return the counts since the network was created."""
        ...


class PeerTraffic:
    """Reports the traffic of one daemon in log lines and metrics."""

    def __init__(
        self,
        network: CountingNetwork,
        forwarded: request_metrics.RequestMetrics,
    ) -> None:
        """Report the messages of ``network`` and the bytes ``forwarded``."""
        self._network = network
        self._forwarded = forwarded

    async def run(self) -> None:
        """Log the sums since the start regularly, until cancelled."""
        while True:
            await asyncio.sleep(_LOG_INTERVAL_S)
            self.log()

    def log(self) -> None:
        """Log the sums since the start."""
        logs.write(self.event())

    def event(self) -> entry_events.Traffic:
        """Return the sums since the start."""
        traffic = self._network.counters().traffic
        crossing = _of(traffic, counters.ZoneCrossing.CROSSES)
        within = _of(traffic, counters.ZoneCrossing.WITHIN)
        unknown = _of(traffic, counters.ZoneCrossing.UNKNOWN)
        messages = sum(kind.messages for kind in crossing)
        return entry_events.Traffic(
            crossing_bytes={kind.kind: kind.bytes for kind in crossing},
            crossing_messages={kind.kind: kind.messages for kind in crossing},
            crossing_overhead_bytes=(
                messages * counters.TRANSPORT_OVERHEAD_BYTES
            ),
            within_zone_bytes=sum(kind.bytes for kind in within),
            unknown_zone_bytes=sum(kind.bytes for kind in unknown),
            forwarded_crossing_bytes=self._forwarded.forwarded_bytes(
                crosses_zones=True,
            ),
        )

    def counter_values(self) -> tuple[metrics.CounterValue, ...]:
        """Return the counters of messages and bytes, grouped by name."""
        traffic = self._network.counters().traffic
        return (
            *(_value('peer_bytes', sent, sent.bytes) for sent in traffic),
            *(_value('peer_messages', sent, sent.messages) for sent in traffic),
        )


def _of(
    traffic: tuple[counters.KindTraffic, ...],
    crossing: counters.ZoneCrossing,
) -> list[counters.KindTraffic]:
    return [sent for sent in traffic if sent.crossing is crossing]


def _value(
    name: str,
    sent: counters.KindTraffic,
    count: int,
) -> metrics.CounterValue:
    return metrics.CounterValue(
        name=name,
        labels=(
            metrics.Label('kind', sent.kind),
            metrics.Label('crosses_zones', sent.crossing.value),
        ),
        count=count,
    )
