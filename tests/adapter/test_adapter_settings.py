"""Reading of the platform's settings file, and errors of invalid files."""

import pytest
from sardinepier.membership import capacity
from sardinepier.routing import fleet_limits
from sardinepier.wire import messages
from sardinepier_adapter import errors, settings_file

TEXT = """\
node_name=edge-a-1
role=entry
machine_class=edge
ip=10.1.0.18
zone=a
region=r
zones.a=r
zones.b=r
zones.c=r
listen.front=10.1.0.18:8381
listen.ready=10.1.0.18:8388
listen.control=10.1.0.18:8382
listen.directory=10.1.0.18:8383
port_range=7200,7215
seeds=10.1.0.18:8382,10.2.0.34:8382
bounds=drain_s=2,grace_s=5,retry_budget_ratio=0.3,retry_budget_burst=64,ttl_max_s=4,min_share=0.6
provider.address=10.200.1.7:8384
a.field.nobody.knows=x=y
"""

LIMITS = {
    'cpu_share': 0.86,
    'cores': 1.0,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
    'disk_mb': 10,
}
USED_LIMITS = {**dict.fromkeys(LIMITS, True), 'disk_mb': False}
"""Whether each limit is used; a daemon writes no files."""


def read(tmp_path, text):
    path = tmp_path / 'node.conf'
    path.write_text(text)
    return settings_file.read(str(path))


def test_each_field_is_read(tmp_path):
    fields = read(tmp_path, TEXT)
    found = settings_file.entry_settings_of(fields)
    assert found.daemon_id == 'edge-a-1'
    assert (found.zone, found.region) == ('a', 'r')
    assert found.front == messages.PeerAddress('10.1.0.18', 8381)
    assert found.peer == messages.PeerAddress('10.1.0.18', 8382)
    assert found.metrics == messages.PeerAddress('10.1.0.18', 9464)
    assert found.directory == messages.PeerAddress('10.1.0.18', 8383)
    assert found.ready == messages.PeerAddress('10.1.0.18', 8388)
    assert found.relay == messages.PeerAddress('10.1.0.18', 7200)
    assert found.seeds[1] == messages.PeerAddress('10.2.0.34', 8382)
    assert settings_file.store_address(fields) == '10.200.1.7:8384'


def test_each_bound_is_read(tmp_path):
    found = settings_file.entry_settings_of(read(tmp_path, TEXT))
    assert found.bounds.grace_s == 5
    assert found.bounds.directory_s == 4
    assert found.bounds.retry_ratio == 0.3
    assert found.bounds.retry_burst == 64
    assert found.bounds.zones == 3
    assert found.bounds.min_used_share == 0.6


def test_optional_fields_may_be_absent(tmp_path):
    text = '\n'.join(
        line
        for line in TEXT.splitlines()
        if not line.startswith(('seeds', 'bounds', 'listen.dir', 'listen.re'))
    )
    found = settings_file.entry_settings_of(read(tmp_path, text))
    assert found.directory is None
    assert found.ready is None
    assert found.seeds == ()
    assert found.bounds.retry_burst == 0
    assert found.bounds.min_used_share == 0.7


@pytest.mark.parametrize(
    'name',
    ['node_name', 'zone', 'listen.front', 'listen.control'],
)
def test_a_missing_field_is_reported(tmp_path, name):
    text = TEXT.replace(f'\n{name}=', '\nx=').removeprefix(f'{name}=')
    with pytest.raises(errors.SettingsFileError, match=name):
        settings_file.entry_settings_of(read(tmp_path, text))


@pytest.mark.parametrize(
    ('before', 'after', 'named'),
    [
        ('listen.front=10.1.0.18:8381', 'listen.front=here', 'listen.front'),
        ('grace_s=5', 'grace_s=long', 'grace_s'),
        ('seeds=10.1.0.18:8382', 'seeds=10.1.0.18', 'seeds'),
    ],
)
def test_an_invalid_field_is_reported(tmp_path, before, after, named):
    with pytest.raises(errors.SettingsFileError, match=named):
        settings_file.entry_settings_of(
            read(tmp_path, TEXT.replace(before, after)),
        )


