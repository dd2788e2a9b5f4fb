"""The cost of membership per daemon, which must not depend on the fleet size.

``MEMBERSHIP_COST_SIZES=12,48,150,400 pytest -k membership_cost`` prints
one row per size. Bytes are counted as encoded by the codec. Processor time is
that of the whole process, memory network included, divided by the number of
daemons.
"""

import os
import statistics
import sys
import time

import pytest

from sardinepier.membership import members

_SIZES = [
    int(size)
    for size in os.environ.get('MEMBERSHIP_COST_SIZES', '12,48,150').split(',')
]
_IDLE_TICKS = 30
_MESSAGES_PER_S = 10
_BYTES_PER_S = 6000
_PEAK_BYTES_PER_S = 29_000


def _total_cost(fleet):
    sent = fleet.sent()
    return (
        sum(messages for messages, _ in sent),
        sum(size for _, size in sent),
        time.process_time(),
    )


def _idle_cost(fleet):
    before = _total_cost(fleet)
    fleet.tick(_IDLE_TICKS)
    shared = len(fleet.running) * _IDLE_TICKS
    return [
        (later - earlier) / shared
        for earlier, later in zip(before, _total_cost(fleet), strict=True)
    ]


class _Peaks:
    """Peak bytes sent in one tick, by a single daemon and in the mean."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._before = {}
        self.max_of_daemon = 0
        self.max_of_mean = 0
        self.check()

    def check(self):
        sent = self._fleet.sent()
        now = dict(zip(self._fleet.networks.values(), sent, strict=True))
        spent = [
            now[network][1] - size
            for network, (_, size) in self._before.items()
            if network in now
        ]
        self.max_of_daemon = max(self.max_of_daemon, *spent, 0)
        self.max_of_mean = max(self.max_of_mean, statistics.fmean(spent or [0]))
        self._before = now

    def __str__(self):
        return (
            f'peak of one {self.max_of_daemon} B/s,'
            f' of the mean {self.max_of_mean:.0f}'
        )


def _until_agreed(fleet, peaks, limit=60):
    for ticks in range(limit):
        if fleet.agree():
            return ticks
        fleet.tick(1, peaks.check)
    raise AssertionError(f'no agreement within {limit} ticks')


def _replace_a_third(fleet, peaks):
    """Restart 30% within 60 ticks; return the further ticks to agreement."""
    replaced = [index for index in fleet.running if index % 10 < 3]
    for second in range(60):
        for index in replaced[second::60]:
            fleet.crash(index)
            fleet.start(index)
        fleet.tick(1, peaks.check)
    return _until_agreed(fleet, peaks)


def _everywhere(fleet, name, states):
    def check():
        found = [daemon.find(name) for daemon in fleet.running.values()]
        return all(member and member.state in states for member in found)

    return check


@pytest.mark.parametrize('size', _SIZES)
def test_cost_and_convergence(new_fleet, size, capsys):
    fleet = new_fleet(size, dead_keep_s=60)
    start = _Peaks(fleet)
    start_s = _until_agreed(fleet, start)
    fleet.tick(40)
    messages_per_s, bytes_per_s, cpu_s = _idle_cost(fleet)

    dead = fleet.crash(size // 2).own.instance_id
    not_serving = {
        members.MemberState.SUSPECT,
        members.MemberState.DEAD,
    }
    unserved = fleet.ticks_until(
        _everywhere(fleet, dead, not_serving), limit=40
    )
    died = unserved + fleet.ticks_until(
        _everywhere(fleet, dead, {members.MemberState.DEAD}), limit=40
    )
    fleet.running[size // 3].announce_leaving()
    leaving = fleet.running[size // 3].own.instance_id
    left = fleet.ticks_until(
        _everywhere(fleet, leaving, {members.MemberState.LEAVING}), limit=40
    )
    joiner = fleet.start(size // 2)
    joined = fleet.ticks_until(
        _everywhere(fleet, joiner.own.instance_id, {members.MemberState.ALIVE}),
        limit=40,
    )
    complete = joined + fleet.ticks_until(
        lambda: len(joiner.members()) == size, limit=40
    )
    fleet.crash(size // 3)
    fleet.start(size // 3)
    fleet.ticks_until(fleet.agree, limit=40)
    churn = _Peaks(fleet)
    churned_s = _replace_a_third(fleet, churn)
    row = (
        f'{size} daemons: at rest {messages_per_s:.1f} messages/s'
        f' {bytes_per_s:.0f} B/s {cpu_s * 1000:.2f} ms/s;'
        f' start {start_s} s, {start};'
        f' death unserved {unserved} s dead {died} s; leaving {left} s;'
        f' joined {joined} s, its whole view {complete} s;'
        f' 30% replaced in 60 s: agreed {churned_s} s later, {churn}\n'
    )
    with capsys.disabled():
        sys.stdout.write(row)
    assert messages_per_s <= _MESSAGES_PER_S
    assert bytes_per_s <= _BYTES_PER_S
    assert max(start.max_of_daemon, churn.max_of_daemon) <= _PEAK_BYTES_PER_S
    assert died <= 20
    assert max(left, joined) <= 8
