"""Measures how many healthy targets of a service are in use at any moment.

At most three tenths of them may be idle while requests fail. A power loss
makes all requests fail at once, so every moment counts.
"""

import statistics
from collections.abc import Iterable, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.workbench.policy import targets

INTERVAL_S: Final = 0.1
_WINDOW_S: Final = 2.0
"""A healthy target counts as used if it got a request within this time. A
target that failed by itself counts as healthy again after the same time."""

_MIN_USED_SHARE: Final = 0.7


class Floor:
    """Collects samples of the used share of each service's healthy targets."""

    def __init__(self) -> None:
        """Start without samples."""
        self._shares: list[float] = []

    def sample(
        self, scenario_targets: Iterable[targets.Target], now_s: float
    ) -> None:
        """Record the shares of this moment, except in the first time window."""
        if now_s < _WINDOW_S:
            return
        by_service: dict[ids.ServiceName, list[targets.Target]] = {}
        for target in scenario_targets:
            if _is_healthy(target, now_s):
                by_service.setdefault(target.listed.service, []).append(target)
        for healthy in by_service.values():
            used = sum(
                candidate.last_request_s > now_s - _WINDOW_S
                for candidate in healthy
            )
            self._shares.append(used / len(healthy))

    def min_share(self) -> float:
        """Return the minimum share in use, 1.0 without samples."""
        return min(self._shares, default=1.0)

    def violation_share(self) -> float:
        """Return the share of samples in which too few targets were in use."""
        low = [share < _MIN_USED_SHARE for share in self._shares]
        return statistics.fmean(low) if low else 0.0


def summary(floors: Sequence[Floor]) -> str:
    """Return a text on the targets in use in several runs."""
    min_share = min(floor.min_share() for floor in floors)
    violation_share = statistics.fmean(
        floor.violation_share() for floor in floors
    )
    return (
        f'healthy targets in use {min_share:.2f} at least, '
        f'too few {violation_share:.4f} of the time'
    )


def _is_healthy(target: targets.Target, now_s: float) -> bool:
    is_disturbed = target.is_gone or target.sheds > 0 or target.slowness > 1
    return not is_disturbed and target.last_failure_s <= now_s - _WINDOW_S
