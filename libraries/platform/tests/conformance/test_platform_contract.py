"""The contract of the platform interface, run against every client."""

import asyncio

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from sardinepier.core import clock, ids
from sardinepier.platform import errors, http_platform, interface, shares
from sardinepier.standins import platform_memory, platform_standin

_FLEET = ids.FileName('fleet')
_NAMES = ('fleet', 'service/deposits', 'service/a b%c')
_FAULTS = {
    'down': errors.PlatformUnavailableError,
    'hanging': errors.PlatformUnavailableError,
    'failing': errors.PlatformUnavailableError,
    'garbage': errors.PlatformReplyError,
    'wrong_types': errors.PlatformReplyError,
    'truncated': errors.PlatformReplyError,
    'oversized': errors.PlatformReplyError,
}
_SHORT_TIMEOUT_S = 0.2
"""Lets the tests of a platform that hangs end soon."""

_DEFAULT_TIMEOUT_S = http_platform.HttpPlatformOptions().call_timeout_s


class _Memory:
    def __init__(self, call_timeout_s=_SHORT_TIMEOUT_S):
        self.standin = platform_standin.PlatformStandin()
        self.client = platform_memory.in_process(self.standin, call_timeout_s)
        self.call_timeout_s = call_timeout_s

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        """Nothing needs closing."""


class _Http(_Memory):
    async def __aenter__(self):
        self.client = http_platform.HttpPlatform(
            (await self.standin.start(),),
            clock.SystemClock(),
            1000,
            options=http_platform.HttpPlatformOptions(
                call_timeout_s=self.call_timeout_s,
            ),
        )
        return self

    async def __aexit__(self, *_):
        await self.client.close()
        await self.standin.stop()


_ALL = pytest.mark.parametrize('kind', [_Memory, _Http])


@_ALL
@hypothesis.settings(max_examples=20)
@hypothesis.given(
    changes=st.lists(
        st.tuples(st.sampled_from(_NAMES), st.none() | st.text(max_size=9)),
        max_size=6,
    ),
)
def test_clients_show_each_file_as_last_published(kind, changes):
    async def check():
        async with kind() as platform:
            published = {}
            for name, text in changes:
                standin = platform.standin
                revision = (
                    standin.delete(name)
                    if text is None
                    else standin.publish(name, text)
                )
                published[name] = (revision, text)
            listing = await platform.client.list_files()
            assert listing.revision == len(changes)
            assert {
                (entry.name, entry.revision, entry.deleted)
                for entry in listing.files
            } == {
                (name, revision, text is None)
                for name, (revision, text) in published.items()
            }
            for name, expected in published.items():
                assert await _read(platform.client, name, expected) == expected

    asyncio.run(check())


async def _read(client, name, expected):
    if expected[1] is None:
        with pytest.raises(errors.PlatformFileMissingError):
            await client.read_file(name)
        return expected
    published = await client.read_file(name)
    return (published.revision, published.text)


@_ALL
async def test_watch_returns_on_a_change_or_at_its_timeout(kind):
    async with kind() as platform:
        unchanged = await platform.client.watch_files(0, 0.01)
        assert unchanged.revision == 0
        waiting = asyncio.create_task(platform.client.watch_files(0, 30))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        platform.standin.publish(_FLEET, 'text')
        assert (await waiting).revision == 1
        assert platform.standin.counts.watches == 2


@_ALL
async def test_an_instance_list_of_thousands_of_targets_is_read(kind):
    """Guards against size limits that a large list exceeds.

    Reading it takes a busy machine longer than the short timeout.
    """
    async with kind(_DEFAULT_TIMEOUT_S) as platform:
        targets = tuple(
            interface.ListedTarget(
                ids.ServiceName(f'service-{number % 340}'),
                ids.TargetId(f'worker-{number}'),
                ids.TargetIncarnation(f'{number * 7919:016x}'),
                interface.ListedState.LIVE,
            )
            for number in range(16_000)
        )
        platform.standin.set_instances(interface.InstanceList(targets))
        listed = await platform.client.list_instances()
        assert listed.targets == targets


def _target(service, incarnation='1'):
    return interface.ListedTarget(
        ids.ServiceName(service),
        ids.TargetId('w1'),
        ids.TargetIncarnation(incarnation),
        interface.ListedState.LIVE,
    )


