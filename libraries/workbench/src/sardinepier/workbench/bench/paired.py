"""Times the same requests on two ways, in turns, at a fixed rate.

Slices of both ways alternate, and the order within a pair swaps, so that a
slow moment of the machine falls on both. At any moment only one way is
loaded. Requests start when they are due, whether or not earlier ones were
answered: a queue that builds up shows in the figures.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import clock
from sardinepier.workbench.traffic import report

_MS_PER_S: Final = 1000.0
_HUNDRED: Final = 100.0
_IN_FLIGHT_LIMIT: Final = 1000
_WARM_UP_S: Final = 0.5

Headers = Callable[[], dict[str, str]]
"""Makes the headers of the next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPath:
    """Where requests go, and the headers that they need there.

    ``headers`` is called for each request, since a key is used only once.
    """

    name: str
    url: str
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How long to measure. ``pairs`` slices of ``slice_s`` on each way."""

    pairs: int
    slice_s: float
    body: bytes


class PathFigures(msgspec.Struct, frozen=True):
    """What one way took. ``late`` is how far behind its due time a request
    started: high values mean that the generator was the bottleneck.
    """

    latency: report.Latency
    late: report.Latency
    failed: int
    not_sent: int


class PairFigures(msgspec.Struct, frozen=True):
    """Both ways at one rate, and what the second adds to the first."""

    rate_per_s: float
    direct: PathFigures
    through: PathFigures

    @property
    def added_p50_ms(self) -> float:
        """The difference of the medians."""
        return self.through.latency.p50_ms - self.direct.latency.p50_ms

    @property
    def added_p99_ms(self) -> float:
        """The difference of the 99th percentiles."""
        return self.through.latency.p99_ms - self.direct.latency.p99_ms

    @property
    def failed_percent(self) -> float:
        """The share of requests through the daemon without a good answer."""
        bad = self.through.failed + self.through.not_sent
        total = bad + self.through.latency.count
        return _HUNDRED * bad / max(1, total)


@dataclasses.dataclass(slots=True)
class _Samples:
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    late_ms: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    not_sent: int = 0

    def figures(self) -> PathFigures:
        return PathFigures(
            report.measure(self.latencies_ms),
            report.measure(self.late_ms),
            self.failed,
            self.not_sent,
        )


class PairedRun:
    """Measures two ways with one session."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        direct: RequestPath,
        through: RequestPath,
        plan: Plan,
        time_source: clock.Clock,
    ) -> None:
        """Prepare to measure ``through`` against ``direct``."""
        self._session = session
        self._direct = direct
        self._through = through
        self._plan = plan
        self._clock = time_source

    async def measure(self, rate_per_s: float) -> PairFigures:
        """Return the figures of both ways at ``rate_per_s``."""
        direct, through = _Samples(), _Samples()
        for way in (self._direct, self._through):
            await self._play(way, rate_per_s, _WARM_UP_S, _Samples())
        for number in range(self._plan.pairs):
            turns = [(self._direct, direct), (self._through, through)]
            if number % 2:
                turns.reverse()
            for way, samples in turns:
                slice_s = self._plan.slice_s
                await self._play(way, rate_per_s, slice_s, samples)
        return PairFigures(rate_per_s, direct.figures(), through.figures())

    async def _play(
        self,
        way: RequestPath,
        rate_per_s: float,
        slice_s: float,
        samples: _Samples,
    ) -> None:
        started_at_s = self._clock.monotonic_s()
        in_flight: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as tasks:
            for number in range(round(rate_per_s * slice_s)):
                due_s = started_at_s + number / rate_per_s
                left_s = due_s - self._clock.monotonic_s()
                if left_s > 0:
                    await asyncio.sleep(left_s)
                if len(in_flight) >= _IN_FLIGHT_LIMIT:
                    samples.not_sent += 1
                    continue
                task = tasks.create_task(self._send(way, due_s, samples))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)

    async def _send(
        self, way: RequestPath, due_s: float, samples: _Samples
    ) -> None:
        started_at_s = self._clock.monotonic_s()
        samples.late_ms.append((started_at_s - due_s) * _MS_PER_S)
        if not await self._exchange(way):
            samples.failed += 1
            return
        took_s = self._clock.monotonic_s() - started_at_s
        samples.latencies_ms.append(took_s * _MS_PER_S)

    async def _exchange(self, way: RequestPath) -> bool:
        try:
            async with self._session.post(
                way.url,
                data=self._plan.body,
                headers=way.headers(),
            ) as answer:
                await answer.read()
                return answer.ok
        except (aiohttp.ClientError, TimeoutError):
            return False
