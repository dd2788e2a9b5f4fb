"""One emulated run of callers, daemons, targets and disturbances."""

import asyncio
import contextlib
import math
import random
from collections.abc import Mapping
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import caller_request, model, refusals
from sardinepier.gateway import request_body
from sardinepier.wire import memory_network
from sardinepier.workbench.policy import (
    client,
    cuts,
    daemons,
    floor,
    scenario,
    tally,
    targets,
    virtual_loop,
)
from sardinepier.zones import messages as zone_messages

_SERVER_ERROR: Final = 500
_FAILED_PENALTY_SHARE: Final = 0.5
"""Penalty of a request that ended without an answer, as a share of its worth."""

_FREE_HOLD_SHARE: Final = 0.125
"""Share of the latency aim within which a refusal has no penalty."""

_MAX_HOLD_SHARE: Final = 0.75
"""Share of the deadline from which a refusal costs the whole worth."""

_FINGERPRINT_FACTOR: Final = 1e12

_RESTART_S: Final = 2.5
"""How long after a crash a target is back, and listed by another id."""

_CALLER_PAUSE_S: Final = 0.2
"""How long a caller waits before it sends a request again."""

_TargetSettings = Mapping[
    scenario.DisturbanceKind, tuple[str, float | bool | None]
]

_TARGET_SETTINGS: Final[_TargetSettings] = {
    scenario.DisturbanceKind.SHED: ('sheds', 0.0),
    scenario.DisturbanceKind.SLOW: ('slowness', 1.0),
    scenario.DisturbanceKind.CRASH: ('is_gone', False),
    scenario.DisturbanceKind.LIMIT: ('limit_per_s', None),
    scenario.DisturbanceKind.LEAVE: ('is_leaving', False),
    scenario.DisturbanceKind.REST: ('rest_s', 0.0),
}
"""The attribute of a target that a disturbance sets, and its default."""


