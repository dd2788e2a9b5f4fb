"""What the adapter reads of the store, and what it makes of its failures."""

import pytest
import store_standin as given
from sardinepier.entry import model
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


UNUSABLE = (
    ('op/config', b'not json'),
    ('op/config', given.configuration(version='x')),
    ('op/config', {'hosts': []}),
    (
        'op/config',
        given.configuration(hosts=[{'host': 'a', 'paths': [{'name': 'r'}]}]),
    ),
    ('servers/i-1', b'{}'),
    ('servers/i-1', given.worker(address='nowhere')),
    ('servers/i-1', given.worker(state='odd')),
)


@pytest.mark.parametrize(('key', 'document'), UNUSABLE)
async def test_an_unusable_document_is_said_to_be(
    standin,
    client,
    key,
    document,
):
    standin.put(key, document)
    with pytest.raises(errors.PlatformReplyError):
        await client.read(allow_stale=False)


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
