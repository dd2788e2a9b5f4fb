"""Zones that don't know of each other's requests, before the same targets.

Seen: five zones, each with one carrier, before some hundred targets a service.
A target that answered a moment ago is the surest, and zones tell each other
every half second who that is. All sent to the same few, whose slots were full:
the busiest target had twice the mean, answers came late, and a third of the
bytes crossed zones. Two thirds of the slots were free meanwhile.
"""

import heapq
import random

import entry_support as support
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_pool, attempt_requirements
from sardinepier.health import failure_estimate

ZONES = [ids.ZoneName(f'z{number}') for number in range(5)]
TARGETS_A_ZONE = 26
SLOTS = 3
PER_S = 74.0
WORK_S = 0.34
PATIENCE_S = 0.36
TELLING_S = 0.5
SECONDS = 8

FEW = 0.02
"""One request in fifty: what a full target costs is a wait as long as its work,
and fewer than that change the median of nobody."""


class Fleet:
    """A pool a zone in virtual time, before targets that all serve well."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock(100.0)
        listed = [
            support.listed(f'{zone}-{number}', zone=zone, slots=SLOTS)
            for zone in ZONES
            for number in range(TARGETS_A_ZONE)
        ]
        self.pools = {zone: self._pool(zone, listed) for zone in ZONES}
        self.working = dict.fromkeys((one.target_id for one in listed), 0)
        self.waiting = {zone: [] for zone in ZONES}
        self.ends = []
        self.asked = 0
        self.met_full = 0
        self.crossed = 0

    def run(self):
        steps = int(SECONDS * PER_S)
        tells_each = round(TELLING_S * PER_S)
        for step in range(steps):
            self.clock.advance(1 / PER_S)
            self._end_due()
            for zone in ZONES:
                self.waiting[zone].append(self.clock.monotonic_s())
                self._send_waiting(zone)
            if step % tells_each == 0:
                self._tell()

    def _pool(self, zone, listed):
        pool = service_pool.ServicePool(
            support.SERVICE,
            zone,
            self.clock,
            random.Random(zone),
            20.0,
            failure_estimate.EstimateOptions(),
        )
        pool.targets.set(listed)
        for record in pool.targets.records():
            pool.answered(record, WORK_S)
        return pool

    def _send_waiting(self, zone):
        """Send what came, first come first served, while there is room."""
        since_s = self.waiting[zone]
        while since_s and self._send(zone, since_s[0]):
            since_s.pop(0)

    def _send(self, zone, since_s):
        now_s = self.clock.monotonic_s()
        pool = self.pools[zone]
        requirements = attempt_requirements.AttemptRequirements(
            (), 0, since_s, since_s + PATIENCE_S, is_final_attempt=True
        )
        record = pool.try_acquire(requirements)
        if record is None:
            return False
        name = record.listed.target_id
        self.asked += 1
        self.crossed += record.listed.zone != zone
        self.met_full += self.working[name] >= SLOTS
        self.working[name] += 1
        work_s = self.random.uniform(0.5, 1.5) * WORK_S
        entry = (now_s + work_s, self.asked, zone, name, pool.started(record))
        heapq.heappush(self.ends, entry)
        return True

    def _end_due(self):
        now_s = self.clock.monotonic_s()
        while self.ends and self.ends[0][0] <= now_s:
            _, _, zone, name, number = heapq.heappop(self.ends)
            self.working[name] -= 1
            pool = self.pools[zone]
            record = pool.targets.find(name)
            pool.finished(record, number)
            pool.answered(record, WORK_S)

    def _tell(self):
        """Let each zone know what the others saw last."""
        for name in self.working:
            records = [pool.targets.find(name) for pool in self.pools.values()]
            newest = max(records, key=lambda one: one.estimate.updated_s)
            seen_s = newest.estimate.updated_s
            for record in records:
                if record is not newest:
                    record.estimate.adopt(
                        newest.estimate.failing_probability(seen_s), seen_s
                    )


@pytest.fixture(scope='module', params=[1, 2, 3])
def played(request):
    fleet = Fleet(request.param)
    fleet.run()
    return fleet


def test_few_requests_meet_a_target_without_a_free_slot(played):
    """With two thirds of all slots free there is no need for any."""
    assert played.met_full < FEW * played.asked


def test_requests_stay_in_their_zone_while_it_has_sound_targets(played):
    assert played.crossed < FEW * played.asked
