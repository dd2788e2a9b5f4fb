"""The tasks of one daemon, which live and end together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskSet:
    """Runs the parts of the daemon and notices when one fails.

    ``on_failure`` is told of the first failure. A daemon with a part missing
    would look alive to its peers and serve badly, so the whole must end.
    """

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start without tasks."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` until :meth:`cancel`."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def cancel(self) -> None:
        """End all tasks and wait for them."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if failure is not None and self.failure is None:
            self.failure = failure
            self._on_failure(failure)
