"""Connects to targets while requests are relayed, to notice when paths return."""

import asyncio
import random
from typing import Final, Protocol

from sardinepier.core import ids
from sardinepier.entry import service_pool, service_registry, target_record
from sardinepier.gateway import errors, unsent

CONNECT_TIMEOUT_S: Final = 0.35
"""A connection within a region takes a few milliseconds. One that takes longer
than this leads to a dead instance or crosses a link that loses packets."""

_MIN_INTERVAL_S: Final = 0.25
_MAX_INTERVAL_S: Final = 1.0
_SLOW_S: Final = 0.05
"""Time after which a second target is tried beside the first: a connection that
takes longer most likely times out."""


class Connector(Protocol):
    """Makes connections that carry no request."""

    async def check_connection(
        self, ip: str, port: int, timeout_s: float
    ) -> None:
        """Make a connection and close it; raise an error if that fails.

        That is ``ConnectFailedError``, or ``NoDescriptorError``.
        """
        ...


class PathChecker:
    """Checks the paths to services that can't be reached.

    While a service is unreachable, no request is sent to its targets, so that
    only these checks show that a path is back. As soon as one service is lost,
    the others are checked once, since a lost link affects all.
    """

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        connector: Connector,
        random_source: random.Random,
    ) -> None:
        """Check the targets of ``services`` by means of ``connector``."""
        self._services = services
        self._connectivity = services.connectivity
        self._connector = connector
        self._random = random_source
        self._checks: dict[ids.ServiceName, asyncio.Task[None]] = {}
        self._connectivity.check = self._check_shared

    async def run(self) -> None:
        """Check while anything is cut off, until cancelled."""
        while True:
            await self._connectivity.wait_until_cut_off()
            await self.check_all()
            interval_s = _MIN_INTERVAL_S
            while self._connectivity.cut_off_services():
                # Not at the same moment as all daemons behind the same link.
                await asyncio.sleep(interval_s * self._random.uniform(0.5, 1.0))
                interval_s = min(_MAX_INTERVAL_S, 2 * interval_s)
                await self._check_cut_off()

    async def check_all(self) -> None:
        """Check one target of each service, and another one if it fails."""
        await asyncio.gather(
            *(self._check(pool) for pool in tuple(self._services.pools()))
        )

    async def _check_shared(self, service: ids.ServiceName) -> None:
        """Check one service, in one check for all who ask meanwhile."""
        check = self._checks.get(service)
        if check is None:
            check = asyncio.create_task(
                self._check(self._services.pool(service))
            )
            self._checks[service] = check
            check.add_done_callback(lambda _: self._checks.pop(service))
        await asyncio.shield(check)

    async def _check_cut_off(self) -> None:
        pools = map(self._services.pool, self._connectivity.cut_off_services())
        picked = ((pool, self._pick(pool)) for pool in pools)
        await asyncio.gather(
            *(
                self._check_one(pool, record)
                for pool, record in picked
                if record is not None
            )
        )

    async def _check(self, pool: service_pool.ServicePool) -> None:
        """Connect to one target, and to another if that fails or is slow."""
        first = self._pick(pool)
        if first is None:
            return
        check = asyncio.create_task(self._check_one(pool, first))
        done, _ = await asyncio.wait({check}, timeout=_SLOW_S)
        if not done or not check.result():
            second = self._pick(pool, first)
            if second is not None:
                await self._check_one(pool, second)
        await check

    async def _check_one(
        self,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
    ) -> bool:
        """Connect to one target; return whether that worked."""
        try:
            await self._connector.check_connection(
                record.listed.ip, record.listed.port, CONNECT_TIMEOUT_S
            )
        except (errors.ConnectFailedError, unsent.NoDescriptorError):
            self._connectivity.failed(
                pool.name,
                record.listed.target_id,
                len(pool.targets.records()),
            )
            return False
        self._connectivity.connected(pool.name)
        return True

    def _pick(
        self,
        pool: service_pool.ServicePool,
        other_than: target_record.TargetRecord | None = None,
    ) -> target_record.TargetRecord | None:
        """Return a target, rather one to which no connection has failed."""
        failed = self._connectivity.failed_targets(pool.name)
        records = [
            record
            for record in pool.targets.records()
            if record is not other_than
        ]
        untried = [
            record
            for record in records
            if record.listed.target_id not in failed
        ]
        candidates = untried or records
        return self._random.choice(candidates) if candidates else None
