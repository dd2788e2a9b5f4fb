"""Reading of the store, and errors for its failures and invalid entries."""

import pytest
import store_standin
from sardinepier.entry import credentials, model
from sardinepier.platform import errors
from sardinepier_adapter import store


async def test_an_empty_store_has_no_configuration(client):
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration is None
    assert snapshot.targets == model.TargetList(1, ())


async def test_a_snapshot_has_the_entries_of_all_pages(standin, client):
    standin.put('op/config', store_standin.configuration())
    standin.put('other/key', b'\x00 not for us')
    for number in range(7):
        standin.put(f'servers/i-{number}', store_standin.worker())
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration.version == 7
    names = [target.target_id for target in snapshot.targets.targets]
    assert names == [f'i-{number}' for number in range(7)]
    assert snapshot.targets.revision == standin.revision


async def test_each_field_of_a_configuration_is_decoded(standin, client):
    standin.put('op/config', store_standin.configuration())
    found = (await client.read(allow_stale=False)).configuration
    split, plain = found.routes
    assert split == model.Route(
        name='r-1',
        host='a.example',
        prefix='/books/',
        kind=model.RouteKind.IDEMPOTENT,
        shares=(
            model.ServiceShare('books', 90),
            model.ServiceShare('fines', 10),
        ),
        timeout_s=2,
        target_latency_s=0.5,
        priority=2,
        max_attempts=2,
    )
    assert plain.kind is model.RouteKind.NON_IDEMPOTENT
    assert plain.shares == (model.ServiceShare('books', 1.0),)
    assert found.services == (model.Service('books', '/health', 390),)
    assert found.bounds == model.CallerBounds(16384, 1000, 3, 15)


async def test_each_field_of_a_worker_is_decoded(standin, client):
    standin.put(
        'servers/i-7',
        store_standin.worker(
            address='10.1.2.3:81',
            state='draining',
            warmup_left_s=1.5,
            slots=8,
        ),
    )
    found = (await client.read(allow_stale=False)).targets.targets[0]
    assert found == model.ListedTarget(
        target_id='i-7',
        service='books',
        ip='10.1.2.3',
        port=81,
        zone='z1',
        slots=8,
        state=model.TargetState.DRAINING,
        warm_in_s=1.5,
    )


@pytest.mark.parametrize('allowed', [True, False])
async def test_a_stale_read_is_requested_as_such(standin, client, allowed):
    await client.read(allow_stale=allowed)
    assert ('allow_stale' in standin.queries[0]) is allowed


@pytest.mark.parametrize('fault', ['429', '503', '500', '410', 'reset'])
async def test_without_an_answer_the_platform_is_unavailable(
    standin,
    client,
    fault,
):
    standin.fault = fault
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read(allow_stale=False)
    standin.fault = ''
    assert await client.read(allow_stale=False)


async def test_a_silent_store_times_out(standin, client, monkeypatch):
    monkeypatch.setattr(store, '_REQUEST_TIMEOUT_S', 0.1)
    standin.fault = 'silent'
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read(allow_stale=False)
    standin.fault = ''
    assert await client.read(allow_stale=False)


async def test_a_restarted_target_is_a_new_incarnation(standin, client):
    """What is known of the earlier incarnation does not apply to the new one."""
    found = []
    for born in (1_790_000_000_000, 1_790_000_060_000):
        standin.put('servers/i-7', store_standin.worker(born=born))
        snapshot = await client.read(allow_stale=False)
        found.extend(snapshot.targets.targets)
    assert [target.stable_name for target in found] == ['i-7', 'i-7']
    assert found[0].target_id != found[1].target_id
    assert found[0].born_ms < found[1].born_ms


KINDS = (
    ('idempotent', model.RouteKind.IDEMPOTENT, True),
    ('download', model.RouteKind.DOWNLOAD, True),
    ('upload', model.RouteKind.NON_IDEMPOTENT, False),
    ('non_idempotent', model.RouteKind.NON_IDEMPOTENT, False),
    ('added_later', model.RouteKind.UNKNOWN, False),
)


