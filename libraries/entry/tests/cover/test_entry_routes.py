"""Routes by host and prefix, split routes, and versions that only grow."""

import collections
import random

import entry_support as support
import hypothesis
import pytest
from hypothesis import strategies as st
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, refusals, route_table, service_registry
from sardinepier.health import failure_estimate

LONGER = support.route('/books/new/')
ELSEWHERE = model.Route(
    name=ids.RouteName('elsewhere'),
    host='b.example',
    prefix='/',
    kind=model.RouteKind.IDEMPOTENT,
    shares=support.IDEMPOTENT_ROUTE.shares,
    timeout_s=1.0,
    target_latency_s=1.0,
    priority=0,
    max_attempts=1,
)

LOOKUPS = (
    ('a.example', '/books/1', support.IDEMPOTENT_ROUTE),
    ('a.example', '/books/', support.IDEMPOTENT_ROUTE),
    ('a.example', '/books/new/1', LONGER),
    ('a.example', '/books/newer/1', support.IDEMPOTENT_ROUTE),
    ('a.example', '/books/new', support.IDEMPOTENT_ROUTE),
    ('a.example', '/books', None),
    ('a.example', '/1?at=/books/1', None),
    ('A.Example:8080', '/books/1?x=/books/new/', support.IDEMPOTENT_ROUTE),
    ('b.example', '/books/1', ELSEWHERE),
    ('c.example', '/books/1', None),
    ('', '/books/1', None),
)


@pytest.mark.parametrize(('host', 'path', 'expected'), LOOKUPS)
def test_the_longest_prefix_of_the_host_decides(host, path, expected):
    table = route_table.RouteTable(
        support.configuration(1, [support.IDEMPOTENT_ROUTE, LONGER, ELSEWHERE]),
        random.Random(1),
    )
    assert table.find(host, path) == expected


@hypothesis.given(
    st.lists(st.integers(1, 100), min_size=2, max_size=5),
    st.integers(1, 400),
    st.integers(0, 1000),
)
def test_a_split_is_exact_within_one_request_a_service(weights, count, seed):
    shares = tuple(
        model.ServiceShare(ids.ServiceName(str(number)), float(weight))
        for number, weight in enumerate(weights)
    )
    rotation = route_table.SplitRotation(shares, random.Random(seed))
    counts = collections.Counter(rotation.next_service() for _ in range(count))
    for share in shares:
        expected = count * share.weight / sum(weights)
        # The random starting point moves each count by less than one more.
        assert abs(counts[share.service] - expected) < len(shares)


def make_registry():
    return service_registry.ServiceRegistry(
        support.ZONE,
        clocks.ManualClock(),
        random.Random(1),
        20.0,
        failure_estimate.EstimateOptions(),
    )


@hypothesis.given(st.lists(st.integers(1, 9), max_size=20))
def test_a_configuration_never_goes_back(versions):
    registry = make_registry()
    newest = 0
    for version in versions:
        is_applied = registry.offer_configuration(
            support.configuration(version)
        )
        assert is_applied is (version > newest)
        newest = max(newest, version)
        assert registry.configuration.version == newest


@hypothesis.given(st.lists(st.integers(1, 9), max_size=20))
def test_a_target_list_never_goes_back(revisions):
    registry = make_registry()
    newest = 0
    for revision in revisions:
        name = f't{revision}'
        registry.offer_targets(
            model.TargetList(revision, (support.listed(name),)),
        )
        newest = max(newest, revision)
        assert registry.targets.revision == newest
        pool = registry.pool(support.SERVICE)
        names = [record.listed.target_id for record in pool.targets.records()]
        assert names == [f't{newest}']


def test_without_a_configuration_there_are_no_routes():
    with pytest.raises(refusals.NotConfiguredError):
        make_registry().routes()


def test_a_target_that_is_no_longer_listed_is_removed():
    registry = make_registry()
    registry.offer_targets(model.TargetList(1, (support.listed('t1'),)))
    registry.offer_targets(model.TargetList(2, ()))
    assert not registry.pool(support.SERVICE).targets.records()
