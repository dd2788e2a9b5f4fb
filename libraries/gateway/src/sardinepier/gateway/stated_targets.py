"""The statements of one service's targets, and which accept requests now."""

import math
import random
from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import statements, target_statements
from sardinepier.routing import limit_shares, wait_queue

_SINGLE_DAEMON: Final = ids.InstanceId('')

_RETRY_AFTER_S: Final = 1.0
"""The retry delay when no target asked for a longer one."""


class StatedTargets:
    """Keeps the statements of the targets that made any.

    The senders are the daemons that share the service, including this one if
    it is among them. Each sender has its share of a target's limit.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Start without statements and with this daemon as the only sender."""
        self._clock = clock
        self._random = random_source
        self._own = _SINGLE_DAEMON
        self._senders: tuple[ids.InstanceId, ...] = (_SINGLE_DAEMON,)
        self._statements: dict[
            ids.TargetId, target_statements.TargetStatements
        ] = {}

    def set_senders(
        self,
        other_daemons: Collection[ids.InstanceId],
        own: ids.InstanceId | None,
    ) -> None:
        """Set the senders; ``own`` is None when this daemon is not one."""
        self._own = own or _SINGLE_DAEMON
        self._senders = (*other_daemons, *(() if own is None else (own,)))
        for target_id in self._statements:
            self._assign(target_id)

    def apply(
        self, target_id: ids.TargetId, statement: statements.Statement
    ) -> None:
        """Apply the statement of a target's answer."""
        stated = self._statements.get(target_id)
        if stated is None:
            if statement == statements.EMPTY:
                return
            stated = target_statements.TargetStatements()
            self._statements[target_id] = stated
        stated.apply(statement, self._clock.monotonic_s())
        self._assign(target_id)

    def forget(self, target_ids: Collection[ids.TargetId]) -> None:
        """Drop the statements of targets that are gone or restarted."""
        for target_id in self._statements.keys() & set(target_ids):
            del self._statements[target_id]

    def keep(self, targets: Collection[ids.TargetId]) -> None:
        """Drop the statements of all targets that are not in ``targets``."""
        self.forget(self._statements.keys() - set(targets))

    def not_accepting(self) -> set[ids.TargetId]:
        """Return the targets that accept no request of this daemon now."""
        now_s = self._clock.monotonic_s()
        return {
            target_id
            for target_id, stated in self._statements.items()
            if stated.accepts_from_s(now_s) > now_s
        }

    def is_backing_off(self, target_id: ids.TargetId) -> bool:
        """Return whether the target's backoff has not ended yet."""
        stated = self._statements.get(target_id)
        return bool(stated and stated.is_backing_off(self._clock.monotonic_s()))

    def take(self, target_id: ids.TargetId) -> None:
        """Count a request that is about to be sent to the target."""
        stated = self._statements.get(target_id)
        if stated is not None:
            stated.take(self._clock.monotonic_s())

    def refund(self, target_id: ids.TargetId) -> None:
        """Undo :meth:`take` for a request that was not sent."""
        stated = self._statements.get(target_id)
        if stated is not None:
            stated.refund()

    def accepts_from_s(self, target_id: ids.TargetId) -> float:
        """Return from when on the target accepts a request of this daemon."""
        return self._accepts_from_s(target_id, self._clock.monotonic_s())

    def retry_after_s(self, targets: Collection[ids.TargetId]) -> float:
        """Return in how many seconds a target accepts any request."""
        now_s = self._clock.monotonic_s()
        return target_statements.retry_after_s(
            (
                self._statements[target_id].wait_s(now_s)
                if target_id in self._statements
                else 0.0
                for target_id in targets
            ),
            _RETRY_AFTER_S,
            self._random,
        )

    def forecast(
        self,
        targets: Collection[ids.TargetId],
    ) -> wait_queue.CapacityForecast:
        """Return when the targets accept requests again, and at what rate."""
        now_s = self._clock.monotonic_s()
        if not self._statements or not targets:
            return wait_queue.AVAILABLE_NOW
        accepts_from_s = min(
            self._accepts_from_s(target_id, now_s) for target_id in targets
        )
        if accepts_from_s <= now_s or math.isinf(accepts_from_s):
            return wait_queue.AVAILABLE_NOW
        # A target that accepts no request now has made a statement.
        return target_statements.forecast(
            (self._statements[target_id] for target_id in targets),
            now_s,
        )

    def _accepts_from_s(self, target_id: ids.TargetId, now_s: float) -> float:
        stated = self._statements.get(target_id)
        return now_s if stated is None else stated.accepts_from_s(now_s)

    def _assign(self, target_id: ids.TargetId) -> None:
        """Compute this daemon's share of the target's limit."""
        stated = self._statements[target_id]
        limit_per_s = stated.newest.limit_per_s
        if limit_per_s is not None:
            stated.limit_share = limit_shares.share_of(
                self._own,
                self._senders,
                target_id,
                limit_per_s,
            )
