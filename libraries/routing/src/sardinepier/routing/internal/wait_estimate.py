"""How long a place in the queue will wait, learned from what happened."""

from typing import Final

_SMOOTHING: Final = 0.05
"""Weight of the newest figure; the last twenty or so decide."""

_ENOUGH_GRANTS: Final = 8
"""Grants in a row before the time between them is believed."""


class WaitEstimate:
    """Moving averages of the service time and of the time between grants.

    Before anything was observed both are 0, so that nobody is refused on a
    guess. The time between grants is only taken while somebody waits: at
    other times it says how often requests come, not how fast slots free up.
    It is forgotten when the queue empties: an old one, taken while targets
    were slow, could otherwise keep requests out for good.
    """

    def __init__(self) -> None:
        """Start without any observation."""
        self.service_s = 0.0
        self._interval_s = 0.0
        self._grants = 0
        self._last_grant_s: float | None = None

    def observe_service_time(self, service_s: float) -> None:
        """Take in the seconds which a target needed for one request."""
        self.service_s = _smoothed(self.service_s, service_s)

    def granted(self, now_s: float) -> None:
        """Take in that a waiter got a slot at ``now_s``."""
        if self._last_grant_s is not None:
            self._interval_s = _smoothed(
                self._interval_s,
                now_s - self._last_grant_s,
            )
        self._last_grant_s = now_s
        self._grants += 1

    def emptied(self) -> None:
        """Take in that nobody waits now, which ends the series of grants."""
        self._last_grant_s = None
        self._interval_s = 0.0
        self._grants = 0

    def wait_s(self, ahead: int) -> float:
        """Return the likely wait behind ``ahead`` others, in seconds."""
        if self._grants < _ENOUGH_GRANTS:
            return 0.0
        return ahead * self._interval_s


def _smoothed(average: float, newest: float) -> float:
    if not average:
        return newest
    return average + _SMOOTHING * (newest - average)