@pytest.mark.parametrize(('stated', 'kind', 'may_retry'), KINDS)
async def test_the_kind_of_a_route_decides_whether_it_may_be_retried(
    standin,
    client,
    stated,
    kind,
    may_retry,
):
    """A route of an unknown kind runs at most once and affects no other."""
    document = store_standin.configuration()
    document['hosts'][0]['paths'][0]['route_type'] = stated
    document['added_later'] = {'may': 'come'}
    standin.put('op/config', document)
    found = (await client.read(allow_stale=False)).configuration
    first, second = found.routes
    assert (first.kind, first.is_idempotent) == (kind, may_retry)
    assert second.kind is model.RouteKind.NON_IDEMPOTENT
    assert found.unknown_kinds() == (kind is model.RouteKind.UNKNOWN)


UNUSABLE_CONFIGURATIONS = (
    b'not json',
    b'\xff\xfe',
    b'[]',
    store_standin.configuration(version='x'),
    {'hosts': []},
    store_standin.configuration(
        hosts=[{'host': 'a', 'paths': [{'name': 'r'}]}]
    ),
    store_standin.configuration(hosts={}),
    store_standin.configuration(services=7),
)


@pytest.mark.parametrize('document', UNUSABLE_CONFIGURATIONS)
async def test_an_unusable_configuration_affects_no_target(
    standin,
    client,
    document,
):
    standin.put('op/config', document)
    standin.put('servers/i-1', store_standin.worker())
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration is None
    assert [target.target_id for target in snapshot.targets.targets] == ['i-1']
    assert [entry.key for entry in snapshot.unusable] == ['op/config']
    assert [entry.name for entry in snapshot.unusable] == [None]


def _without(field):
    return {
        name: content
        for name, content in store_standin.worker().items()
        if name != field
    }


UNUSABLE_TARGETS = (
    b'',
    b'not json',
    b'\xff\xfe\x00',
    b'null',
    b'[]',
    b'{}',
    *(_without(field) for field in store_standin.worker()),
    store_standin.worker(service=7),
    store_standin.worker(service=None),
    store_standin.worker(address='nowhere'),
    store_standin.worker(address='10.0.0.1'),
    store_standin.worker(address='10.0.0.1:'),
    store_standin.worker(address='10.0.0.1:0'),
    store_standin.worker(address='10.0.0.1:65536'),
    store_standin.worker(address='10.0.0.1:\u0661'),
    store_standin.worker(address='10.0.0.256:80'),
    store_standin.worker(address='a.example:80'),
    store_standin.worker(address=':80'),
    store_standin.worker(address=['10.0.0.1', 80]),
    store_standin.worker(zone=1),
    store_standin.worker(version=1),
    store_standin.worker(slots='3'),
    store_standin.worker(slots=0),
    store_standin.worker(slots=-1),
    store_standin.worker(slots=2.5),
    store_standin.worker(slots=True),
    store_standin.worker(state='odd'),
    store_standin.worker(state=1),
    store_standin.worker(state='READY'),
    store_standin.worker(warmup_left_s='0'),
    store_standin.worker(warmup_left_s=-1),
    store_standin.worker(warmup_left_s=1e300),
    store_standin.worker(sequence='4'),
    store_standin.worker(sequence=1.5),
    store_standin.worker(born='1790000000000'),
    store_standin.worker(born=1.5),
    store_standin.worker(born=-1),
    store_standin.worker(born=None),
)


@pytest.mark.parametrize('document', UNUSABLE_TARGETS)
async def test_an_invalid_target_entry_is_unusable(
    standin,
    client,
    document,
):
    standin.put('op/config', store_standin.configuration())
    standin.put('servers/i-0', store_standin.worker())
    standin.put('servers/i-1', document)
    standin.put('servers/i-2', store_standin.worker())
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration.version == 7
    names = [target.target_id for target in snapshot.targets.targets]
    assert names == ['i-0', 'i-2']
    assert [entry.key for entry in snapshot.unusable] == ['servers/i-1']
    assert [entry.name for entry in snapshot.unusable] == ['i-1']


