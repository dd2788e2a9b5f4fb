"""An estimate of the wait in the queue from past grants."""

from typing import Final

_SMOOTHING: Final = 0.05
"""Weight of the newest observation: about the last 20 determine the average."""

_MIN_GRANTS: Final = 8
"""Consecutive grants before the time between them is used."""


class WaitEstimate:
    """Moving averages of the service time and of the time between grants.

    Before the first observation both are 0, so that no request is refused
    because of a guess. The time between grants is only observed while requests
    wait: at other times it depends on how often requests arrive, not on how
    fast slots become free. It is dropped when the queue becomes empty:
    otherwise a value from a time when targets were slow could cause requests
    to be refused forever.
    """

    def __init__(self) -> None:
        """Start without any observation."""
        self.service_s = 0.0
        self._interval_s = 0.0
        self._grants = 0
        self._last_grant_s: float | None = None

    def observe_service_time(self, service_s: float) -> None:
        """Record how long a target took for one request, in seconds."""
        self.service_s = _smoothed(self.service_s, service_s)

    def granted(self, now_s: float) -> None:
        """Record that a waiter got a slot at ``now_s``."""
        if self._last_grant_s is not None:
            self._interval_s = _smoothed(
                self._interval_s,
                now_s - self._last_grant_s,
            )
        self._last_grant_s = now_s
        self._grants += 1

    def emptied(self) -> None:
        """Record that no request waits, which ends the series of grants."""
        self._last_grant_s = None
        self._interval_s = 0.0
        self._grants = 0

    def wait_s(self, ahead: int) -> float:
        """Return the likely wait behind ``ahead`` requests, in seconds."""
        if self._grants < _MIN_GRANTS:
            return 0.0
        return ahead * self._interval_s


def _smoothed(average: float, newest: float) -> float:
    if not average:
        return newest
    return average + _SMOOTHING * (newest - average)
