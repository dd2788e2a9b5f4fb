"""What the targets of one service asked for, and which want requests now."""

import math
import random
from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import statements, target_statements
from sardinepier.routing import limit_parts, wait_queue

_ALONE: Final = ids.InstanceId('')

_RETRY_AFTER_S: Final = 1.0
"""After which a target may be in service again, where none asked for more."""


class StatedTargets:
    """Keeps the statements of those targets that ever made any.

    ``senders`` are the daemons that share the service, this one if it is among
    them: each has its part of a limit.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Start with targets that asked for nothing, and one daemon."""
        self._clock = clock
        self._random = random_source
        self._own = _ALONE
        self._senders: tuple[ids.InstanceId, ...] = (_ALONE,)
        self._known: dict[ids.TargetId, target_statements.TargetStatements] = {}

    def set_senders(
        self,
        others: Collection[ids.InstanceId],
        own: ids.InstanceId | None,
    ) -> None:
        """Set which daemons send; ``own`` is None when this one does not."""
        self._own = own or _ALONE
        self._senders = (*others, *(() if own is None else (own,)))
        for target_id in self._known:
            self._assign(target_id)

    def apply(
        self, target_id: ids.TargetId, statement: statements.Statement
    ) -> None:
        """Take in what an answer of the target told."""
        known = self._known.get(target_id)
        if known is None:
            if statement == statements.EMPTY:
                return
            known = target_statements.TargetStatements()
            self._known[target_id] = known
        known.apply(statement, self._clock.monotonic_s())
        self._assign(target_id)

    def forget(self, gone: Collection[ids.TargetId]) -> None:
        """Drop what was said by targets that are gone or started anew."""
        for target_id in self._known.keys() & set(gone):
            del self._known[target_id]

    def keep(self, targets: Collection[ids.TargetId]) -> None:
        """Drop what was said by all but these."""
        self.forget(self._known.keys() - set(targets))

    def not_accepting(self) -> set[ids.TargetId]:
        """Return the targets that want no request of this daemon now."""
        now_s = self._clock.monotonic_s()
        return {
            target_id
            for target_id, known in self._known.items()
            if known.accepts_from_s(now_s) > now_s
        }

    def is_backing_off(self, target_id: ids.TargetId) -> bool:
        """Tell whether the target asked for rest until later than now."""
        known = self._known.get(target_id)
        return bool(known and known.is_backing_off(self._clock.monotonic_s()))

    def take(self, target_id: ids.TargetId) -> None:
        """Count a request that is about to be sent to the target."""
        known = self._known.get(target_id)
        if known is not None:
            known.take(self._clock.monotonic_s())

    def refund(self, target_id: ids.TargetId) -> None:
        """Return what was counted for a request that was not sent."""
        known = self._known.get(target_id)
        if known is not None:
            known.refund()

    def accepts_from_s(self, target_id: ids.TargetId) -> float:
        """Return from when on the target wants a request of this daemon."""
        return self._accepts_from_s(target_id, self._clock.monotonic_s())

    def retry_after_s(self, targets: Collection[ids.TargetId]) -> float:
        """Return when one of them wants a request, of this daemon or others."""
        now_s = self._clock.monotonic_s()
        return target_statements.retry_after_s(
            (
                self._known[one].wait_s(now_s) if one in self._known else 0.0
                for one in targets
            ),
            _RETRY_AFTER_S,
            self._random,
        )

    def forecast(
        self,
        targets: Collection[ids.TargetId],
    ) -> wait_queue.CapacityForecast:
        """Return when one of them wants requests again, and how many."""
        now_s = self._clock.monotonic_s()
        if not self._known or not targets:
            return wait_queue.AVAILABLE_NOW
        accepts_from_s = min(
            self._accepts_from_s(one, now_s) for one in targets
        )
        if accepts_from_s <= now_s or math.isinf(accepts_from_s):
            return wait_queue.AVAILABLE_NOW
        # Whoever is closed asked for something.
        return target_statements.forecast(
            (self._known[one] for one in targets),
            now_s,
        )

    def _accepts_from_s(self, target_id: ids.TargetId, now_s: float) -> float:
        known = self._known.get(target_id)
        return now_s if known is None else known.accepts_from_s(now_s)

    def _assign(self, target_id: ids.TargetId) -> None:
        """Work out this daemon's part of the target's limit."""
        known = self._known[target_id]
        limit_per_s = known.newest.limit_per_s
        if limit_per_s is not None:
            known.part = limit_parts.part_of(
                self._own,
                self._senders,
                target_id,
                limit_per_s,
            )
