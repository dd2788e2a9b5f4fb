"""Outcomes agree with the targets' run counters under random faults."""

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
def run_in_harness(request):
    """Return a function that runs a scenario in its own loop and harness."""
    make_harness = request.getfixturevalue('make_harness')

    def run(scenario):
        async def run_scenario():
            async with make_harness() as harness:
                await scenario(harness)

        asyncio.run(run_scenario())

    return run


@hypothesis.settings(
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(steps=STEPS, seed=st.integers(0, 9))
def test_run_counters_agree_with_the_outcomes(run_in_harness, steps, seed):
    async def scenario(harness):
        targets = await harness.add_targets('ok', 'ok', 'ok')
        for target in targets:
            target.is_echoing = True
        await harness.add_gateway()
        await harness.add_gateway()
        outcomes_by_key = collections.defaultdict(list)
        for number, step in enumerate(steps):
            await _send(
                harness, number, step, outcomes_by_key, random.Random(seed)
            )
        runs = harness.runs()
        for key, outcomes in outcomes_by_key.items():
            assert runs[key] <= 1
            if outcomes[-1] == 'not-run':
                assert runs[key] == 0
            if 'completed' in outcomes:
                assert runs[key] == 1
                after = outcomes[outcomes.index('completed') :]
                assert 'not-run' not in after
            if 'unknown' in outcomes:
                assert 'not-run' not in outcomes[outcomes.index('unknown') :]

    run_in_harness(scenario)


async def _send(harness, number, step, outcomes_by_key, source):
    target_index, behaviour, method, *sending = step
    first_daemon, sends, is_together = sending
    harness.targets[target_index].behaviour = behaviour
    key = f'{await harness.ticket()}.{number}'
    path = {'POST': '/books/postings', 'GET': f'/books/books/{number}'}.get(
        method,
        f'/books/postings/{number}',
    )
    headers = {
        'X-Id': str(number),
        'Sardinepier-Deadline-Ms': '120',
        **({} if method == 'GET' else {'Idempotency-Key': key}),
    }

    async def send_to(daemon):
        answer, content = await harness.send(
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

    daemons = [(first_daemon + source.randrange(2)) % 2 for _ in range(sends)]
    if is_together:
        outcomes = await asyncio.gather(*map(send_to, daemons))
        # Concurrent sends have no defined order.
        outcomes = sorted(outcomes, key='not-run completed unknown'.index)
    else:
        outcomes = [await send_to(daemon) for daemon in daemons]
    if method != 'GET':
        outcomes_by_key[key].extend(outcomes)