RAW_VALUES = (None, 7, 'a', '****', 'e30', '\u00e9', ['e30='], {'a': 1})


@pytest.mark.parametrize('raw', RAW_VALUES)
async def test_a_value_that_is_not_base64_affects_no_other(
    standin, client, raw
):
    standin.put('servers/i-0', store_standin.worker())
    standin.put_raw('servers/i-1', raw)
    standin.put('servers/i-2', store_standin.worker())
    snapshot = await client.read(allow_stale=False)
    names = [target.target_id for target in snapshot.targets.targets]
    assert names == ['i-0', 'i-2']
    assert [entry.key for entry in snapshot.unusable] == ['servers/i-1']


async def test_an_answer_that_is_not_json_is_reported(standin, client):
    standin.fault = 'garbage'
    with pytest.raises(errors.PlatformReplyError):
        await client.read(allow_stale=False)


async def test_each_new_version_is_decoded(standin, client):
    for version in (7, 9, 20):
        standin.put('op/config', store_standin.configuration(version))
        for _ in range(2):
            snapshot = await client.read(allow_stale=False)
            assert snapshot.configuration.version == version


async def test_a_restored_store_is_newer_though_its_revisions_decrease(
    standin,
    client,
):
    standin.put('op/config', store_standin.configuration(7))
    standin.save_copy()
    standin.put('servers/i-1', store_standin.worker())
    standin.put('op/config', store_standin.configuration(8))
    before = await client.read(allow_stale=False)
    standin.restore()
    after = await client.read(allow_stale=False)
    assert after.targets.revision > before.targets.revision
    assert after.targets.epoch == before.targets.epoch + 1
    assert after.configuration.version == 7


async def test_changed_bytes_under_a_reused_revision_are_decoded(
    standin,
    client,
):
    standin.save_copy()
    standin.put('op/config', store_standin.configuration(7))
    await client.read(allow_stale=False)
    standin.restore()
    standin.put('op/config', store_standin.configuration(9))
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration.version == 9


async def test_a_restore_between_two_pages_fails_the_read(standin, client):
    for number in range(7):
        standin.put(f'servers/i-{number}', store_standin.worker())
    standin.save_copy()
    queries = standin.queries
    original = client._page

    async def page(after, *, allow_stale):
        if len(queries) == 1:
            standin.restore()
        return await original(after, allow_stale=allow_stale)

    client._page = page
    with pytest.raises(errors.PlatformUnavailableError, match='two pages'):
        await client.read(allow_stale=False)


async def test_customers_are_decoded_without_keeping_their_keys(
    standin, client
):
    tenant = {
        'name': 'library',
        'api_keys': ['secret-1', 'secret-2'],
        'priority': 1,
        'rate_per_s': 72,
        'burst': 36,
    }
    standin.put('op/config', store_standin.configuration(tenants=[tenant]))
    found = (await client.read(allow_stale=False)).configuration
    assert found.customers == (
        model.Customer(
            'library',
            tuple(
                credentials.key_digest(key) for key in ('secret-1', 'secret-2')
            ),
            priority=1,
            rate_per_s=72,
            burst=36,
        ),
    )
    assert 'secret' not in repr(found)


async def test_a_configuration_without_customers_needs_no_keys(standin, client):
    standin.put('op/config', store_standin.configuration())
    assert (
        await client.read(allow_stale=False)
    ).configuration.customers is None


async def test_a_key_of_two_customers_makes_a_configuration_unusable(
    standin,
    client,
):
    tenants = [
        {'name': name, 'api_keys': ['secret-1'], 'rate_per_s': 5, 'burst': 5}
        for name in ('library', 'archive')
    ]
    standin.put('op/config', store_standin.configuration(tenants=tenants))
    snapshot = await client.read(allow_stale=False)
    assert snapshot.configuration is None
    assert len(snapshot.unusable) == 1
    assert 'library and archive have the same key' in snapshot.unusable[0].what
    assert 'secret' not in snapshot.unusable[0].what
