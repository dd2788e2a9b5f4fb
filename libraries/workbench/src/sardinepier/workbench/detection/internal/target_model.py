"""A model of a target: slots, queue, service times, pauses and restarts."""

import collections
import dataclasses
import random
from typing import Final

from sardinepier.workbench.detection import scenario

_MS_PER_S: Final = 1000
_PAUSE_MARGIN_S: Final = 10.0
_COLD_FACTOR: Final = 4.0
_COLD_S: Final = 10.0
_MIN_TIME_FACTOR: Final = 0.9
_MAX_TIME_FACTOR: Final = 1.1
_MIN_PAUSE_MS: Final = 20.0


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A request of a caller, with the state of its newest attempt."""

    daemon: int
    route: int
    arrived_s: float
    number: int = 0
    started_s: float = 0.0
    target: int = 0
    tries: int = 0
    ended: bool = False


class TargetModel:
    """A target with a fixed number of slots and a queue in front of them."""

    def __init__(
        self,
        service: scenario.Service,
        random_source: random.Random,
        horizon_s: float,
    ) -> None:
        """Draw the target's time factor and its pauses for the whole run."""
        self.incarnation = 0
        self.cold_until_s = 0.0
        self.running = 0
        self.queue: collections.deque[SimulatedRequest] = collections.deque()
        self._service = service
        self._random = random_source
        self._time_factor = random_source.uniform(
            _MIN_TIME_FACTOR, _MAX_TIME_FACTOR
        )
        self._pauses = self._draw_pauses(horizon_s)
        self._next_pause = 0

    def service_ms(self, route: int, now_s: float, factor: float) -> float:
        """Draw the service time of a request that starts now."""
        typical_ms = self._service.route_ms[route] * self._time_factor * factor
        if now_s < self.cold_until_s:
            cold_share = (self.cold_until_s - now_s) / _COLD_S
            typical_ms *= 1 + (_COLD_FACTOR - 1) * cold_share
        drawn_ms = typical_ms * self._random.lognormvariate(
            0,
            self._service.spread,
        )
        return drawn_ms + self._paused_ms(now_s, drawn_ms)

    def replace(self, now_s: float) -> None:
        """Start a new incarnation, which is slower until it is warm."""
        self.incarnation += 1
        self.cold_until_s = now_s + _COLD_S

    def _draw_pauses(self, horizon_s: float) -> list[tuple[float, float]]:
        pauses = []
        moment_s = 0.0
        while moment_s < horizon_s + _PAUSE_MARGIN_S:
            moment_s += self._random.expovariate(
                1 / self._service.pause_every_s,
            )
            length_ms = self._random.uniform(
                _MIN_PAUSE_MS,
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
