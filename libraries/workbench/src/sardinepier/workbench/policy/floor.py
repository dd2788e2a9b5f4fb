"""How many of the sound targets of a service are in use at any moment.

The users allow three tenths of them to be idle while requests fail. Requests
fail all at once when power is lost, so that each moment counts.
"""

import statistics
from collections.abc import Iterable, Sequence
from typing import Final

from sardinepier.core import ids
from sardinepier.workbench.policy import targets

INTERVAL_S: Final = 0.1
_WINDOW_S: Final = 2.0
"""Within which a sound target has to get a request, and after which one that
failed by itself is sound again."""

_LEAST_USED_SHARE: Final = 0.7


class Floor:
    """Collects the share in use of each service, looked at over and over."""

    def __init__(self) -> None:
        """Start without any look."""
        self._shares: list[float] = []

    def sample(self, found: Iterable[targets.Target], now_s: float) -> None:
        """Take in how it is now; the first seconds say nothing yet."""
        if now_s < _WINDOW_S:
            return
        by_service: dict[ids.ServiceName, list[targets.Target]] = {}
        for target in found:
            if _is_sound(target, now_s):
                by_service.setdefault(target.listed.service, []).append(target)
        for sound in by_service.values():
            used = sum(one.last_request_s > now_s - _WINDOW_S for one in sound)
            self._shares.append(used / len(sound))

    def min_share(self) -> float:
        """Return the least share that was in use, 1.0 without any look."""
        return min(self._shares, default=1.0)

    def violation_share(self) -> float:
        """Return the share of looks at which too few were in use."""
        low = [share < _LEAST_USED_SHARE for share in self._shares]
        return statistics.fmean(low) if low else 0.0


def summary(floors: Sequence[Floor]) -> str:
    """Return what several runs had in use, in words."""
    least = min(floor.min_share() for floor in floors)
    broken = statistics.fmean(floor.violation_share() for floor in floors)
    return (
        f'sound in use {least:.2f} at least, too few {broken:.4f} of the time'
    )


def _is_sound(target: targets.Target, now_s: float) -> bool:
    is_disturbed = target.is_gone or target.sheds > 0 or target.slowness > 1
    return not is_disturbed and target.last_failure_s <= now_s - _WINDOW_S
