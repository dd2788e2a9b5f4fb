"""Sound targets of a service whose requests may all run only once.

Seen: three of eight sound targets had nothing for two seconds, until a loss of
power failed a sixth of the requests of these seconds. A target counts as sound
two seconds after it last failed. Such requests left one alone for 7.7 s, until
its chance of failing had faded, since a failure of theirs is final. On average
a sixth of the sound targets were idle; three of eight are by bad luck. That
this happens without anything else going wrong is shown here, with targets that
fail by themselves as measured: three tenths of them at any time, for ten
seconds each, four fifths of their requests.
"""

import dataclasses
import heapq
import random

import entry_support as given
from sardinepier.core import clock as clocks
from sardinepier.entry import service_pool, wishes
from sardinepier.health import belief

LEAST_USED = 0.7
"""Share of the sound targets that has to get requests, by the users' rule."""

WINDOW_S = 2.0
"""Within which they have to, and after which one that failed is sound."""

TARGETS = 14
PER_S = 55.0
WORK_S = 0.24
FAILING_S = 10.0
SOUND_S = 23.0
FAILS = 0.8
FAILS_AFTER_S = 0.003


@dataclasses.dataclass
class Nature:
    """What one target is like, and what became of it."""

    fails_from_s: float
    sound_from_s: float
    asked_s: float = -WINDOW_S
    failed_s: float = -WINDOW_S


class Service:
    """A pool in virtual time before targets that fail by themselves."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock(100.0)
        self.pool = service_pool.ServicePool(
            given.SERVICE,
            given.ZONE,
            self.clock,
            random.Random(seed),
            20.0,
            belief.BeliefOptions(),
        )
        names = [f't{number}' for number in range(TARGETS)]
        self.pool.targets.set([given.listed(name) for name in names])
        self.natures = {name: self._nature(100.0) for name in names}
        self.ends = []
        self.asked = 0
        self.failed = 0

    def step(self, seconds):
        """Let time pass, end what ends and send one request."""
        self.clock.advance(seconds)
        now_s = self.clock.monotonic_s()
        while self.ends and self.ends[0][0] <= now_s:
            self._end(*heapq.heappop(self.ends))
        record = self.pool.try_acquire(
            wishes.Wish((), 0, now_s, now_s + 0.3, is_last=True),
        )
        self.asked += 1
        if record is None:
            self.failed += 1
            return
        name = record.listed.target_id
        nature = self.natures[name]
        nature.asked_s = now_s
        number = self.pool.started(record)
        fails = self._fails(nature, now_s)
        work_s = FAILS_AFTER_S if fails else WORK_S
        heapq.heappush(
            self.ends,
            (now_s + work_s, number, name, now_s, fails),
        )

    def used_share(self):
        """Return the share of the sound targets that got something."""
        since_s = self.clock.monotonic_s() - WINDOW_S
        sound = [
            one for one in self.natures.values() if one.failed_s <= since_s
        ]
        return sum(one.asked_s > since_s for one in sound) / len(sound)

    def _nature(self, now_s):
        fails_from_s = now_s + self.random.expovariate(1 / SOUND_S)
        lasts_s = self.random.expovariate(1 / FAILING_S)
        return Nature(fails_from_s, fails_from_s + lasts_s)

    def _fails(self, nature, now_s):
        while now_s >= nature.sound_from_s:
            fresh = self._nature(nature.sound_from_s)
            nature.fails_from_s = fresh.fails_from_s
            nature.sound_from_s = fresh.sound_from_s
        return now_s >= nature.fails_from_s and self.random.random() < FAILS

    def _end(self, ended_s, number, name, began_s, fails):
        record = self.pool.targets.find(name)
        self.pool.finished(record, number)
        if fails:
            self.failed += 1
            self.natures[name].failed_s = ended_s
            self.pool.failed(record, ended_s - began_s)
        else:
            self.pool.answered(record, ended_s - began_s)


def least_used(seed, seconds=60):
    """Return the least share in use of any two seconds."""
    service = Service(seed)
    shares = []
    for number in range(int(seconds * PER_S)):
        service.step(1 / PER_S)
        if number > WINDOW_S * PER_S:
            shares.append(service.used_share())
    return min(shares)


def test_enough_sound_targets_are_in_use_whenever_power_may_be_lost():
    assert min(least_used(seed) for seed in range(8)) >= LEAST_USED
