"""Tests that each needed version is fetched once, from a peer that has it."""

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


class _PullHarness:
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

    def request(self, newest, in_force, peer=0, name=_NAME):
        entry = messages.KnownRevision(name, newest, in_force, deleted=False)
        return self.pulls.request(entry, _PEERS[peer])

    def arrive(self, revision, text):
        self.store.offer(_NAME, revision, text)
        self.pulls.record_offered(_NAME, revision)

    def time_out(self):
        self.clock.advance(self.limits.answer_timeout_s)
        self.pulls.expire()

    def requests(self):
        return [(port, message.revision) for port, message in self.sent]


@pytest.fixture
def harness():
    """Return an empty store that pulls from peers."""
    return _PullHarness()


def test_rejected_version_does_not_replace_the_valid_one(harness, support):
    assert harness.request(newest=4, in_force=3)
    assert harness.requests() == [(1, 3), (1, 4)]
    harness.arrive(4, 'rubbish')
    assert not harness.pulls.is_idle
    harness.arrive(3, support.service_text('search'))
    assert harness.pulls.is_idle
    assert harness.store.find(_NAME).in_force_revision == 3
    assert not harness.request(newest=4, in_force=3)


def test_newer_answer_completes_the_pull_of_an_older_version(harness, support):
    harness.request(newest=3, in_force=3)
    harness.arrive(5, support.service_text('search'))
    assert harness.pulls.is_idle


def test_version_that_is_valid_only_at_peers_is_skipped_for_a_while(harness):
    harness.request(newest=3, in_force=3)
    harness.arrive(3, 'what another program can read')
    assert not harness.request(newest=3, in_force=3, peer=1)
    harness.clock.advance(1000)
    assert harness.request(newest=3, in_force=3, peer=1)


def test_other_peers_are_tried_in_order_up_to_a_limit(harness):
    for peer in range(5):
        harness.request(newest=3, in_force=3, peer=peer)
    for _ in range(9):
        harness.time_out()
    assert harness.requests() == [(1, 3), (2, 3), (3, 3), (1, 3)]
    assert harness.pulls.is_idle


def test_pulls_in_flight_are_bounded(harness):
    for number in range(50):
        harness.request(3, 3, name=ids.FileName(f'service/s{number}'))
    assert len(harness.sent) == harness.limits.pulls_in_flight
    harness.time_out()
    assert len(harness.sent) == 2 * harness.limits.pulls_in_flight


def test_answer_waiting_for_parsing_is_not_requested_again(harness):
    harness.request(newest=3, in_force=3)
    harness.pulls.mark_received(_NAME)
    harness.time_out()
    assert (harness.requests(), harness.pulls.deadlines_s()) == ([(1, 3)], ())
    # The answer had another version than the requested one.
    harness.pulls.record_offered(_NAME, 2)
    harness.time_out()
    assert harness.requests() == [(1, 3), (1, 3)]


@pytest.mark.parametrize(
    ('rank', 'is_fetching', 'due_s'),
    [(0, True, 0), (0, False, 0), (2, False, 0.3), (2, True, 2.3)],
)
def test_pulls_delay_reads_of_later_ranks_for_a_bounded_time(
    harness, rank, is_fetching, due_s
):
    wanted = wanted_files.WantedFiles(
        harness.store,
        types.SimpleNamespace(rank=lambda name: rank),
        harness.clock,
        random.Random(0),
        harness.limits,
        lambda: is_fetching,
    )
    entry = interface.FileRevision(_NAME, ids.Revision(1))
    wanted.replace(interface.Listing(ids.Revision(1), (entry,)))
    started_s = harness.clock.monotonic_s()
    for _ in range(40):
        if wanted.due():
            break
        # The wait is never zero and at most the delay of the rank.
        wait_s = wanted.next_due_s() - harness.clock.monotonic_s()
        assert 0 < wait_s <= harness.limits.stagger_s * rank
        harness.clock.advance(wait_s)
    elapsed_s = harness.clock.monotonic_s() - started_s
    assert elapsed_s == pytest.approx(due_s)
