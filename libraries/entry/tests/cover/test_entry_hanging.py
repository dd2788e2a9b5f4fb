"""Targets that hang instead of failing at once.

The pattern: a part of the targets takes requests and answers none of them for
seconds, while its connections and health checks are fine. Repeatable requests get
their answer from a second attempt beside the first.
"""

import asyncio

import entry_support as support


def failing(entry, name):
    pool = entry.shared.services.pool(support.SERVICE)
    record = pool.targets.find(name)
    return record.estimate.failing_probability(entry.shared.clock.monotonic_s())


def know_usual(entry, typical_latency_s):
    """Let the service have answered in ``typical_latency_s`` for a while."""
    entry.shared.services.pool(
        support.SERVICE
    ).typical_latency_s = typical_latency_s


async def ask_with_one_that_hangs(entry):
    hanging = support.RawTarget('t1', ['hang'])
    sound = support.RawTarget('t2')
    await entry.use(hanging, sound)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('t1').estimate.answered(entry.shared.clock.monotonic_s())
    know_usual(entry, 0.05)
    return await entry.ask()


async def test_the_loser_of_two_attempts_is_doubted(entry):
    status, _, _ = await ask_with_one_that_hangs(entry)
    assert status == 200
    assert failing(entry, 't1') > 0.5


async def test_the_next_request_goes_elsewhere_at_once(entry):
    await ask_with_one_that_hangs(entry)
    hanging, sound = entry.targets
    for _ in range(3):
        assert (await entry.ask())[0] == 200
    assert (hanging.ran, sound.ran) == (1, 4)


async def test_a_caller_that_leaves_early_says_nothing_of_the_target(entry):
    target = support.RawTarget('t1', ['hang'])
    await entry.use(target)
    know_usual(entry, 5.0)
    before = failing(entry, 't1')
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request())
    await support.wait_until(lambda: target.ran)
    writer.close()
    await support.wait_until(lambda: target.cut_while_running)
    assert failing(entry, 't1') <= before
