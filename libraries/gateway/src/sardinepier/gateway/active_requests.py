"""The number of requests in flight, and whether the daemon is draining."""

import asyncio
import contextlib
import math
import types
from collections.abc import AsyncIterator
from typing import Self


class ActiveRequests:
    """Counts requests in flight, and all requests that were started.

    ``forwarded_bytes`` counts the bytes of requests and answers; the code that
    forwards them adds each once. ``cut_off_requests`` counts those that were in
    flight when they were cut off.

    Used as a context manager around each request. For example::

        with active_requests:
            await answer(request)
        await active_requests.wait_until_idle()
    """

    def __init__(self) -> None:
        """Start without requests in flight."""
        self.in_flight = 0
        self.requests_started = 0
        self.forwarded_bytes = 0
        self.cut_off_requests = 0
        self.is_draining = False
        self._accept_until_s = math.inf
        self._exit_s = math.inf
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_cut_off = False
        self._cut_off_timers: set[asyncio.Timeout] = set()

    def __enter__(self) -> Self:
        """Count the start of a request."""
        self.in_flight += 1
        self.requests_started += 1
        self._idle.clear()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Count the end of a request."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    def begin_draining(
        self,
        accept_until_s: float = math.inf,
        exit_s: float = math.inf,
    ) -> None:
        """Direct callers to other daemons from now on.

        Requests are accepted until ``accept_until_s``, and after that if they
        end before ``exit_s``, when those in flight are cut off.
        """
        self.is_draining = True
        self._accept_until_s = accept_until_s
        self._exit_s = exit_s

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a request may begin that ends by ``deadline_s``."""
        return now_s <= self._accept_until_s or deadline_s <= self._exit_s

    def may_send(self, now_s: float, deadline_s: float, work_s: float) -> bool:
        """Return whether a request of ``work_s`` may be sent to a target now.

        One whose deadline ends before the exit is not cut off by it.
        """
        return deadline_s <= self._exit_s or now_s + work_s <= self._exit_s

    @contextlib.asynccontextmanager
    async def until_cut_off(self) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the body once requests are cut off."""
        now_s = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(
            now_s if self._is_cut_off else None
        ) as timer:
            self._cut_off_timers.add(timer)
            try:
                yield
            finally:
                self._cut_off_timers.discard(timer)

    def cut_off(self) -> None:
        """Cut off the requests in flight, which are answered then."""
        self._is_cut_off = True
        self.cut_off_requests = len(self._cut_off_timers)
        now_s = asyncio.get_running_loop().time()
        for timer in self._cut_off_timers:
            timer.reschedule(now_s)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()
