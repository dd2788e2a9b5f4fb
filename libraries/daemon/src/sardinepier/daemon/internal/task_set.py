"""The tasks of one daemon, which are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskSet:
    """Runs the tasks of the daemon and detects when one fails.

    ``on_failure`` is called with the first failure. It must end the daemon,
    which with a task missing would look alive to its peers but serve badly.
    """

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start without tasks."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run ``coroutine`` as a task until :meth:`cancel`."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if failure is not None and self.failure is None:
            self.failure = failure
            self._on_failure(failure)