def test_a_missing_file_is_reported():
    with pytest.raises(errors.SettingsFileError, match='SARDINEPIER_BOOT'):
        settings_file.read('/nowhere/node.conf')


def test_a_file_that_is_not_text_is_reported(tmp_path):
    # Guards against a change of the file that ends the task which applies it.
    path = tmp_path / 'node.conf'
    path.write_bytes(b'node_name=\xff\xfe')
    with pytest.raises(errors.SettingsFileError, match='SARDINEPIER_BOOT'):
        settings_file.read(str(path))


@pytest.mark.parametrize('port', ['\u00b2', '9' * 5000, '-1', ''])
def test_a_port_that_is_no_number_is_reported(tmp_path, port):
    text = TEXT.replace(
        'listen.front=10.1.0.18:8381', f'listen.front=1.2.3.4:{port}'
    )
    with pytest.raises(errors.SettingsFileError, match='listen.front'):
        settings_file.entry_settings_of(read(tmp_path, text))


def test_limits_set_the_capacity(tmp_path):
    limits = 'limits.cpu_share=0.717\nlimits.cores=3\nlimits.link_mbps=5.5\n'
    fields = read(tmp_path, TEXT + limits)
    found = settings_file.entry_settings_of(fields)
    assert found.capacity == capacity.Capacity(2151, 5500)


def test_without_limits_the_capacity_is_the_default(tmp_path):
    found = settings_file.entry_settings_of(read(tmp_path, TEXT))
    assert found.capacity == capacity.DEFAULT


@pytest.mark.parametrize('stated', ['0', '-3', '1e-9'])
def test_the_smallest_capacity_is_one(tmp_path, stated):
    fields = read(tmp_path, f'{TEXT}limits.link_mbps={stated}\n')
    found = settings_file.entry_settings_of(fields)
    assert found.capacity.link_kbit_per_s == 1


@pytest.mark.parametrize('stated', ['fast', 'nan', 'inf'])
def test_a_limit_that_is_not_a_number_is_rejected(tmp_path, stated):
    fields = read(tmp_path, f'{TEXT}limits.link_mbps={stated}\n')
    with pytest.raises(errors.SettingsFileError):
        settings_file.entry_settings_of(fields)


CUSTOMER_BOUNDS = (
    'revoke_strict=true,revoke_s=5,quota_window_s=4,quota_overshoot=0.5,'
    'quota_slack=10,config_apply_s=2.5'
)


def bounds_of(tmp_path, stated):
    text = TEXT.replace('bounds=', f'bounds={stated},')
    return settings_file.entry_settings_of(read(tmp_path, text)).bounds


def test_bounds_on_customers_are_read(tmp_path):
    found = bounds_of(tmp_path, CUSTOMER_BOUNDS)
    assert found.revocation_s == 5
    assert found.leeway == fleet_limits.Leeway(4, 0.5, 10, 6.5)


@pytest.mark.parametrize('stated', ['revoke_strict=false,revoke_s=5', 'x=1'])
def test_without_a_strict_bound_there_is_no_revocation_time(tmp_path, stated):
    assert bounds_of(tmp_path, stated).revocation_s is None


def read_limits(tmp_path, changed, stated):
    limits = {**LIMITS, changed: stated}
    lines = [f'limits.{name}={limit}\n' for name, limit in limits.items()]
    fields = read(tmp_path, TEXT + ''.join(lines))
    return settings_file.entry_settings_of(fields)


@pytest.mark.parametrize(('name', 'is_used'), USED_LIMITS.items())
def test_each_limit_takes_effect(tmp_path, name, is_used):
    # Guards against a limit that the platform states and nothing keeps.
    usual = read_limits(tmp_path, name, LIMITS[name])
    halved = read_limits(tmp_path, name, LIMITS[name] / 2)
    assert (halved != usual) is is_used