@_ALL
@hypothesis.settings(max_examples=20)
@hypothesis.given(
    services=st.sets(st.text(max_size=9), min_size=1, max_size=12),
    parts=st.integers(min_value=1, max_value=8),
)
def test_each_target_is_in_one_part_and_changes_only_that_part(
    kind, services, parts
):
    async def read_all(client):
        requested = [
            shares.share_of(parts, (number,)) for number in range(parts)
        ]
        return [await client.list_instances(share) for share in requested]

    async def check():
        async with kind() as platform:
            daemon = interface.ListedDaemon(ids.DaemonId('d'), '10.0.0.1', 1)
            targets = tuple(map(_target, sorted(services)))
            publish = platform.standin.set_instances
            publish(interface.InstanceList(targets, (daemon,)))
            before = await read_all(platform.client)
            listed = [target for part in before for target in part.targets]
            assert sorted(listed, key=targets.index) == list(targets)
            assert not any(part.daemons for part in before)
            daemons = await platform.client.list_instances(shares.DAEMONS)
            assert (daemons.targets, daemons.daemons) == ((), (daemon,))
            changed = _target(targets[0].service, '2')
            publish(interface.InstanceList((changed, *targets[1:]), (daemon,)))
            after = await read_all(platform.client)
            number = shares.part_of(changed.service, parts)
            for unchanged in set(range(parts)) - {number}:
                assert before[unchanged] == after[unchanged]
            assert changed in after[number].targets
            whole = await platform.client.list_instances()
            assert len(whole.targets) == len(services)

    asyncio.run(check())


@_ALL
@pytest.mark.parametrize(
    'share',
    [shares.WHOLE, shares.share_of(18, (12, 3), has_daemons=True)],
)
async def test_a_share_is_the_same_object_until_it_changes(kind, share):
    async with kind() as platform:

        async def publish(*targets):
            listed = interface.InstanceList(targets, (daemon,))
            platform.standin.set_instances(listed)
            return await platform.client.list_instances(share)

        first = await platform.client.list_instances(share)
        assert first is await platform.client.list_instances(share)
        daemon = interface.ListedDaemon(ids.DaemonId('d1'), '10.0.0.1', 7000)
        targets = [_target(f's{number}') for number in range(40)]
        listed = await publish(*targets)
        assert listed is await platform.client.list_instances(share)
        assert platform.standin.counts.instances == 4
        covered = [target for target in targets if share.covers(target.service)]
        assert (listed.targets, listed.daemons) == (tuple(covered), (daemon,))
        assert (listed.share, share.chosen) in {
            (shares.WHOLE, (0,)),
            (share, (3, 12)),
        }
        # The tag is that of the share: changes outside it do not matter.
        not_covered = [target for target in targets if target not in covered]
        assert listed is await publish(*covered, *not_covered[1:])
        leaving = msgspec.structs.replace(
            covered[0], state=interface.ListedState.LEAVING
        )
        changed = await publish(leaving, *covered[1:])
        assert changed.targets == (leaving, *covered[1:])


@_ALL
async def test_a_stale_platform_serves_an_earlier_state(kind):
    async with kind() as platform:
        platform.standin.publish(_FLEET, 'old')
        platform.standin.publish(_FLEET, 'new')
        platform.standin.set_mode(platform_standin.PlatformMode.STALE)
        platform.standin.publish(_FLEET, 'newer')
        assert (await platform.client.read_file(_FLEET)).text == 'old'
        assert (await platform.client.watch_files(3, 0.01)).revision == 1


@_ALL
async def test_a_garbled_platform_serves_wrong_texts_with_right_revisions(kind):
    async with kind() as platform:
        platform.standin.publish(_FLEET, 'text')
        platform.standin.set_mode(platform_standin.PlatformMode.GARBLED)
        garbled = await platform.client.read_file(_FLEET)
        assert (garbled.revision, garbled.text) == (1, '<rubbish>')


@_ALL
@pytest.mark.parametrize('mode', sorted(_FAULTS))
async def test_each_fault_raises_a_typed_error_until_it_ends(kind, mode):
    async with kind() as platform:
        platform.standin.publish(_FLEET, 'text')
        platform.standin.set_mode(platform_standin.PlatformMode(mode))
        calls = (
            platform.client.list_files,
            lambda: platform.client.watch_files(0, 0.05),
            lambda: platform.client.read_file(_FLEET),
            platform.client.list_instances,
        )
        for call in calls:
            with pytest.raises(_FAULTS[mode]):
                await call()
        platform.standin.set_mode(platform_standin.PlatformMode.UP)
        for call in calls:
            await call()


@_ALL
async def test_a_fault_ends_a_waiting_watch(kind):
    async with kind() as platform:
        waiting = asyncio.create_task(platform.client.watch_files(0, 30))
        await asyncio.sleep(0.05)
        platform.standin.set_mode(platform_standin.PlatformMode.DOWN)
        with pytest.raises(errors.PlatformUnavailableError):
            await waiting