class Emulation:
    """One run of a scenario; equal seeds give equal arrivals and work."""

    def __init__(self, setup: scenario.Scenario, seed: int) -> None:
        """Prepare a run; needs a running virtual loop."""
        self.counts = tally.Tally()
        self._setup = setup
        self._loop = asyncio.get_running_loop()
        self._seed = seed
        self._targets = targets.make(setup, random.Random(seed + 1))
        for target in self._targets:
            target.on_crashed = self._on_crashed
        self._list_revision = 1
        self._crashing_requests = 0
        self._hub = memory_network.MemoryHub(
            zone_messages.KINDS,
            virtual_loop.VirtualClock(self._loop),
            random.Random(seed + 2),
            automatic=True,
        )
        self._hub.faults = memory_network.LinkFaults(
            delay_s=setup.cross_zone_s,
        )
        self._members = [
            daemons.member_of(number, zone)
            for number, zone in enumerate(setup.zones * setup.daemons_a_zone)
        ]
        self._daemons: dict[str, list[daemons.EmulatedDaemon]] = {}
        self._incarnation = 0
        self._random = random.Random(seed + 3)
        self._are_daemons_down = False
        self._arrival_factor = 1.0
        self._cuts = cuts.Cuts(self.counts.cuts)
        self._sent_requests = 0
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> tally.Tally:
        """Run the whole scenario and return the results of its callers."""
        self._start_daemons()
        floor_task = asyncio.ensure_future(self._watch_floor())
        async with asyncio.TaskGroup() as group:
            for disturbance in self._setup.disturbances:
                group.create_task(self._disturb(disturbance))
            for number, request_class in enumerate(self._setup.classes):
                for zone_number, zone in enumerate(self._setup.zones):
                    seed = hash((self._seed, number, zone_number))
                    group.create_task(
                        self._arrive(request_class, zone, random.Random(seed)),
                    )
        floor_task.cancel()
        await asyncio.gather(*self._requests)
        self._stop_daemons()
        return self.counts

    async def _watch_floor(self) -> None:
        while True:
            if not self._are_daemons_down:
                self.counts.floor.sample(self._targets, self._loop.time())
            await asyncio.sleep(floor.INTERVAL_S)

    def _start_daemons(self) -> None:
        self._are_daemons_down = False
        self._incarnation += 1
        self._daemons = {zone: [] for zone in self._setup.zones}
        by_id: dict[ids.InstanceId, daemons.EmulatedDaemon] = {}
        for number, member in enumerate(self._members):
            daemon = daemons.EmulatedDaemon(
                self._setup,
                daemons.FleetView(self._members, member),
                self._hub,
                self._targets,
                random.Random(hash((self._seed, number))),
                self.counts,
                by_id,
            )
            by_id[member.instance_id] = daemon
            self._daemons[member.zone].append(daemon)
        self._offer_targets()

    def _offer_targets(self) -> None:
        listed = tuple(target.listed for target in self._targets)
        for zone_daemons in self._daemons.values():
            for daemon in zone_daemons:
                daemon.offer_targets(
                    model.TargetList(self._list_revision, listed)
                )

    def _on_crashed(self, target: targets.Target) -> None:
        self._loop.call_later(_RESTART_S, self._restart, target)

    def _restart(self, target: targets.Target) -> None:
        self._list_revision += 1
        target_id = f'{target.listed.ip}-{self._list_revision}'
        target.restart(ids.TargetId(target_id))
        self._offer_targets()

    def _stop_daemons(self) -> None:
        self._are_daemons_down = True
        for zone_daemons in self._daemons.values():
            for daemon in zone_daemons:
                daemon.stop()

    async def _arrive(
        self,
        request_class: scenario.RequestClass,
        zone: str,
        random_source: random.Random,
    ) -> None:
        per_s = request_class.per_s / len(self._setup.zones)
        mu = math.log(request_class.work_s) - request_class.spread**2 / 2
        while self._loop.time() < self._setup.duration_s:
            gap_s = random_source.expovariate(per_s)
            await asyncio.sleep(gap_s / self._arrival_factor)
            work_s = random_source.lognormvariate(mu, request_class.spread)
            task = asyncio.ensure_future(
                self._request(request_class, zone, work_s)
            )
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _request(
        self,
        request_class: scenario.RequestClass,
        zone: str,
        work_s: float,
    ) -> None:
        sent_s = self._loop.time()
        score = await self._send_first(request_class, zone, sent_s, work_s)
        for _ in range(request_class.caller_retries):
            if not _may_resend(request_class, score):
                break
            await asyncio.sleep(_CALLER_PAUSE_S)
            if self._loop.time() > sent_s + request_class.deadline_s:
                break
            daemon = self._random.choice(self._daemons[zone])
            score = await self._send(request_class, daemon, sent_s, work_s)
        self.counts.add(request_class.name, sent_s, score)

    async def _send_first(
        self,
        request_class: scenario.RequestClass,
        zone: str,
        sent_s: float,
        work_s: float,
    ) -> tally.RequestScore:
        daemon = self._random.choice(self._daemons[zone])
        cut_tries = self._cuts.tries_at(daemon)
        score = await self._send(request_class, daemon, sent_s, work_s)
        if cut_tries is not None:
            cut_tries.add(is_served=score.credit > 0)
        return score

    async def _send(
        self,
        request_class: scenario.RequestClass,
        daemon: daemons.EmulatedDaemon,
        sent_s: float,
        work_s: float,
    ) -> tally.RequestScore:
        """Send a request once, which its caller first sent at ``sent_s``."""
        incarnation = self._incarnation
        if self._are_daemons_down:
            return tally.RequestScore(0.0, request_class.worth)
        try:
            answer = await daemon.forward(
                self._caller_request(request_class, sent_s, work_s)
            )
        except core_errors.SardinepierError as error:
            self.counts.crashes.held_back += isinstance(
                error, refusals.HeldBackError
            )
            return _score_of_error(
                request_class, error, self._loop.time() - sent_s
            )
        credit = 0.0
        if answer.status < _SERVER_ERROR and incarnation == self._incarnation:
            is_late = self._loop.time() - sent_s > request_class.aim_s
            credit = (
                request_class.late_worth if is_late else request_class.worth
            )
        return tally.RequestScore(credit, request_class.worth)

    def _caller_request(
        self,
        request_class: scenario.RequestClass,
        sent_s: float,
        work_s: float,
    ) -> caller_request.CallerRequest:
        self._sent_requests += 1
        request_id = str(self._sent_requests)
        allowed_runs = (
            request_class.max_attempts if request_class.repeatable else 1
        )
        self.counts.runs.record_request(request_id, allowed_runs)
        return caller_request.CallerRequest(
            request_id=request_id,
            method='GET',
            path='/',
            headers=[(client.WORK_HEADER, str(work_s))],
            body=request_body.EMPTY,
            route=daemons.route_of(request_class),
            service=ids.ServiceName(request_class.service),
            arrived_s=sent_s,
            caller_deadline_s=sent_s + request_class.deadline_s,
            deadline_s=sent_s + request_class.deadline_s,
            # Unique per request, so that the quarantine never takes a request for
            # a repetition of one that crashed targets.
            fingerprint=int(work_s * _FINGERPRINT_FACTOR),
            priority=request_class.priority,
        )

    async def _disturb(self, disturbance: scenario.Disturbance) -> None:
        await asyncio.sleep(disturbance.at_s)
        if disturbance.kind is scenario.DisturbanceKind.RESTART:
            self._stop_daemons()
            await asyncio.sleep(disturbance.for_s)
            self._start_daemons()
        elif disturbance.kind is scenario.DisturbanceKind.BURST:
            self._arrival_factor = disturbance.strength
            await asyncio.sleep(disturbance.for_s)
            self._arrival_factor = 1.0
        elif disturbance.kind is scenario.DisturbanceKind.CUT:
            await self._cuts.play(disturbance, self._daemons)
        elif disturbance.kind is scenario.DisturbanceKind.CRASHING_REQUEST:
            await self._send_crashing(disturbance)
        else:
            await self._disturb_targets(disturbance)

    async def _send_crashing(self, disturbance: scenario.Disturbance) -> None:
        """Send one crashing request repeatedly, each time to a random daemon."""
        request_class = next(
            request_class
            for request_class in self._setup.classes
            if request_class.service == disturbance.service
        )
        self._crashing_requests += 1
        fingerprint = self._crashing_requests
        ends_s = self._loop.time() + disturbance.for_s
        while self._loop.time() < ends_s:
            request = self._caller_request(
                request_class, self._loop.time(), request_class.work_s
            )
            request.fingerprint = fingerprint
            request.headers.append((client.CRASH_HEADER, str(fingerprint)))
            zone = self._random.choice(self._setup.zones)
            daemon = self._random.choice(self._daemons[zone])
            task = asyncio.ensure_future(_ignore_errors(daemon, request))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            await asyncio.sleep(1 / disturbance.strength)

    async def _disturb_targets(self, disturbance: scenario.Disturbance) -> None:
        service_targets = [
            target
            for target in self._targets
            if target.listed.service == disturbance.service
        ]
        affected = service_targets[:: max(1, round(1 / disturbance.share))]
        for target in affected:
            _set_disturbance(target, disturbance.kind, disturbance.strength)
        await asyncio.sleep(disturbance.for_s)
        for target in affected:
            _set_disturbance(target, disturbance.kind, None)


