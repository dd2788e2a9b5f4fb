"""Measures the same requests on two paths, alternately, at a fixed rate.

Slices of both paths alternate, and the order swaps from pair to pair, so that
a slow phase of the machine affects both. Only one path is loaded at a time.
Requests start at their due time, whether or not earlier ones were answered,
so that queueing shows in the figures.
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
_PERCENT: Final = 100.0
_MAX_IN_FLIGHT: Final = 1000
_WARM_UP_S: Final = 0.5

Headers = Callable[[], dict[str, str]]
"""Returns the headers of the next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPath:
    """A URL for requests, and their headers.

    ``headers`` is called for each request, as a key is used only once.
    """

    name: str
    url: str
    headers: Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The measuring plan: ``pairs`` slices of ``slice_s`` on each path."""

    pairs: int
    slice_s: float
    body: bytes


class PathFigures(msgspec.Struct, frozen=True):
    """The figures of one path. ``late`` is the delay of a request's start after
    its due time: high values mean that the generator was the bottleneck.
    """

    latency: report.Latency
    late: report.Latency
    failed: int
    not_sent: int


class PairFigures(msgspec.Struct, frozen=True):
    """Both paths at one rate, and the latency that the daemon adds."""

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
        failed = self.through.failed + self.through.not_sent
        total = failed + self.through.latency.count
        return _PERCENT * failed / max(1, total)


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
    """Measures two paths with one session."""

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
        """Return the figures of both paths at ``rate_per_s``."""
        direct, through = _Samples(), _Samples()
        for path in (self._direct, self._through):
            await self._run_slice(path, rate_per_s, _WARM_UP_S, _Samples())
        for number in range(self._plan.pairs):
            slices = [(self._direct, direct), (self._through, through)]
            if number % 2:
                slices.reverse()
            for path, samples in slices:
                slice_s = self._plan.slice_s
                await self._run_slice(path, rate_per_s, slice_s, samples)
        return PairFigures(rate_per_s, direct.figures(), through.figures())

    async def _run_slice(
        self,
        path: RequestPath,
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
                if len(in_flight) >= _MAX_IN_FLIGHT:
                    samples.not_sent += 1
                    continue
                task = tasks.create_task(self._send(path, due_s, samples))
                in_flight.add(task)
                task.add_done_callback(in_flight.discard)

    async def _send(
        self, path: RequestPath, due_s: float, samples: _Samples
    ) -> None:
        started_at_s = self._clock.monotonic_s()
        samples.late_ms.append((started_at_s - due_s) * _MS_PER_S)
        if not await self._exchange(path):
            samples.failed += 1
            return
        took_s = self._clock.monotonic_s() - started_at_s
        samples.latencies_ms.append(took_s * _MS_PER_S)

    async def _exchange(self, path: RequestPath) -> bool:
        try:
            async with self._session.post(
                path.url,
                data=self._plan.body,
                headers=path.headers(),
            ) as answer:
                await answer.read()
                return answer.ok
        except (aiohttp.ClientError, TimeoutError):
            return False
