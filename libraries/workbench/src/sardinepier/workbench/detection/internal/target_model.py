"""Targets of the experiment: slots, service times, faults; the ground truth."""

import collections
import dataclasses
import random
from typing import Final

from sardinepier.workbench.detection import scenario

_MS_PER_S: Final = 1000
_BEYOND_S: Final = 10.0
_COLD_FACTOR: Final = 4.0
_COLD_S: Final = 10.0
_LEAST_SPEED: Final = 0.9
_MOST_SPEED: Final = 1.1
_SHORTEST_PAUSE_MS: Final = 20.0


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """One attempt on its way to a target and back."""

    daemon: int
    route: int
    arrived_s: float
    number: int = 0
    started_s: float = 0.0
    target: int = 0
    tries: int = 0
    ended: bool = False


class TargetModel:
    """One target: a queue in front of its slots."""

    def __init__(
        self,
        service: scenario.Service,
        random_source: random.Random,
        horizon_s: float,
    ) -> None:
        """Draw the target's speed and its pauses for the whole run."""
        self.incarnation = 0
        self.cold_until_s = 0.0
        self.running = 0
        self.queue: collections.deque[SimulatedRequest] = collections.deque()
        self._service = service
        self._random = random_source
        self._speed = random_source.uniform(_LEAST_SPEED, _MOST_SPEED)
        self._pauses = self._draw_pauses(horizon_s)
        self._next_pause = 0

    def service_ms(self, route: int, now_s: float, factor: float) -> float:
        """Draw how long a request takes that begins now."""
        usual_ms = self._service.route_ms[route] * self._speed * factor
        if now_s < self.cold_until_s:
            left = (self.cold_until_s - now_s) / _COLD_S
            usual_ms *= 1 + (_COLD_FACTOR - 1) * left
        drawn_ms = usual_ms * self._random.lognormvariate(
            0,
            self._service.spread,
        )
        return drawn_ms + self._paused_ms(now_s, drawn_ms)

    def replace(self, now_s: float) -> None:
        """Start a new, cold incarnation."""
        self.incarnation += 1
        self.cold_until_s = now_s + _COLD_S

    def _draw_pauses(self, horizon_s: float) -> list[tuple[float, float]]:
        pauses = []
        moment_s = 0.0
        while moment_s < horizon_s + _BEYOND_S:
            moment_s += self._random.expovariate(
                1 / self._service.pause_every_s,
            )
            length_ms = self._random.uniform(
                _SHORTEST_PAUSE_MS,
                self._service.longest_pause_ms,
            )
            pauses.append((moment_s, length_ms / _MS_PER_S))
        return pauses

    def _paused_ms(self, now_s: float, drawn_ms: float) -> float:
        while self._pauses[self._next_pause][0] < now_s - 1:
            self._next_pause += 1
        end_s = now_s + drawn_ms / _MS_PER_S
        paused_s = 0.0
        for start_s, length_s in self._pauses[self._next_pause :]:
            if start_s > end_s + paused_s:
                break
            if start_s + length_s > now_s:
                paused_s += min(length_s, start_s + length_s - now_s)
        return paused_s * _MS_PER_S
