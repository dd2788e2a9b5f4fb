"""Parsing a rendered snapshot gives an equal snapshot."""

import hypothesis
import pytest

from sardinepier.core import ids
from sardinepier.settings import errors, model, parsing, rendering

strategies = hypothesis.strategies

NAMES = strategies.from_regex('[A-Za-z0-9][A-Za-z0-9._-]{0,9}', fullmatch=True)
HEADERS = NAMES.map('X-{}'.format)
IPS = strategies.ip_addresses(v=4).filter(
    lambda ip: not (ip.is_unspecified or ip.is_multicast),
)
PORTS = strategies.integers(1, 65535)
COUNTS = strategies.integers(1, 100)
MILLISECONDS = strategies.integers(1, 3_600_000)
PERCENTS = strategies.floats(0, 100)
RATES = strategies.floats(0, 1_000_000, exclude_min=True)
SEEDS = strategies.builds(model.PeerSeed, ip=IPS.map(str), port=PORTS)
ZONES = strategies.builds(model.ZoneSettings, name=NAMES, region=NAMES)
SEGMENTS = strategies.sampled_from(('{id}', "a!$&'()*+,;=:@.~_-", 'Z', '0'))


@strategies.composite
def routes(draw, position):
    idempotent = draw(strategies.booleans())
    # The first segment differs, so that no request matches two routes.
    segments = [f'r{position}', *draw(strategies.lists(SEGMENTS, max_size=3))]
    path = '/'.join(segments).replace('{id}', '{id}', 1)
    hypothesis.assume(path.count('{id}') < 2)
    return model.RouteSettings(
        name=ids.RouteName(f'route{position}'),
        method=draw(strategies.sampled_from(('GET', 'POST', 'PURGE'))),
        path=f'/{path}',
        idempotent=idempotent,
        priority=draw(strategies.sampled_from(model.Priority)),
        deadline_ms=draw(MILLISECONDS),
        hedged=idempotent and draw(strategies.booleans()),
    )


SERVICES = strategies.builds(
    model.ServiceSettings,
    name=NAMES.filter(lambda name: name != 'v1'),
    targets=strategies.lists(
        strategies.builds(
            model.TargetSettings,
            target_id=NAMES,
            ip=IPS.map(str),
            port=PORTS,
            zone=NAMES,
            slots=COUNTS,
        ),
        min_size=1,
        max_size=4,
        unique_by=(
            lambda target: target.target_id,
            lambda target: (target.ip, target.port),
        ),
    ).map(tuple),
    routes=strategies.integers(1, 4).flatmap(
        lambda count: strategies.tuples(*map(routes, range(count))),
    ),
    shed_reply=strategies.builds(
        model.ShedReply,
        status=strategies.integers(400, 599),
        header_name=HEADERS,
        header_value=strategies.from_regex(
            '[!-~]([ -~]{0,9}[!-~])?', fullmatch=True
        ),
    ),
    draining_header=HEADERS,
    limit_header=HEADERS,
    health_path=strategies.just('/health/live'),
    probe_interval_ms=MILLISECONDS,
    floor_percent=PERCENTS,
    false_ejections_per_target_day=RATES,
    group_daemons_per_zone=COUNTS,
    queue_length=COUNTS,
    connections_per_target=COUNTS,
    connect_timeout_ms=MILLISECONDS,
    retry_budget_percent=PERCENTS,
    hedge_budget_percent=PERCENTS,
    caller_requests_per_s=RATES,
    caller_burst_requests=COUNTS,
    request_body_limit_bytes=COUNTS,
    answer_buffer_limit_bytes=COUNTS,
)
FLEETS = strategies.builds(
    model.FleetSettings,
    name=NAMES,
    zones=strategies.lists(
        ZONES,
        min_size=1,
        max_size=4,
        unique_by=lambda zone: zone.name,
    ).map(tuple),
    caller_header=HEADERS,
    addresses_per_answer=COUNTS,
    addresses_valid_s=strategies.floats(0.001, 20),
    ticket_epoch_s=strategies.floats(20, 1000),
    ticket_valid_epochs=COUNTS,
    record_capacity=COUNTS,
    record_capacity_bytes=strategies.integers(1024, 1_000_000),
    heartbeat_interval_ms=strategies.integers(1, 99),
    monitored_peers=COUNTS,
    suspicion_timeout_ms=strategies.integers(100, 9999),
    wake_gap_ms=MILLISECONDS,
    configuration_watchers_per_zone=COUNTS,
    platform_reads_per_s=RATES,
    shutdown_grace_s=strategies.floats(20, 86400),
)
INSTANCES = strategies.builds(
    model.InstanceSettings,
    daemon_id=NAMES.map(lambda name: name.replace('.', '_')),
    zone=NAMES,
    region=NAMES,
    address_ip=IPS.map(str),
    http_port=strategies.integers(1, 999),
    peer_port=strategies.integers(1000, 65535),
    platform_urls=strategies.lists(
        strategies.builds('http://{}:{}/v'.format, IPS, PORTS),
        min_size=1,
        max_size=3,
    ).map(tuple),
    seeds=strategies.lists(SEEDS, max_size=3).map(tuple),
    advertised_peer_ip=IPS.map(str),
    advertised_peer_port=PORTS,
    log_level=strategies.sampled_from(('TRACE', 'INFO', 'CRITICAL')),
)


@hypothesis.given(settings=SERVICES)
def test_a_service_survives_the_round_trip(settings) -> None:
    text = rendering.render_service(settings)
    source = f'service/{settings.name}'
    assert parsing.parse_service(text, source) == settings


@hypothesis.given(settings=FLEETS)
def test_a_fleet_survives_the_round_trip(settings) -> None:
    text = rendering.render_fleet(settings)
    assert parsing.parse_fleet(text, 'fleet') == settings


@hypothesis.given(settings=INSTANCES)
def test_an_instance_survives_the_round_trip(settings) -> None:
    text = rendering.render_instance(settings)
    assert parsing.parse_instance(text, 'instance') == settings


@pytest.mark.parametrize('name', ['a\n[x]', 'a b', '', 'v1'])
@hypothesis.given(settings=SERVICES)
@hypothesis.settings(max_examples=1)
def test_an_invalid_snapshot_is_not_rendered(settings, name) -> None:
    changed = model.dataclasses.replace(settings, name=name)
    with pytest.raises(errors.InvalidSettingsError):
        rendering.render_service(changed)
