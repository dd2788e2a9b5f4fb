"""What membership costs a daemon, and that the fleet's size is no part of it.

``MEMBERSHIP_COST_SIZES=12,48,150,400 pytest -k membership_cost`` prints
one row a size. Bytes are those that the codec made. Processor time is that of
the whole process, memory network included, divided by the daemons.
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
_REST_TICKS = 30
_MESSAGES_PER_S = 10
_BYTES_PER_S = 6000
_PEAK_BYTES_PER_S = 29_000


def _spent(fleet):
    sent = fleet.sent()
    return (
        sum(messages for messages, _ in sent),
        sum(size for _, size in sent),
        time.process_time(),
    )


def _rest(fleet):
    before = _spent(fleet)
    fleet.tick(_REST_TICKS)
    shared = len(fleet.running) * _REST_TICKS
    return [
        (later - earlier) / shared
        for earlier, later in zip(before, _spent(fleet), strict=True)
    ]


class _Peaks:
    """The most that one daemon sent in one second, and that all shared."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._before = {}
        self.of_one = 0
        self.of_mean = 0
        self.check()

    def check(self):
        sent = self._fleet.sent()
        now = dict(zip(self._fleet.networks.values(), sent, strict=True))
        spent = [
            now[network][1] - size
            for network, (_, size) in self._before.items()
            if network in now
        ]
        self.of_one = max(self.of_one, *spent, 0)
        self.of_mean = max(self.of_mean, statistics.fmean(spent or [0]))
        self._before = now

    def __str__(self):
        return f'peak of one {self.of_one} B/s, of the mean {self.of_mean:.0f}'


def _until_agreed(fleet, peaks, limit=60):
    for ticks in range(limit):
        if fleet.agree():
            return ticks
        fleet.tick(1, peaks.check)
    raise AssertionError(f'no agreement within {limit} ticks')


def _replace_a_third(fleet, peaks):
    """Restart 30% within 60 ticks, and return the ticks to agreement."""
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
    messages_per_s, bytes_per_s, cpu_s = _rest(fleet)

    dead = fleet.crash(size // 2).own.instance_id
    gone = {
        members.MemberState.SUSPECT,
        members.MemberState.DEAD,
    }
    unserved = fleet.ticks_until(_everywhere(fleet, dead, gone), limit=40)
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
    whole = joined + fleet.ticks_until(
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
        f' joined {joined} s, its whole view {whole} s;'
        f' 30% replaced in 60 s: agreed {churned_s} s later, {churn}\n'
    )
    with capsys.disabled():
        sys.stdout.write(row)
    assert messages_per_s <= _MESSAGES_PER_S
    assert bytes_per_s <= _BYTES_PER_S
    assert max(start.of_one, churn.of_one) <= _PEAK_BYTES_PER_S
    assert died <= 20
    assert max(left, joined) <= 8
