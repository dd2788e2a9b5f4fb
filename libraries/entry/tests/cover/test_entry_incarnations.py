"""A target that starts again under its name, in any order of the news."""

import random

import entry_support as support
from hypothesis import strategies
from hypothesis import given as with_any
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, service_registry
from sardinepier.health import failure_estimate


def start(name, born_ms, state=model.TargetState.READY, port=1):
    return support.listed(
        f'{name}@{born_ms}',
        port,
        name=name,
        born_ms=born_ms,
        state=state,
    )


def serving():
    return service_registry.ServiceRegistry(
        support.ZONE,
        clocks.ManualClock(100.0),
        random.Random(1),
        20.0,
        failure_estimate.EstimateOptions(),
    )


def in_use(held):
    records = held.pool(support.SERVICE).targets.records()
    return {record.listed.target_id for record in records}


def test_nothing_of_the_start_before_is_believed_of_the_next():
    held = serving()
    held.offer_targets(model.TargetList(1, (start('i-1', 10),)))
    pool = held.pool(support.SERVICE)
    before = pool.targets.find(ids.TargetId('i-1@10'))
    before.estimate.failed(100.0)
    before.record_load(3, 5, 100.0)
    before.full_until_s = 200.0
    held.offer_targets(model.TargetList(2, (start('i-1', 20),)))
    after = pool.targets.find(ids.TargetId('i-1@20'))
    assert in_use(held) == {'i-1@20'}
    assert after.has_free_slot(100.0)
    assert after.estimate.failing_probability(
        100.0
    ) < before.estimate.failing_probability(100.0)
    assert after.listed.stable_name == 'i-1'


def test_a_late_entry_of_the_start_before_brings_nothing_back():
    held = serving()
    held.offer_targets(model.TargetList(1, (start('i-1', 20),)))
    held.offer_targets(model.TargetList(2, (start('i-1', 10),)))
    assert in_use(held) == set()
    held.offer_targets(model.TargetList(3, (start('i-1', 20),)))
    assert in_use(held) == {'i-1@20'}


def test_that_the_start_before_drained_says_nothing_of_the_next():
    held = serving()
    draining = start('i-1', 10, model.TargetState.DRAINING)
    held.offer_targets(model.TargetList(1, (draining,)))
    assert in_use(held) == set()
    held.offer_targets(model.TargetList(2, (start('i-1', 20),)))
    assert in_use(held) == {'i-1@20'}


ENTRIES = strategies.builds(
    start,
    strategies.sampled_from(('i-1', 'i-2', 'i-3')),
    strategies.integers(1, 5),
    strategies.sampled_from(list(model.TargetState)),
)


@with_any(strategies.lists(strategies.lists(ENTRIES, max_size=3), max_size=8))
def test_in_any_order_only_the_newest_start_of_a_name_is_used(lists):
    held = serving()
    newest_ms = {}
    for revision, listed in enumerate(lists):
        held.offer_targets(model.TargetList(revision, tuple(listed)))
        for one in listed:
            known_ms = newest_ms.get(one.stable_name, 0)
            newest_ms[one.stable_name] = max(known_ms, one.born_ms)
        for target_id in in_use(held):
            name, _, born_ms = target_id.partition('@')
            assert int(born_ms) == newest_ms[name]


async def test_a_connection_to_the_start_before_is_not_used(entry):
    """Whoever was there is gone; what is sent on it would be lost."""
    target = support.RawTarget('i-1')
    await target.start()
    held = entry.shared.services
    for revision, born_ms in enumerate((10, 10, 20)):
        once = start('i-1', born_ms, port=target.port)
        held.offer_targets(model.TargetList(revision, (once,)))
        await entry.ask()
    assert target.connections == 2
    assert target.seen[-1][1][support.NAMES.expected_target] == 'i-1'
