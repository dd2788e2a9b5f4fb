"""What the adapter reads of the store, and what it makes of its failures."""

import pytest
import store_standin as given
from sardinepier.entry import credentials, model
from sardinepier.platform import errors
from sardinepier_adapter import store


async def test_an_empty_store_has_no_configuration(client):
    reading = await client.read(allow_stale=False)
    assert reading.configuration is None
    assert reading.targets == model.TargetList(1, ())


async def test_a_reading_has_everything_over_all_pages(standin, client):
    standin.put('op/config', given.configuration())
    standin.put('other/key', b'\x00 not for us')
    for number in range(7):
        standin.put(f'servers/i-{number}', given.worker())
    reading = await client.read(allow_stale=False)
    assert reading.configuration.version == 7
    names = [one.target_id for one in reading.targets.targets]
    assert names == [f'i-{number}' for number in range(7)]
    assert reading.targets.revision == standin.revision


async def test_each_field_of_a_configuration_has_its_meaning(standin, client):
    standin.put('op/config', given.configuration())
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


async def test_each_field_of_a_worker_has_its_meaning(standin, client):
    standin.put(
        'servers/i-7',
        given.worker(
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
async def test_a_stale_reading_is_asked_for_as_such(standin, client, allowed):
    await client.read(allow_stale=allowed)
    assert ('allow_stale' in standin.asked[0]) is allowed


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


async def test_a_silent_store_is_given_up(standin, client, monkeypatch):
    monkeypatch.setattr(store, '_READ_S', 0.1)
    standin.fault = 'silent'
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read(allow_stale=False)
    standin.fault = ''
    assert await client.read(allow_stale=False)


async def test_a_target_that_started_again_is_another_start(standin, client):
    """Its name stays; what was known of the start before is not its own."""
    found = []
    for born in (1_790_000_000_000, 1_790_000_060_000):
        standin.put('servers/i-7', given.worker(born=born))
        reading = await client.read(allow_stale=False)
        found.extend(reading.targets.targets)
    assert [one.stable_name for one in found] == ['i-7', 'i-7']
    assert found[0].target_id != found[1].target_id
    assert found[0].born_ms < found[1].born_ms


KINDS = (
    ('idempotent', model.RouteKind.IDEMPOTENT, True),
    ('download', model.RouteKind.DOWNLOAD, True),
    ('non_idempotent', model.RouteKind.NON_IDEMPOTENT, False),
    ('of_a_later_day', model.RouteKind.UNKNOWN, False),
)


@pytest.mark.parametrize(('stated', 'kind', 'repeats'), KINDS)
async def test_a_kind_tells_what_may_be_repeated(
    standin,
    client,
    stated,
    kind,
    repeats,
):
    """One that is not known costs no other route, and runs at most once."""
    document = given.configuration()
    document['hosts'][0]['paths'][0]['route_type'] = stated
    document['of_a_later_day'] = {'may': 'come'}
    standin.put('op/config', document)
    found = (await client.read(allow_stale=False)).configuration
    first, second = found.routes
    assert (first.kind, first.is_idempotent) == (kind, repeats)
    assert second.kind is model.RouteKind.NON_IDEMPOTENT
    assert found.unknown_kinds() == (kind is model.RouteKind.UNKNOWN)


UNUSABLE_CONFIGURATIONS = (
    b'not json',
    b'\xff\xfe',
    b'[]',
    given.configuration(version='x'),
    {'hosts': []},
    given.configuration(hosts=[{'host': 'a', 'paths': [{'name': 'r'}]}]),
    given.configuration(hosts={}),
    given.configuration(services=7),
)


@pytest.mark.parametrize('document', UNUSABLE_CONFIGURATIONS)
async def test_an_unusable_configuration_costs_no_target(
    standin,
    client,
    document,
):
    standin.put('op/config', document)
    standin.put('servers/i-1', given.worker())
    reading = await client.read(allow_stale=False)
    assert reading.configuration is None
    assert [one.target_id for one in reading.targets.targets] == ['i-1']
    assert [one.key for one in reading.unusable] == ['op/config']
    assert [one.name for one in reading.unusable] == [None]


def _without(field):
    return {
        name: held for name, held in given.worker().items() if name != field
    }


UNUSABLE_TARGETS = (
    b'',
    b'not json',
    b'\xff\xfe\x00',
    b'null',
    b'[]',
    b'{}',
    *(_without(field) for field in given.worker()),
    given.worker(service=7),
    given.worker(service=None),
    given.worker(address='nowhere'),
    given.worker(address='10.0.0.1'),
    given.worker(address='10.0.0.1:'),
    given.worker(address='10.0.0.1:0'),
    given.worker(address='10.0.0.1:65536'),
    given.worker(address='10.0.0.1:\u0661'),
    given.worker(address='10.0.0.256:80'),
    given.worker(address='a.example:80'),
    given.worker(address=':80'),
    given.worker(address=['10.0.0.1', 80]),
    given.worker(zone=1),
    given.worker(version=1),
    given.worker(slots='3'),
    given.worker(slots=0),
    given.worker(slots=-1),
    given.worker(slots=2.5),
    given.worker(slots=True),
    given.worker(state='odd'),
    given.worker(state=1),
    given.worker(state='READY'),
    given.worker(warmup_left_s='0'),
    given.worker(warmup_left_s=-1),
    given.worker(warmup_left_s=1e300),
    given.worker(sequence='4'),
    given.worker(sequence=1.5),
    given.worker(born='1790000000000'),
    given.worker(born=1.5),
    given.worker(born=-1),
    given.worker(born=None),
)


@pytest.mark.parametrize('document', UNUSABLE_TARGETS)
async def test_an_entry_that_no_target_wrote_names_none(
    standin,
    client,
    document,
):
    standin.put('op/config', given.configuration())
    standin.put('servers/i-0', given.worker())
    standin.put('servers/i-1', document)
    standin.put('servers/i-2', given.worker())
    reading = await client.read(allow_stale=False)
    assert reading.configuration.version == 7
    names = [one.target_id for one in reading.targets.targets]
    assert names == ['i-0', 'i-2']
    assert [one.key for one in reading.unusable] == ['servers/i-1']
    assert [one.name for one in reading.unusable] == ['i-1']


RAW_VALUES = (None, 7, 'a', '****', 'e30', '\u00e9', ['e30='], {'a': 1})


@pytest.mark.parametrize('raw', RAW_VALUES)
async def test_a_value_that_is_no_base64_costs_no_other(standin, client, raw):
    standin.put('servers/i-0', given.worker())
    standin.put_raw('servers/i-1', raw)
    standin.put('servers/i-2', given.worker())
    reading = await client.read(allow_stale=False)
    names = [one.target_id for one in reading.targets.targets]
    assert names == ['i-0', 'i-2']
    assert [one.key for one in reading.unusable] == ['servers/i-1']


async def test_an_answer_that_is_no_json_is_said_to_be(standin, client):
    standin.fault = 'garbage'
    with pytest.raises(errors.PlatformReplyError):
        await client.read(allow_stale=False)


async def test_a_new_version_is_decoded_anew(standin, client):
    for version in (7, 9, 20):
        standin.put('op/config', given.configuration(version))
        for _ in range(2):
            reading = await client.read(allow_stale=False)
            assert reading.configuration.version == version


async def test_a_restored_store_is_newer_though_its_revisions_go_back(
    standin,
    client,
):
    standin.put('op/config', given.configuration(7))
    standin.copy()
    standin.put('servers/i-1', given.worker())
    standin.put('op/config', given.configuration(8))
    before = await client.read(allow_stale=False)
    standin.restore()
    after = await client.read(allow_stale=False)
    assert after.targets.revision > before.targets.revision
    assert after.targets.epoch == before.targets.epoch + 1
    assert after.configuration.version == 7


async def test_other_bytes_under_a_revision_given_out_again_are_read(
    standin,
    client,
):
    standin.copy()
    standin.put('op/config', given.configuration(7))
    await client.read(allow_stale=False)
    standin.restore()
    standin.put('op/config', given.configuration(9))
    reading = await client.read(allow_stale=False)
    assert reading.configuration.version == 9


async def test_a_restore_between_two_pages_is_no_reading(standin, client):
    for number in range(7):
        standin.put(f'servers/i-{number}', given.worker())
    standin.copy()
    asked = standin.asked
    original = client._page

    async def page(after, *, allow_stale):
        if len(asked) == 1:
            standin.restore()
        return await original(after, allow_stale=allow_stale)

    client._page = page
    with pytest.raises(errors.PlatformUnavailableError, match='two pages'):
        await client.read(allow_stale=False)


async def test_customers_are_read_and_their_keys_are_not_kept(standin, client):
    tenant = {
        'name': 'library',
        'api_keys': ['secret-1', 'secret-2'],
        'priority': 1,
        'rate_per_s': 72,
        'burst': 36,
    }
    standin.put('op/config', given.configuration(tenants=[tenant]))
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
    standin.put('op/config', given.configuration())
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
    standin.put('op/config', given.configuration(tenants=tenants))
    reading = await client.read(allow_stale=False)
    assert reading.configuration is None
    assert len(reading.unusable) == 1
    assert 'library and archive have the same key' in reading.unusable[0].what
    assert 'secret' not in reading.unusable[0].what
