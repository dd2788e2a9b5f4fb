"""Measurements inside one process, collected part by part."""

import statistics
from collections.abc import Callable, Sequence
from typing import TypeVar

from sardinepier.workbench.capacity import measuring, samples, units

Made = TypeVar('Made')


class Part:
    """The measurements of one library."""

    def __init__(self, name: str) -> None:
        """Start without measurements."""
        self.name = name
        self.samples: list[samples.PartSample] = []

    def amount(
        self,
        name: str,
        size: float,
        amount: float,
        unit: str,
        deviation: float = 0.0,
    ) -> None:
        """Note a figure that was found at ``size``."""
        self.samples.append(
            samples.PartSample(
                part=self.name,
                name=name,
                size=size,
                amount=amount,
                unit=unit,
                deviation=deviation,
            ),
        )

    def cost(
        self,
        name: str,
        size: float,
        action: Callable[[], object],
    ) -> None:
        """Measure the processor time of an action that can be repeated."""
        cost = measuring.cpu_cost(action)
        self.amount(
            name, size, cost.median_us, units.MICROSECONDS, cost.deviation_us
        )

    def costs(self, name: str, size: float, taken_us: Sequence[float]) -> None:
        """Note the processor times of an action, done once each."""
        self.amount(
            name,
            size,
            statistics.median(taken_us),
            units.MICROSECONDS,
            statistics.pstdev(taken_us),
        )

    def held(self, name: str, size: float, make: Callable[[], Made]) -> Made:
        """Measure the memory that a made object holds, and return it."""
        held_bytes, made = measuring.held_bytes(make)
        self.amount(name, size, held_bytes, units.BYTES)
        return made