async def _ignore_errors(
    daemon: daemons.EmulatedDaemon,
    request: caller_request.CallerRequest,
) -> None:
    with contextlib.suppress(core_errors.SardinepierError):
        await daemon.forward(request)


def _may_resend(
    request_class: scenario.RequestClass, score: tally.RequestScore
) -> bool:
    """Return whether a caller sends a request with this result again."""
    if score.credit > 0:
        return False
    return request_class.repeatable or score.is_refused


def _score_of_error(
    request_class: scenario.RequestClass,
    error: core_errors.SardinepierError,
    waited_s: float,
) -> tally.RequestScore:
    is_refused = isinstance(error, refusals.NotRunError)
    return tally.RequestScore(
        0.0,
        request_class.worth,
        _penalty(request_class, waited_s, is_refused=is_refused),
        is_refused=is_refused,
    )


def _penalty(
    request_class: scenario.RequestClass,
    waited_s: float,
    *,
    is_refused: bool,
) -> float:
    """Return the penalty of a request that got no answer from a target.

    A refusal costs more the later it comes, as its caller could have used
    another service in that time.
    """
    if not is_refused:
        return _FAILED_PENALTY_SHARE * request_class.worth
    free_s = _FREE_HOLD_SHARE * request_class.aim_s
    max_s = _MAX_HOLD_SHARE * request_class.deadline_s
    share = (waited_s - free_s) / (max_s - free_s)
    return request_class.worth * min(1.0, max(0.0, share))


def _set_disturbance(
    target: targets.Target,
    kind: scenario.DisturbanceKind,
    strength: float | None,
) -> None:
    """Disturb a target by ``strength``; None ends the disturbance."""
    name, default = _TARGET_SETTINGS[kind]
    if strength is None:
        setattr(target, name, default)
    else:
        setattr(target, name, True if default is False else strength)


def emulate(setup: scenario.Scenario, seed: int) -> tally.Tally:
    """Run a scenario in virtual time and return the results of its callers."""
    return virtual_loop.run(_emulate(setup, seed))


async def _emulate(setup: scenario.Scenario, seed: int) -> tally.Tally:
    return await Emulation(setup, seed).run()
