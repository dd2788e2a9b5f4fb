"""One emulated run: callers, daemons, targets and what disturbs them."""

import asyncio
import math
import random
from collections.abc import Mapping
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import caller_request, model, refusals
from sardinepier.wire import memory_network
from sardinepier.workbench.policy import (
    client,
    daemons,
    floor,
    scenario,
    tally,
    targets,
    virtual_loop,
)
from sardinepier.zones import messages as zone_messages

_GOOD: Final = 500
_FAILED_PRICE: Final = 0.5
"""Of the worth of a request that ended without any answer of a target."""

_FREE_HOLD: Final = 0.125
"""Part of the aim for which a request may be held and refused for nothing."""

_LONGEST_HOLD: Final = 0.75
"""Part of its time from which a refusal costs the whole worth."""

_FINGERPRINTS: Final = 1e12

_Harms = Mapping[scenario.DisturbanceKind, tuple[str, float | bool | None]]

_HARMS: Final[_Harms] = {
    scenario.DisturbanceKind.SHED: ('sheds', 0.0),
    scenario.DisturbanceKind.SLOW: ('slowness', 1.0),
    scenario.DisturbanceKind.CRASH: ('is_gone', False),
    scenario.DisturbanceKind.LIMIT: ('limit_per_s', None),
    scenario.DisturbanceKind.LEAVE: ('is_leaving', False),
    scenario.DisturbanceKind.REST: ('rest_s', 0.0),
}
"""What each trouble sets of a target, and what that is without it."""


class Emulation:
    """One run of a scenario; arrivals and work are the same for a seed."""

    def __init__(self, setup: scenario.Scenario, seed: int) -> None:
        """Prepare; must be made on a running virtual loop."""
        self.counts = tally.Tally()
        self._setup = setup
        self._loop = asyncio.get_running_loop()
        self._seed = seed
        self._targets = targets.make(setup, random.Random(seed + 1))
        self._hub = memory_network.MemoryHub(
            zone_messages.KINDS,
            virtual_loop.VirtualClock(self._loop),
            random.Random(seed + 2),
            automatic=True,
        )
        self._hub.faults = memory_network.LinkFaults(
            delay_s=setup.cross_zone_s,
        )
        self._known = [
            daemons.member_of(number, zone)
            for number, zone in enumerate(setup.zones * setup.daemons_a_zone)
        ]
        self._daemons: dict[str, list[daemons.EmulatedDaemon]] = {}
        self._starts = 0
        self._drawn = random.Random(seed + 3)
        self._is_down = False
        self._eagerness = 1.0
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> tally.Tally:
        """Play all of it and return what callers got."""
        self._start_daemons()
        looks = asyncio.ensure_future(self._watch_floor())
        async with asyncio.TaskGroup() as group:
            for disturbance in self._setup.disturbances:
                group.create_task(self._disturb(disturbance))
            for number, one in enumerate(self._setup.classes):
                for place, zone in enumerate(self._setup.zones):
                    seed = hash((self._seed, number, place))
                    group.create_task(
                        self._arrive(one, zone, random.Random(seed)),
                    )
        looks.cancel()
        await asyncio.gather(*self._requests)
        self._stop_daemons()
        return self.counts

    async def _watch_floor(self) -> None:
        while True:
            if not self._is_down:
                self.counts.floor.sample(self._targets, self._loop.time())
            await asyncio.sleep(floor.INTERVAL_S)

    def _start_daemons(self) -> None:
        self._is_down = False
        self._starts += 1
        self._daemons = {zone: [] for zone in self._setup.zones}
        for number, member in enumerate(self._known):
            self._daemons[member.zone].append(
                daemons.EmulatedDaemon(
                    self._setup,
                    daemons.FleetView(self._known, member),
                    self._hub,
                    self._targets,
                    random.Random(hash((self._seed, number))),
                    self.counts.compliance,
                ),
            )

    def _stop_daemons(self) -> None:
        self._is_down = True
        for of_zone in self._daemons.values():
            for daemon in of_zone:
                daemon.stop()

    async def _arrive(
        self,
        one: scenario.RequestClass,
        zone: str,
        drawn: random.Random,
    ) -> None:
        per_s = one.per_s / len(self._setup.zones)
        mu = math.log(one.work_s) - one.spread**2 / 2
        while self._loop.time() < self._setup.duration_s:
            gap_s = drawn.expovariate(per_s)
            await asyncio.sleep(gap_s / self._eagerness)
            work_s = drawn.lognormvariate(mu, one.spread)
            task = asyncio.ensure_future(self._request(one, zone, work_s))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _request(
        self,
        one: scenario.RequestClass,
        zone: str,
        work_s: float,
    ) -> None:
        sent_s = self._loop.time()
        credit = 0.0
        price = 0.0
        is_refused = False
        daemon = self._drawn.choice(self._daemons[zone])
        start = self._starts
        if not self._is_down:
            try:
                answer = await daemon.forward(_work(one, sent_s, work_s))
            except core_errors.SardinepierError as error:
                is_refused = isinstance(error, refusals.NotRunError)
                held_s = self._loop.time() - sent_s
                price = _price(one, held_s, is_refused=is_refused)
            else:
                if answer.status < _GOOD and start == self._starts:
                    is_late = self._loop.time() - sent_s > one.aim_s
                    credit = one.late_worth if is_late else one.worth
        self.counts.add(
            one.name,
            sent_s,
            tally.Earned(credit, one.worth, price, is_refused=is_refused),
        )

    async def _disturb(self, one: scenario.Disturbance) -> None:
        await asyncio.sleep(one.at_s)
        if one.kind is scenario.DisturbanceKind.RESTART:
            self._stop_daemons()
            await asyncio.sleep(one.for_s)
            self._start_daemons()
        elif one.kind is scenario.DisturbanceKind.BURST:
            self._eagerness = one.strength
            await asyncio.sleep(one.for_s)
            self._eagerness = 1.0
        else:
            await self._harm(one)

    async def _harm(self, one: scenario.Disturbance) -> None:
        of_service = [
            target
            for target in self._targets
            if target.listed.service == one.service
        ]
        harmed = of_service[:: max(1, round(1 / one.share))]
        for target in harmed:
            _set(target, one.kind, one.strength)
        await asyncio.sleep(one.for_s)
        for target in harmed:
            _set(target, one.kind, None)


