"""Each wanted version is fetched once, from whoever has it."""

import random
import types

import pytest

from sardinepier.configuration import messages, options, store
from sardinepier.configuration.internal import pulls, wanted_files
from sardinepier.core import clock, ids
from sardinepier.platform import interface
from sardinepier.wire import messages as wire_messages

_NAME = ids.FileName('service/search')
_PEERS = [wire_messages.PeerAddress('10.0.0.1', port) for port in range(1, 6)]


class _Bench:
    def __init__(self):
        self.sent = []
        self.clock = clock.ManualClock()
        self.store = store.Store()
        self.limits = options.DistributorOptions()
        self.pulls = pulls.Pulls(
            lambda peer, message: self.sent.append((peer.port, message)),
            self.store,
            self.clock,
            self.limits,
        )

    def want(self, newest, in_force, peer=0, name=_NAME):
        entry = messages.KnownRevision(name, newest, in_force, deleted=False)
        return self.pulls.want(entry, _PEERS[peer])

    def arrive(self, revision, text):
        self.store.offer(_NAME, revision, text)
        self.pulls.arrived(_NAME, revision)

    def late(self):
        self.clock.advance(self.limits.answer_timeout_s)
        self.pulls.expire()

    def asked(self):
        return [(port, message.revision) for port, message in self.sent]


@pytest.fixture
def bench():
    """Return an empty store that pulls from peers."""
    return _Bench()


def test_rejected_version_does_not_stand_in_for_the_valid_one(bench, world):
    assert bench.want(newest=4, in_force=3)
    assert bench.asked() == [(1, 3), (1, 4)]
    bench.arrive(4, 'rubbish')
    assert not bench.pulls.is_idle
    bench.arrive(3, world.service_text('search'))
    assert bench.pulls.is_idle
    assert bench.store.find(_NAME).in_force_revision == 3
    assert not bench.want(newest=4, in_force=3)


def test_newer_answer_ends_the_pull_of_an_older_version(bench, world):
    bench.want(newest=3, in_force=3)
    bench.arrive(5, world.service_text('search'))
    assert bench.pulls.is_idle


def test_version_that_only_peers_find_valid_is_left_alone_for_a_while(bench):
    bench.want(newest=3, in_force=3)
    bench.arrive(3, 'what another program can read')
    assert not bench.want(newest=3, in_force=3, peer=1)
    bench.clock.advance(1000)
    assert bench.want(newest=3, in_force=3, peer=1)


def test_other_peers_are_asked_in_turn_and_not_for_ever(bench):
    for peer in range(5):
        bench.want(newest=3, in_force=3, peer=peer)
    for _ in range(9):
        bench.late()
    assert bench.asked() == [(1, 3), (2, 3), (3, 3), (1, 3)]
    assert bench.pulls.is_idle


def test_pulls_under_way_are_bounded(bench):
    for number in range(50):
        bench.want(3, 3, name=ids.FileName(f'service/s{number}'))
    assert len(bench.sent) == bench.limits.pulls_in_flight
    bench.late()
    assert len(bench.sent) == 2 * bench.limits.pulls_in_flight


def test_answer_about_to_be_read_is_not_asked_for_again(bench):
    bench.want(newest=3, in_force=3)
    bench.pulls.mark_received(_NAME)
    bench.late()
    assert (bench.asked(), bench.pulls.due_s()) == ([(1, 3)], ())
    # What came was something else than what was asked for.
    bench.pulls.arrived(_NAME, 2)
    bench.late()
    assert bench.asked() == [(1, 3), (1, 3)]


@pytest.mark.parametrize(
    ('rank', 'is_fetching', 'due_s'),
    [(0, True, 0), (0, False, 0), (2, False, 0.3), (2, True, 2.3)],
)
def test_pulls_hold_back_reads_for_others_and_not_for_ever(
    bench, rank, is_fetching, due_s
):
    wanted = wanted_files.WantedFiles(
        bench.store,
        types.SimpleNamespace(rank=lambda name: rank),
        bench.clock,
        random.Random(0),
        bench.limits,
        lambda: is_fetching,
    )
    entry = interface.FileRevision(_NAME, ids.Revision(1))
    wanted.replace(interface.Listing(ids.Revision(1), (entry,)))
    began_s = bench.clock.monotonic_s()
    for _ in range(40):
        if wanted.due():
            break
        # Whoever waits comes back in time, and never at once again.
        wait_s = wanted.next_due_s() - bench.clock.monotonic_s()
        assert 0 < wait_s <= bench.limits.stagger_s * rank
        bench.clock.advance(wait_s)
    elapsed_s = bench.clock.monotonic_s() - began_s
    assert elapsed_s == pytest.approx(due_s)
