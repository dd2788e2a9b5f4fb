"""A target that restarts under its name, with lists in any order."""

import random

import entry_support as support
from hypothesis import given, strategies
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, service_registry
from sardinepier.health import failure_estimate


def incarnation(name, born_ms, state=model.TargetState.READY, port=1):
    return support.listed(
        f'{name}@{born_ms}',
        port,
        name=name,
        born_ms=born_ms,
        state=state,
    )


def empty_services():
    return service_registry.ServiceRegistry(
        support.ZONE,
        clocks.ManualClock(100.0),
        random.Random(1),
        20.0,
        failure_estimate.EstimateOptions(),
    )


def in_use(services):
    records = services.pool(support.SERVICE).targets.records()
    return {record.listed.target_id for record in records}


def test_the_record_of_an_incarnation_is_not_used_for_the_next():
    services = empty_services()
    services.offer_targets(model.TargetList(1, (incarnation('i-1', 10),)))
    pool = services.pool(support.SERVICE)
    before = pool.targets.find(ids.TargetId('i-1@10'))
    before.estimate.failed(100.0)
    before.record_load(3, 5, 100.0)
    before.full_until_s = 200.0
    services.offer_targets(model.TargetList(2, (incarnation('i-1', 20),)))
    after = pool.targets.find(ids.TargetId('i-1@20'))
    assert in_use(services) == {'i-1@20'}
    assert after.has_free_slot(100.0)
    assert after.estimate.failing_probability(
        100.0
    ) < before.estimate.failing_probability(100.0)
    assert after.listed.stable_name == 'i-1'


def test_a_late_entry_of_the_previous_incarnation_is_ignored():
    services = empty_services()
    services.offer_targets(model.TargetList(1, (incarnation('i-1', 20),)))
    services.offer_targets(model.TargetList(2, (incarnation('i-1', 10),)))
    assert in_use(services) == set()
    services.offer_targets(model.TargetList(3, (incarnation('i-1', 20),)))
    assert in_use(services) == {'i-1@20'}


def test_the_next_incarnation_of_a_draining_target_is_used():
    services = empty_services()
    draining = incarnation('i-1', 10, model.TargetState.DRAINING)
    services.offer_targets(model.TargetList(1, (draining,)))
    assert in_use(services) == set()
    services.offer_targets(model.TargetList(2, (incarnation('i-1', 20),)))
    assert in_use(services) == {'i-1@20'}


ENTRIES = strategies.builds(
    incarnation,
    strategies.sampled_from(('i-1', 'i-2', 'i-3')),
    strategies.integers(1, 5),
    strategies.sampled_from(list(model.TargetState)),
)


@given(strategies.lists(strategies.lists(ENTRIES, max_size=3), max_size=8))
def test_in_any_order_only_the_newest_incarnation_of_a_name_is_used(lists):
    services = empty_services()
    newest_ms = {}
    for revision, listed in enumerate(lists):
        services.offer_targets(model.TargetList(revision, tuple(listed)))
        for target in listed:
            known_ms = newest_ms.get(target.stable_name, 0)
            newest_ms[target.stable_name] = max(known_ms, target.born_ms)
        for target_id in in_use(services):
            name, _, born_ms = target_id.partition('@')
            assert int(born_ms) == newest_ms[name]


async def test_a_connection_to_the_previous_incarnation_is_not_used(entry):
    """The previous incarnation is gone; a request to it would be lost."""
    target = support.RawTarget('i-1')
    await target.start()
    services = entry.shared.services
    for revision, born_ms in enumerate((10, 10, 20)):
        restarted = incarnation('i-1', born_ms, port=target.port)
        services.offer_targets(model.TargetList(revision, (restarted,)))
        await entry.send()
    assert target.connections == 2
    assert target.received[-1][1][support.NAMES.expected_target] == 'i-1'
