"""Compares the requests that reach targets with what the targets stated.

A statement binds only the daemons that got it in an answer, and only after a
delay in which the answer arrives. Times are seconds of the run.
"""

import bisect
import collections
import dataclasses
from typing import Final

from sardinepier.core import ids

_LIMIT_WINDOW_S: Final = 4.0
_LIMIT_SETTLING_S: Final = 3.0
"""Time after the first statement of a limit in which requests don't count, so
that the daemons can apply the limit."""

_ANSWER_ARRIVAL_S: Final = 0.5
"""An answer counts as received by the daemon after this time."""

_LIMIT_FACTOR: Final = 1.5
_LIMIT_SLACK: Final = 5.0
_LEAVING_ALLOWANCE_S: Final = 2.0


@dataclasses.dataclass(slots=True)
class _Limit:
    """One target's limit, and when it was first stated to each daemon."""

    per_s: float
    first_reported_s: float
    reported_s: dict[str, float] = dataclasses.field(default_factory=dict)
    arrivals_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Backoff:
    """One backoff that a target stated to a daemon, and the arrivals in it."""

    from_s: float
    until_s: float
    arrivals: int = 0


class StatementCompliance:
    """Compares the arrivals from all daemons with the targets' statements."""

    def __init__(self) -> None:
        """Start without statements and arrivals."""
        self.arrivals_after_leaving = 0
        self._limits: dict[ids.TargetId, _Limit] = {}
        self._leaving_s: dict[tuple[ids.TargetId, str], float] = {}
        self._backoffs: dict[tuple[ids.TargetId, str], list[_Backoff]] = (
            collections.defaultdict(list)
        )

    def record_arrival(
        self, target_id: ids.TargetId, source: str, at_s: float
    ) -> None:
        """Count a request from the daemon ``source``."""
        limit = self._limits.get(target_id)
        if (
            limit
            and limit.reported_s.get(source, at_s) <= at_s - _ANSWER_ARRIVAL_S
        ):
            limit.arrivals_s.append(at_s)
        leaving_s = self._leaving_s.get((target_id, source), at_s)
        self.arrivals_after_leaving += at_s - leaving_s > _LEAVING_ALLOWANCE_S
        for backoff in self._backoffs[target_id, source]:
            backoff.arrivals += backoff.from_s <= at_s < backoff.until_s

    def record_limit(
        self,
        target_id: ids.TargetId,
        source: str,
        at_s: float,
        per_s: float,
    ) -> None:
        """Record that the target stated a limit to ``source``."""
        limit = self._limits.setdefault(target_id, _Limit(per_s, at_s))
        limit.reported_s.setdefault(source, at_s)

    def clear_limit(self, target_id: ids.TargetId) -> None:
        """Record that the target states no limit any more."""
        self._limits.pop(target_id, None)

    def record_leaving(
        self, target_id: ids.TargetId, source: str, at_s: float
    ) -> None:
        """Record that the target stated to ``source`` that it is leaving."""
        self._leaving_s.setdefault((target_id, source), at_s)

    def record_backoff(
        self,
        target_id: ids.TargetId,
        source: str,
        at_s: float,
        backoff_s: float,
    ) -> None:
        """Record a backoff of ``backoff_s`` seconds, stated to ``source``."""
        self._backoffs[target_id, source].append(
            _Backoff(at_s + _ANSWER_ARRIVAL_S, at_s + backoff_s),
        )

    def max_limit_use(self) -> float:
        """Return the highest use of a limit in any window; 1.0 is allowed."""
        return max(map(_max_window_use, self._limits.values()), default=0.0)

    def limit_utilization(self, until_s: float) -> float:
        """Return the arrivals as a share of those that the limits allowed."""
        allowed = 0.0
        arrivals = 0.0
        for limit in self._limits.values():
            allowed += limit.per_s * (
                until_s - limit.first_reported_s - _LIMIT_SETTLING_S
            )
            arrivals += bisect.bisect(_settled_arrivals_s(limit), until_s)
        return arrivals / allowed if allowed else 0.0

    def max_arrivals_in_backoff(self) -> int:
        """Return the most arrivals from one daemon in one backoff."""
        arrivals = [
            backoff.arrivals
            for backoffs in self._backoffs.values()
            for backoff in backoffs
        ]
        return max(arrivals, default=0)


def _settled_arrivals_s(limit: _Limit) -> list[float]:
    from_s = limit.first_reported_s + _LIMIT_SETTLING_S
    return limit.arrivals_s[bisect.bisect(limit.arrivals_s, from_s) :]


def _max_window_use(limit: _Limit) -> float:
    allowed = _LIMIT_FACTOR * limit.per_s * _LIMIT_WINDOW_S + _LIMIT_SLACK
    arrivals_s = _settled_arrivals_s(limit)
    max_arrivals = max(
        (
            bisect.bisect(arrivals_s, at_s + _LIMIT_WINDOW_S) - position
            for position, at_s in enumerate(arrivals_s)
        ),
        default=0,
    )
    return max_arrivals / allowed
