"""Prints what a fleet sends between zones, by kind of message."""

import asyncio
import sys
from collections.abc import Iterator, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.telemetry import logs
from sardinepier.wire import counters
from sardinepier.workbench.policy import overrides, virtual_loop
from sardinepier.workbench.zone_traffic import simulation

TEXT_OPTIONS: Final = ('daemons', 'variant')
_START_S: Final = 10
_STEADY_S: Final = 20
_KILO: Final = 1000
_LOST_ZONE: Final = ids.ZoneName('zone-2')


def run(
    daemons: str = '30,100',
    zones: int = 3,
    seeds: int = 1,
    variant: str = '',
) -> None:
    """Simulate a start of the whole fleet, a steady state and losses.

    ``daemons`` are the sizes of the fleets, separated by commas. ``variant``
    lists constants to override, as ``library.module.NAME=number`` separated
    by commas. Rates are in kB/s and messages a second between all zones.
    """
    logs.configure('error', '', stream=sys.stderr)
    chosen = [text for text in variant.split(',') if text]
    with overrides.applied(chosen):
        for count in daemons.split(','):
            for seed in range(seeds):
                for line in simulate(int(count), zones, seed):
                    sys.stdout.write(f'{line}\n')
                    sys.stdout.flush()


def simulate(count: int, zones: int, seed: int) -> Sequence[str]:
    """Return the figures of one run as lines."""
    return virtual_loop.run(_play(count, zones, seed))


async def _play(count: int, zones: int, seed: int) -> Sequence[str]:
    played = simulation.Simulation(count, zones, seed)
    played.start()
    await asyncio.sleep(_START_S)
    at_start = played.traffic()
    await asyncio.sleep(_STEADY_S)
    steady = played.traffic().since(at_start)
    outcomes = ' '.join(
        f'{name} {number}'
        for name, number in sorted(played.callers.outcomes.items())
    )
    joined_s = played.joined_s()
    one = await played.lose(played.of_zone(_LOST_ZONE)[-1:])
    zone = await played.lose(played.of_zone(_LOST_ZONE))
    await played.stop()
    return [
        f'{count} daemons, {zones} zones, seed {seed}: {outcomes}',
        *_rates('start', at_start, _START_S),
        *_rates('steady', steady, _STEADY_S),
        f'  knows 95 % of the fleet: half after {_median(joined_s):.2f} s,'
        f' all after {joined_s[-1]:.2f} s',
        f'  seen in other zones: a death after {_detected(one)},'
        f' the loss of a zone after {_detected(zone)}',
    ]


def _rates(
    name: str,
    sent: simulation.Traffic,
    seconds: float,
) -> Iterator[str]:
    per_s = sent.bytes.total() / seconds
    messages_per_s = sent.messages.total() / seconds
    overhead_per_s = counters.TRANSPORT_OVERHEAD_BYTES * messages_per_s
    forwarded = sent.forwarded.total()
    yield (
        f'  {name}: {per_s / _KILO:.1f} kB/s, {messages_per_s:.0f} messages/s'
        f' with {overhead_per_s / _KILO:.1f} kB/s of transport overhead;'
        f' within zones {sent.within_bytes / seconds / _KILO:.1f} kB/s;'
        f' forwarded {sent.forwarded[True] / seconds / _KILO:.1f}'
        f' of {forwarded / seconds / _KILO:.1f} kB/s'
    )
    for kind, size_bytes in sent.bytes.most_common():
        count = sent.messages[kind]
        yield (
            f'    {kind:20} {size_bytes / seconds / _KILO:8.2f} kB/s'
            f' {count / seconds:8.1f} a second of {size_bytes / count:5.0f} B'
        )


def _median(numbers: Sequence[float]) -> float:
    return numbers[len(numbers) // 2]


def _detected(detection: simulation.Detection) -> str:
    return f'{detection.unserved_s:.1f} s (dead {detection.dead_s:.1f} s)'
