"""Whatever targets do in whatever order, the counters bear out the answers."""

import asyncio
import collections
import random

import hypothesis
import pytest
from hypothesis import strategies as st

BEHAVIOURS = (
    'ok',
    'ok',
    'chunked',
    'failing',
    'shed',
    'drop before reading',
    'drop while reading',
    'drop after running',
    'truncated',
    'chunked and cut',
    'closed after the answer',
    'not HTTP',
    'hang',
)
STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(BEHAVIOURS),
        st.sampled_from(['POST', 'PUT', 'DELETE', 'GET']),
        st.integers(0, 1),
        st.integers(1, 3),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


@pytest.fixture
def play(request):
    """Run one story in a loop and a world of its own."""
    make_world = request.getfixturevalue('make_world')

    def run(story):
        async def tell():
            async with make_world() as world:
                await story(world)

        asyncio.run(tell())

    return run


@hypothesis.settings(
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(steps=STEPS, seed=st.integers(0, 9))
def test_counters_bear_out_the_answers(play, steps, seed):
    async def story(world):
        targets = await world.add_targets('ok', 'ok', 'ok')
        for target in targets:
            target.is_echoing = True
        await world.add_gateway()
        await world.add_gateway()
        told = collections.defaultdict(list)
        for number, step in enumerate(steps):
            await _send(world, number, step, told, random.Random(seed))
        runs = world.runs()
        for key, outcomes in told.items():
            assert runs[key] <= 1
            if outcomes[-1] == 'not-run':
                assert runs[key] == 0
            if 'completed' in outcomes:
                assert runs[key] == 1
                after = outcomes[outcomes.index('completed') :]
                assert 'not-run' not in after
            if 'unknown' in outcomes:
                assert 'not-run' not in outcomes[outcomes.index('unknown') :]

    play(story)


async def _send(world, number, step, told, source):
    which, behaviour, method, *sending = step
    at, sends, is_together = sending
    world.targets[which].behaviour = behaviour
    key = f'{await world.ticket()}.{number}'
    path = {'POST': '/books/postings', 'GET': f'/books/books/{number}'}.get(
        method,
        f'/books/postings/{number}',
    )
    headers = {
        'X-Id': str(number),
        'Sardinepier-Deadline-Ms': '120',
        **({} if method == 'GET' else {'Idempotency-Key': key}),
    }

    async def once(daemon):
        answer, content = await world.send(
            method,
            path,
            at=daemon,
            headers=headers,
        )
        outcome = answer.headers['Sardinepier-Outcome']
        if answer.status < 500 and outcome == 'completed':
            expected = f'{method} {path[6:]} HTTP/1.1 {number}'
            assert content.decode() == expected
        return outcome

    daemons = [(at + source.randrange(2)) % 2 for _ in range(sends)]
    if is_together:
        outcomes = await asyncio.gather(*map(once, daemons))
        # The order among sends at the same time says nothing.
        outcomes = sorted(outcomes, key='not-run completed unknown'.index)
    else:
        outcomes = [await once(daemon) for daemon in daemons]
    if method != 'GET':
        told[key].extend(outcomes)
