"""Runs one fault case: traffic, the fault, its end, and the verdict."""

import asyncio
import contextlib
from typing import Final

from sardinepier.core import clock
from sardinepier.standins import target_executions
from sardinepier.workbench.faults import cases, fleet, observations, verdicts
from sardinepier.workbench.traffic import generator, options, verification

_POLL_S: Final = 0.2
_SETTLE_S: Final = 1.0
_POISON_PER_S: Final = 1.0
_POISON_FOR_S: Final = 4.0


class CaseDriver:
    """Runs one case against one running fleet."""

    def __init__(
        self,
        case: cases.FaultCase,
        running_fleet: fleet.Fleet,
        time_source: clock.Clock,
    ) -> None:
        """Prepare the case; no fault is injected yet."""
        self._case = case
        self._fleet = running_fleet
        self._clock = time_source
        self._observed = observations.Observations(time_source.monotonic_s())

    async def run_case(self) -> verdicts.CaseRow:
        """Run the case and return its row."""
        processes = self._fleet.processes
        first_pids = {name: processes.pid(name) for name in self._case.restarts}
        watching = asyncio.create_task(self._watch())
        self._observed.started_at_s = self._clock.monotonic_s()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_traffic())
            tasks.create_task(self._inject_and_heal())
            tasks.create_task(self._send_poison())
        # Targets may still run requests whose callers have gone away.
        await asyncio.sleep(_SETTLE_S)
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        if self._case.relays:
            self._observed.cut_connections = await self._fleet.count_cuts()
        self._observed.not_restarted = tuple(
            name
            for name, first_pid in first_pids.items()
            if processes.pid(name) in {None, first_pid}
        )
        files = processes.execution_files()
        self._observed.executions = verification.read_files(files)
        return verdicts.evaluate(self._case, self._observed)

    async def _send_traffic(self) -> None:
        load = self._generator(
            self._case.rate_per_s,
            self._case.schedule.end_at_s,
            poison='',
        )
        self._observed.run = await load.send_all()

    async def _send_poison(self) -> None:
        if not self._case.poison:
            return
        await self._wait_until(self._case.schedule.inject_at_s + _SETTLE_S)
        load = self._generator(
            _POISON_PER_S,
            _POISON_FOR_S,
            self._case.poison,
        )
        self._observed.poisoned = await load.send_all()

    async def _inject_and_heal(self) -> None:
        await self._wait_until(self._case.schedule.inject_at_s)
        self._observed.injected_at_s = self._clock.monotonic_s()
        await self._case.inject.execute(self._fleet)
        if self._case.heal is not None:
            await self._wait_until(self._case.schedule.heal_at_s)
            await self._case.heal.execute(self._fleet)

    async def _watch(self) -> None:
        while True:
            self._watch_loads()
            for daemon in self._fleet.processes.daemons:
                revision = await self._fleet.read_revision(daemon)
                shown_revisions = self._observed.revisions.setdefault(
                    daemon, []
                )
                if revision is not None and shown_revisions[-1:] != [revision]:
                    shown_revisions.append(revision)
            await asyncio.sleep(_POLL_S)

    def _watch_loads(self) -> None:
        for path in self._fleet.processes.execution_files():
            executions = target_executions.read_executions(path)
            self._observed.loads.setdefault(path.name, []).append(
                observations.LoadSample(
                    self._clock.monotonic_s(),
                    len(executions),
                ),
            )

    async def _wait_until(self, moment_s: float) -> None:
        due_s = self._observed.started_at_s + moment_s
        await asyncio.sleep(max(0, due_s - self._clock.monotonic_s()))

    def _generator(
        self,
        rate_per_s: float,
        duration_s: float,
        poison: str,
    ) -> generator.Generator:
        processes = self._fleet.processes
        traffic = options.TrafficOptions(
            tuple(map(processes.endpoint, processes.daemons)),
            fleet.SERVICE,
            options.RouteChoice('POST', '/search'),
            self._case.keyed_route,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            attempt_timeout_s=self._case.attempt_timeout_s,
            poison=poison,
            detours=processes.detours(),
        )
        return generator.Generator(traffic, self._clock)
