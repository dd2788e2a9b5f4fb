"""Callers of all zones, and targets that fail at times."""

import asyncio
import collections
import random
from collections.abc import Coroutine, Mapping
from typing import Any

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import attempt_requirements, target_record
from sardinepier.workbench.zone_traffic import daemon as daemons
from sardinepier.workbench.zone_traffic import scenario


class Callers:
    """Sends requests to the carriers that daemons name.

    ``outcomes`` counts the requests by what became of them.
    """

    def __init__(
        self,
        running: Mapping[ids.InstanceId, daemons.SimulatedDaemon],
        fleet: scenario.FleetScenario,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Prepare requests to the daemons that are ``running`` at the time."""
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._running = running
        self._fleet = fleet
        self._clock = clock
        self._random = random_source
        self._failing: set[ids.TargetId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start the targets' failures and the callers."""
        for target in self._fleet.targets.targets:
            self._spawn(self._fail_at_times(target.target_id))
        for load in scenario.SERVICES:
            self._spawn(self._arrive(load))

    def stop(self) -> None:
        """End all callers."""
        for task in self._tasks:
            task.cancel()

    async def _fail_at_times(self, target_id: ids.TargetId) -> None:
        share = scenario.FAILING_SHARE
        healthy_s = scenario.FAILING_S * (1 - share) / share
        if self._random.random() < share:
            self._failing.add(target_id)
        while True:
            is_failing = target_id in self._failing
            mean_s = scenario.FAILING_S if is_failing else healthy_s
            await asyncio.sleep(self._random.expovariate(1 / mean_s))
            self._failing.symmetric_difference_update((target_id,))

    async def _arrive(self, load: scenario.ServiceLoad) -> None:
        names = list(self._fleet.customer_weights)
        weights = list(self._fleet.customer_weights.values())
        await asyncio.sleep(scenario.FIRST_REQUEST_S)
        while True:
            await asyncio.sleep(
                self._random.expovariate(load.per_s * self._fleet.scale)
            )
            customer = self._random.choices(names, weights)[0]
            self._spawn(self._request(load, customer))

    async def _request(
        self,
        load: scenario.ServiceLoad,
        customer: ids.CustomerName,
    ) -> None:
        used = self._carrier()
        used.activity.requests_started += 1
        if used.services.limits.take(customer):
            self.outcomes['limited'] += 1
            return
        tried: set[ids.TargetId] = set()
        for _ in range(scenario.MAX_ATTEMPTS if load.is_repeatable else 1):
            if await self._attempt(used, load, tried):
                self.outcomes['answered'] += 1
                return
        self.outcomes['failed'] += 1

    async def _attempt(
        self,
        used: daemons.SimulatedDaemon,
        load: scenario.ServiceLoad,
        tried: set[ids.TargetId],
    ) -> bool:
        pool = used.services.pool(ids.ServiceName(load.name))
        record = await self._acquire(used, load, tried)
        if record is None:
            self.outcomes['without a slot'] += 1
            return False
        tried.add(record.listed.target_id)
        number = pool.started(record)
        is_failing = (
            record.listed.target_id in self._failing
            and self._random.random() < scenario.FAILED_SHARE
        )
        work_s = self._random.expovariate(1 / load.work_s)
        taken_s = scenario.FAILURE_S if is_failing else work_s
        await asyncio.sleep(taken_s)
        forwarded_bytes = scenario.REQUEST_BYTES
        if is_failing:
            pool.failed(record, taken_s)
        else:
            forwarded_bytes += scenario.ANSWER_BYTES
            pool.answered(record, taken_s, scenario.ANSWER_BYTES)
        pool.finished(record, number)
        used.forwarded(
            forwarded_bytes,
            crosses_zones=record.listed.zone != used.own.zone,
        )
        return not is_failing

    async def _acquire(
        self,
        used: daemons.SimulatedDaemon,
        load: scenario.ServiceLoad,
        tried: set[ids.TargetId],
    ) -> target_record.TargetRecord | None:
        pool = used.services.pool(ids.ServiceName(load.name))
        now_s = self._clock.monotonic_s()
        until_s = now_s + scenario.MAX_WAIT_S
        requirements = attempt_requirements.AttemptRequirements(
            frozenset(tried),
            scenario.REQUEST_BYTES,
            now_s,
            until_s,
            is_final_attempt=not load.is_repeatable or bool(tried),
        )
        record = pool.try_acquire(requirements)
        while record is None and self._clock.monotonic_s() < until_s:
            await asyncio.sleep(scenario.POLL_S)
            record = pool.try_acquire(requirements)
        return record

    def _carrier(self) -> daemons.SimulatedDaemon:
        """Return a carrier that a random daemon names for its zone."""
        asked = self._random.choice(list(self._running.values()))
        named = self._random.choice(asked.carriers.of_zone(asked.own.zone))
        return self._running.get(named.instance_id, asked)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
