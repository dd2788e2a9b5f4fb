"""The tasks of a daemon, and what the failure of one means."""

import asyncio

import pytest
from sardinepier.daemon.internal import task_set


@pytest.fixture
def failures():
    return []


@pytest.fixture
async def tasks(failures, monkeypatch):
    monkeypatch.setattr(task_set, '_RESTART_PAUSE_S', 0)
    started = task_set.TaskSet(failures.append)
    yield started
    await started.cancel()


class Part:
    """A part of a daemon that fails a number of times, and then runs on."""

    def __init__(self, failures_left):
        self.failures_left = failures_left
        self.runs = asyncio.Event()

    async def run(self):
        await asyncio.sleep(0)
        if self.failures_left:
            self.failures_left -= 1
            raise ValueError('an input that nobody expected')
        self.runs.set()
        await asyncio.Event().wait()


async def test_a_supervised_part_that_fails_is_run_again(tasks, failures):
    # Guards against daemons that end together by one fault in a part that they
    # can do without for a moment.
    part = Part(failures_left=3)
    tasks.supervise('part', part.run)
    async with asyncio.timeout(5):
        await part.runs.wait()
    assert tasks.restarts == 3
    assert not failures
    assert tasks.failure is None


async def test_a_part_that_can_not_run_again_ends_the_daemon(tasks, failures):
    tasks.start(Part(failures_left=1).run())
    while not failures:
        await asyncio.sleep(0)
    assert isinstance(tasks.failure, ValueError)


async def test_a_supervised_part_is_cancelled_between_two_runs(
    tasks, monkeypatch
):
    monkeypatch.setattr(task_set, '_RESTART_PAUSE_S', 60)
    tasks.supervise('part', Part(failures_left=1).run)
    while not tasks.restarts:
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await tasks.cancel()
