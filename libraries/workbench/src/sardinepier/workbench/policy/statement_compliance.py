"""What reached targets against what they had asked for in their answers.

Only requests of a daemon that the target told count, from a while after that: the
answer has to arrive first. Times are seconds of the run.
"""

import bisect
import collections
import dataclasses
from typing import Final

from sardinepier.core import ids

_LIMIT_WINDOW_S: Final = 4.0
_LIMIT_SETTLES_S: Final = 3.0
"""After a target named a limit for the first time, for daemons to take it in."""

_TOLD_S: Final = 0.5
"""After which an answer counts as known to the daemon that it went to."""

_LIMIT_FACTOR: Final = 1.5
_LIMIT_SLACK: Final = 5.0
_LEAVING_BOUND_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class _Limit:
    """One target's limit, when it named it, and whom it told when."""

    per_s: float
    since_s: float
    told_s: dict[str, float] = dataclasses.field(default_factory=dict)
    counted_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Rest:
    """One rest of one target towards one daemon, and what came in it."""

    from_s: float
    until_s: float
    came: int = 0


class StatementCompliance:
    """Counts the requests of all daemons at all targets."""

    def __init__(self) -> None:
        """Start without any."""
        self.arrivals_after_leaving = 0
        self._limits: dict[ids.TargetId, _Limit] = {}
        self._left_s: dict[tuple[ids.TargetId, str], float] = {}
        self._rests: dict[tuple[ids.TargetId, str], list[_Rest]] = (
            collections.defaultdict(list)
        )

    def record_arrival(
        self, target_id: ids.TargetId, source: str, at_s: float
    ) -> None:
        """Count a request of the daemon ``source``."""
        limit = self._limits.get(target_id)
        if limit and limit.told_s.get(source, at_s) <= at_s - _TOLD_S:
            limit.counted_s.append(at_s)
        left_s = self._left_s.get((target_id, source), at_s)
        self.arrivals_after_leaving += at_s - left_s > _LEAVING_BOUND_S
        for rest in self._rests[target_id, source]:
            rest.came += rest.from_s <= at_s < rest.until_s

    def record_limit(
        self,
        target_id: ids.TargetId,
        source: str,
        at_s: float,
        per_s: float,
    ) -> None:
        """Note that ``source`` was told of a limit."""
        limit = self._limits.setdefault(target_id, _Limit(per_s, at_s))
        limit.told_s.setdefault(source, at_s)

    def clear_limit(self, target_id: ids.TargetId) -> None:
        """Note that the target names no limit any more."""
        self._limits.pop(target_id, None)

    def record_leaving(
        self, target_id: ids.TargetId, source: str, at_s: float
    ) -> None:
        """Note that ``source`` was told that the target leaves."""
        self._left_s.setdefault((target_id, source), at_s)

    def record_backoff(
        self,
        target_id: ids.TargetId,
        source: str,
        at_s: float,
        rest_s: float,
    ) -> None:
        """Note that ``source`` was asked for ``rest_s`` seconds of rest."""
        self._rests[target_id, source].append(
            _Rest(at_s + _TOLD_S, at_s + rest_s),
        )

    def max_limit_use(self) -> float:
        """Return the most that came in a window, 1.0 for all that is allowed."""
        return max(map(_most_over, self._limits.values()), default=0.0)

    def limit_utilization(self, until_s: float) -> float:
        """Return what came of all that the limits took until the end."""
        took = 0.0
        came = 0.0
        for limit in self._limits.values():
            took += limit.per_s * (until_s - limit.since_s - _LIMIT_SETTLES_S)
            came += bisect.bisect(_settled(limit), until_s)
        return came / took if took else 0.0

    def max_arrivals_in_backoff(self) -> int:
        """Return the most requests that came from one daemon in one rest."""
        came = [rest.came for told in self._rests.values() for rest in told]
        return max(came, default=0)


def _settled(limit: _Limit) -> list[float]:
    from_s = limit.since_s + _LIMIT_SETTLES_S
    return limit.counted_s[bisect.bisect(limit.counted_s, from_s) :]


def _most_over(limit: _Limit) -> float:
    allowed = _LIMIT_FACTOR * limit.per_s * _LIMIT_WINDOW_S + _LIMIT_SLACK
    counted_s = _settled(limit)
    most = max(
        (
            bisect.bisect(counted_s, at_s + _LIMIT_WINDOW_S) - place
            for place, at_s in enumerate(counted_s)
        ),
        default=0,
    )
    return most / allowed
