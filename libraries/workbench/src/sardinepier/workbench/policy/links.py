"""The connections of one emulated daemon to the targets, and their cut."""

import asyncio
import collections
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Final

from sardinepier.gateway import errors
from sardinepier.workbench.policy import scenario

_IDLE_S: Final = 4.0
"""How long an unused connection stays open."""

_GONE_S: Final = 4.0
"""How long TCP waits for a silent peer before it gives up."""

_SILENT_WHEN_OPEN: Final = frozenset(
    (scenario.CutManner.SILENT, scenario.CutManner.REFUSED)
)
_HANGS_WHEN_NEW: Final = frozenset(
    (scenario.CutManner.SILENT, scenario.CutManner.RESET)
)


class TargetLinks:
    """Pools connections by address, and loses them in a cut.

    For example::

        await links.connect(ip, delay_s, timeout_s)
        async with links.exchange():
            ...
        links.release(ip)
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._cut: scenario.CutManner | None = None
        self._healed = asyncio.Event()
        self._idle_until_s: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self._exchanges: set[asyncio.Timeout] = set()

    @property
    def is_cut(self) -> bool:
        """Return whether no new connection can be made."""
        return self._cut is not None

    def cut(self, manner: scenario.CutManner) -> None:
        """Cut the daemon off from all targets."""
        self._cut = manner
        self._healed.clear()
        if manner is not scenario.CutManner.RESET:
            return
        self._idle_until_s.clear()
        for exchange in self._exchanges:
            exchange.reschedule(asyncio.get_running_loop().time())

    def heal(self) -> None:
        """End the cut; what it held up arrives."""
        self._cut = None
        self._healed.set()

    async def connect(
        self, ip: str, delay_s: float, timeout_s: float, *, is_refusing: bool
    ) -> bool:
        """Take an idle connection or make one; return whether it is new.

        Raises ``ConnectFailedError``.
        """
        now_s = asyncio.get_running_loop().time()
        pooled = self._idle_until_s[ip]
        while pooled:
            if pooled.pop() > now_s and not is_refusing:
                return False
        await self.make(delay_s, timeout_s, is_refusing=is_refusing)
        return True

    async def make(
        self, delay_s: float, timeout_s: float, *, is_refusing: bool
    ) -> None:
        """Make a connection, at no cost without a fault.

        Raises ``ConnectFailedError``.
        """
        if self._cut is None and not is_refusing:
            return
        if self._cut in _HANGS_WHEN_NEW:
            await asyncio.sleep(timeout_s)
            raise errors.ConnectTimeoutError(
                'The connection attempt timed out',
                'Check the network path to the target',
            )
        await asyncio.sleep(2 * delay_s)
        raise errors.ConnectRefusedError(
            'The target refused the connection',
            'Check whether the target runs',
        )

    def release(self, ip: str) -> None:
        """Keep a connection for the next request."""
        now_s = asyncio.get_running_loop().time()
        self._idle_until_s[ip].append(now_s + _IDLE_S)

    async def transfer(self, delay_s: float) -> None:
        """Wait until bytes have arrived; raise ``TargetGoneError`` if never."""
        await asyncio.sleep(delay_s)
        if self._cut not in _SILENT_WHEN_OPEN:
            return
        try:
            async with asyncio.timeout(_GONE_S):
                await self._healed.wait()
        except TimeoutError as error:
            raise errors.TargetGoneError(
                'The target stopped answering TCP',
                'Check whether the request ran before sending it again',
            ) from error

    @contextlib.asynccontextmanager
    async def exchange(self) -> AsyncIterator[None]:
        """Raise ``ConnectionLostError`` if a cut resets the connection."""
        try:
            async with asyncio.timeout(None) as exchange:
                with self._registered(exchange):
                    yield
        except TimeoutError as error:
            raise errors.ConnectionLostError(
                'The connection was reset',
                'Check whether the request ran before sending it again',
            ) from error

    @contextlib.contextmanager
    def _registered(self, exchange: asyncio.Timeout) -> Iterator[None]:
        self._exchanges.add(exchange)
        try:
            yield
        finally:
            self._exchanges.discard(exchange)