def _price(
    one: scenario.RequestClass,
    held_s: float,
    *,
    is_refused: bool,
) -> float:
    """Return what a request costs that got no answer of a target.

    Its caller could have gone elsewhere the sooner, the sooner it was refused.
    """
    if not is_refused:
        return _FAILED_PRICE * one.worth
    free_s = _FREE_HOLD * one.aim_s
    most_s = _LONGEST_HOLD * one.deadline_s
    share = (held_s - free_s) / (most_s - free_s)
    return one.worth * min(1.0, max(0.0, share))


def _set(
    target: targets.Target,
    kind: scenario.DisturbanceKind,
    strength: float | None,
) -> None:
    """Harm a target by ``strength``, or with None end the harm."""
    name, unharmed = _HARMS[kind]
    if strength is None:
        setattr(target, name, unharmed)
    else:
        setattr(target, name, True if unharmed is False else strength)


def _work(
    one: scenario.RequestClass,
    sent_s: float,
    work_s: float,
) -> caller_request.CallerRequest:
    kind = model.RouteKind.NON_IDEMPOTENT
    if one.repeatable:
        kind = model.RouteKind.IDEMPOTENT
    service = ids.ServiceName(one.service)
    return caller_request.CallerRequest(
        request_id='',
        method='GET',
        path='/',
        headers=[(client.WORK_HEADER, str(work_s))],
        body=b'',
        route=model.Route(
            name=ids.RouteName(one.name),
            host='',
            prefix='/',
            kind=kind,
            shares=(model.ServiceShare(service, 1.0),),
            timeout_s=one.deadline_s,
            target_latency_s=one.aim_s,
            priority=one.priority,
            max_attempts=one.max_attempts,
        ),
        service=service,
        arrived_s=sent_s,
        caller_deadline_s=sent_s + one.deadline_s,
        deadline_s=sent_s + one.deadline_s,
        # Each is a request of its own: none is taken for one that crashes.
        fingerprint=int(work_s * _FINGERPRINTS),
        priority=one.priority,
    )


def emulate(setup: scenario.Scenario, seed: int) -> tally.Tally:
    """Play a scenario in virtual time and return what callers got."""
    return virtual_loop.run(_emulate(setup, seed))


async def _emulate(setup: scenario.Scenario, seed: int) -> tally.Tally:
    return await Emulation(setup, seed).run()
