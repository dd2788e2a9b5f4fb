"""The memory for bodies is bounded, and shared out without starvation."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.gateway import body_budget

MAX_BYTES = 100


@pytest.fixture
async def budget():
    return body_budget.BodyBudget(MAX_BYTES)


async def held(budget, size_bytes):
    reservation = budget.reservation(size_bytes)
    await reservation.grow(size_bytes)
    return reservation


async def test_what_does_not_fit_waits_for_a_release(budget):
    first = await held(budget, 60)
    second = asyncio.create_task(held(budget, 60))
    await asyncio.sleep(0)
    assert not second.done()
    first.release()
    await second
    assert budget.held_bytes == 60


async def test_a_small_body_goes_before_a_large_one(budget):
    first = await held(budget, 80)
    large = asyncio.create_task(held(budget, 90))
    await asyncio.sleep(0)
    small = await held(budget, 10)
    waiting = asyncio.create_task(held(budget, 20))
    await asyncio.sleep(0)
    small.release()
    await waiting
    assert not large.done()
    first.release()
    (await waiting).release()
    await large


async def test_a_body_larger_than_the_budget_gets_room_alone(budget):
    first = await held(budget, 1)
    huge = asyncio.create_task(held(budget, 10 * MAX_BYTES))
    await asyncio.sleep(0)
    assert not huge.done()
    first.release()
    (await huge).release()
    assert budget.held_bytes == 0


async def test_a_wait_that_is_cancelled_takes_nothing(budget):
    first = await held(budget, 80)
    waiting = asyncio.create_task(held(budget, 50))
    await asyncio.sleep(0)
    first.release()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert budget.held_bytes == 0
    await held(budget, MAX_BYTES)


async def test_too_many_waiting_bodies_the_longest_gives_way(budget):
    # Guards against any number of connections that read ahead while their
    # bodies wait.
    await held(budget, MAX_BYTES)
    waiting = [budget.reservation(MAX_BYTES + number) for number in range(100)]
    claims = [asyncio.create_task(claim.grow(1)) for claim in waiting]
    await asyncio.sleep(0)
    refused = [number for number, claim in enumerate(claims) if claim.done()]
    assert refused == list(range(100 - len(refused), 100))
    assert len(claims) - len(refused) == body_budget._MIN_WAITING
    assert not any([await claims[number] for number in refused])
    small = asyncio.create_task(budget.reservation(1).grow(1))
    await asyncio.sleep(0)
    assert not small.done()
    assert not await claims[refused[0] - 1]


async def test_stated_lengths_keep_nobody_waiting(budget):
    # Guards against callers who state long bodies and send them slowly.
    for _ in range(5):
        await budget.reservation(90).grow(1)
    await held(budget, 80)
    assert budget.held_bytes == 85


async def test_a_body_of_unknown_length_holds_what_arrived(budget):
    reservation = budget.reservation()
    await reservation.grow(50)
    reservation.settle(30)
    await held(budget, 70)
    assert budget.held_bytes == MAX_BYTES


async def test_half_read_bodies_do_not_wait_for_each_other(budget):
    # Guards against bodies that fill the memory and none of which can end.
    first, second = budget.reservation(90), budget.reservation(90)
    await first.grow(40)
    assert not second.try_grow(60)
    assert second.try_grow(10)
    waiting = asyncio.create_task(second.grow(40))
    await first.grow(50)
    assert not waiting.done()
    first.release()
    await waiting


async def upload(budget, length_bytes, is_stated, part_bytes):
    reservation = budget.reservation(length_bytes if is_stated else None)
    left_bytes = length_bytes
    while left_bytes:
        await reservation.grow(min(part_bytes, left_bytes))
        left_bytes -= min(part_bytes, left_bytes)
        assert budget.held_bytes <= max(MAX_BYTES, reservation.held_bytes)
        await asyncio.sleep(0)
    reservation.settle(length_bytes)
    await asyncio.sleep(0)
    reservation.release()


@given(
    st.lists(
        st.tuples(st.integers(1, 150), st.integers(1, 30)),
        max_size=20,
    ),
)
async def test_all_bodies_of_stated_length_are_read(bodies):
    budget = body_budget.BodyBudget(MAX_BYTES)
    async with asyncio.timeout(10):
        await asyncio.gather(
            *(
                upload(budget, length_bytes, True, part_bytes)
                for length_bytes, part_bytes in bodies
            )
        )
    assert budget.held_bytes == 0


@given(
    st.lists(
        st.tuples(st.integers(1, 150), st.booleans(), st.integers(1, 30)),
        max_size=20,
    ),
)
async def test_no_body_of_unknown_length_exceeds_the_budget(bodies):
    budget = body_budget.BodyBudget(MAX_BYTES)
    uploads = [asyncio.create_task(upload(budget, *body)) for body in bodies]
    for _ in range(200):
        await asyncio.sleep(0)
    for task in uploads:
        task.cancel()
    for outcome in await asyncio.gather(*uploads, return_exceptions=True):
        assert not isinstance(outcome, Exception)


@given(st.lists(st.tuples(st.integers(1, 150), st.booleans()), max_size=40))
async def test_the_budget_is_kept_and_all_get_room(steps):
    budget = body_budget.BodyBudget(MAX_BYTES)
    tasks = []
    for size_bytes, releases_one in steps:
        tasks.append(asyncio.create_task(held(budget, size_bytes)))
        await asyncio.sleep(0)
        granted = [task.result() for task in tasks if task.done()]
        holders = [each for each in granted if each.held_bytes]
        assert budget.held_bytes == sum(each.held_bytes for each in holders)
        assert budget.held_bytes <= MAX_BYTES or len(holders) == 1
        if releases_one and holders:
            holders[0].release()
            await asyncio.sleep(0)
    for _ in tasks:
        await asyncio.sleep(0)
        for task in tasks:
            if task.done():
                task.result().release()
    assert all(task.done() for task in tasks)
    assert budget.held_bytes == 0
