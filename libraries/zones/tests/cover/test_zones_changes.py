"""Distribution of target lists within a zone, as differences."""

import random

import msgspec
import pytest
import zones_support as support
from hypothesis import given as with_examples
from hypothesis import strategies
from sardinepier.entry import model, service_registry
from sardinepier.zones import messages, target_changes

READY = model.TargetState.READY
DRAINING = model.TargetState.DRAINING
LINK_KBIT_PER_S = 10_000
NEIGHBOURS = 25
MAX_SHARE = 0.05
"""Share of a second on such a link that a typical change may take; callers use
the remaining capacity."""

SETTLING_TIME_S = 7.0

entries = strategies.dictionaries(
    strategies.sampled_from([f't{number}' for number in range(8)]),
    strategies.builds(
        dict,
        state=strategies.sampled_from([READY, DRAINING]),
        warm_in_s=strategies.sampled_from([0.0, 1.5]),
        born_ms=strategies.integers(0, 2),
    ),
)


def listed(revision, fields_by_name):
    return model.TargetList(
        revision,
        tuple(
            support.target(name, **fields)
            for name, fields in fields_by_name.items()
        ),
    )


def change_of(before, after):
    return target_changes.between(
        before,
        after,
        base_digest=service_registry.digest_of(before),
        digest=service_registry.digest_of(after),
        snapshot_age_ms=0,
    )


@with_examples(entries, entries)
def test_an_applied_change_results_in_the_new_list(before, after):
    old, new = listed(1, before), listed(2, after)
    applied = target_changes.applied(old, change_of(old, new))
    assert applied.revision == 2
    assert set(applied.targets) == set(new.targets)
    assert service_registry.digest_of(applied) == service_registry.digest_of(
        new
    )


@pytest.mark.parametrize(
    'changed',
    [
        {'state': DRAINING},
        {'slots': 9},
        {'ip': '127.0.0.9'},
        {'port': 9},
        {'zone': 'z9'},
        {'service': 'others'},
    ],
)
def test_lists_with_different_targets_have_different_digests(changed):
    original = support.target('t1')
    changed_target = msgspec.structs.replace(original, **changed)
    digests = {
        service_registry.digest_of(model.TargetList(1, (target,)))
        for target in (original, changed_target)
    }
    assert len(digests) == 2


def test_the_order_of_a_list_does_not_change_its_digest():
    in_order = support.target_list(1, 't1', 't2')
    reversed_order = support.target_list(1, 't2', 't1')
    assert service_registry.digest_of(in_order) == service_registry.digest_of(
        reversed_order
    )


async def test_a_change_uses_little_of_a_weak_link():
    zone = support.Zone(count=NEIGHBOURS + 1)
    names = [f'target-{number:06}' for number in range(142)]
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, *names)
    await zone.run(3.0)
    reader = next(
        daemon for daemon in zone.daemons if daemon.guard.is_own_snapshot
    )
    before = reader.network.counters().bytes_sent
    zone.platform.targets = support.target_list(2, *names[4:])
    await zone.run(1.0)
    assert all(len(daemon.target_names) == 138 for daemon in zone.daemons)
    sent_bits = 8 * (reader.network.counters().bytes_sent - before)
    assert sent_bits / 1000 <= MAX_SHARE * LINK_KBIT_PER_S


@pytest.mark.parametrize('seed', [*range(9), 28, 80])
async def test_all_have_the_same_list_after_any_changes(seed):
    """Messages are lost, duplicated and late, and the reader changes.

    Afterwards the next read comes within 3.8 s, and targets that may have
    expired while no daemon could read are kept for 2.2 s more.
    """
    random_source = random.Random(seed)
    zone = support.Zone()
    names = [f't{number}' for number in range(12)]
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, *names)
    await zone.run(2.0)
    zone.hub.faults = support.memory_network.LinkFaults(
        loss=0.3,
        duplicate=0.2,
        reorder_s=0.4,
    )
    for revision in range(2, 20):
        zone.platform.targets = support.target_list(
            revision,
            *random_source.sample(names, random_source.randint(1, len(names))),
        )
        daemon_ids = [daemon.own.daemon_id for daemon in zone.daemons]
        zone.platform.refused = set(random_source.sample(daemon_ids, 3))
        await zone.run(random_source.uniform(0.2, 1.5))
    zone.hub.faults = support.memory_network.LinkFaults()
    zone.platform.refused = set()
    await zone.run(SETTLING_TIME_S)
    expected = {target.target_id for target in zone.platform.targets.targets}
    assert all(daemon.target_names == expected for daemon in zone.daemons)


async def test_a_change_with_a_wrong_digest_is_ignored():
    zone = support.Zone(count=2)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1', 't2')
    await zone.run(2.0)
    first, second = zone.daemons
    change = change_of(
        support.target_list(1, 't1', 't2'),
        support.target_list(2, 't1'),
    )
    wrong = msgspec.structs.replace(change, digest=change.digest + 1)
    first.network.send(second.own.peer_address, wrong)
    zone.hub.deliver()
    assert second.target_names == {'t1', 't2'}


async def test_a_daemon_with_another_list_requests_the_whole_one():
    zone = support.Zone(count=2)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1', 't2')
    await zone.run(2.0)
    first, second = zone.daemons
    requested = []
    first.network.subscribe(
        messages.NewsRequest,
        lambda sender, request: requested.append(request),
    )
    change = change_of(
        support.target_list(5, 't1', 't2', 't3'),
        support.target_list(6, 't1'),
    )
    for _ in range(3):
        first.network.send(second.own.peer_address, change)
    zone.hub.deliver()
    assert requested == [messages.NewsRequest(1, 1)]
    assert second.target_names == {'t1', 't2'}
