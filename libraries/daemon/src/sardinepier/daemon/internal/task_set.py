"""The tasks of one daemon, which are cancelled together."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from sardinepier.telemetry import logs

_RESTART_PAUSE_S: Final = 1.0

_Run = Callable[[], Coroutine[Any, Any, None]]


class TaskSet:
    """Runs the tasks of the daemon and detects when one fails.

    ``on_failure`` is called with the first failure of a task that can't be run
    again. It must end the daemon, which with a task missing would look alive to
    its peers but serve badly. ``restarts`` counts the failures of the others.

    For example::

        tasks = TaskSet(lambda failure: stop())
        tasks.start(network.run())
        tasks.supervise('membership', membership.run)
        ...
        await tasks.cancel()
    """

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start without tasks."""
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None
        self.restarts = 0

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run ``coroutine`` as a task until :meth:`cancel`."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def supervise(self, part: str, run: _Run) -> None:
        """Run ``run`` as a task, and again after a pause whenever it fails.

        ``run`` must be able to go on with the state that a failure left.
        """
        self.start(self._run_again(part, run))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_again(self, part: str, run: _Run) -> None:
        while True:
            try:
                return await run()
            except Exception as error:  # noqa: BLE001 - a fault must not end the daemon
                self.restarts += 1
                logs.failure(
                    'part-failed', error, level=logs.Level.ERROR, part=part
                )
            await asyncio.sleep(_RESTART_PAUSE_S)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if failure is not None and self.failure is None:
            self.failure = failure
            self._on_failure(failure)
