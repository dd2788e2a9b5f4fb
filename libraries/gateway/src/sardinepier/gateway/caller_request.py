"""One request of a caller, read and checked, on its way to a target."""

import dataclasses

import xxhash

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import headers, refusals, service_runtime, snapshots
from sardinepier.settings import model

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class CallerRequest:
    """A request with the snapshot it started with.

    ``target_path`` is the path and query as the target gets it, byte for
    byte what the caller sent below the service's name. ``fingerprint`` tells
    requests apart for keys and for quarantine.
    """

    snapshot: snapshots.ServiceSnapshot
    runtime: service_runtime.ServiceRuntime
    route: model.RouteSettings
    method: str
    target_path: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: ids.CallerId
    deadline_s: float
    fingerprint: int

    def remaining_ms(self, clock: clocks.Clock) -> int:
        """Return how many whole milliseconds are left, at least 0."""
        left_s = self.deadline_s - clock.monotonic_s()
        return max(0, int(left_s * _MS_PER_S))

    def require_time_left(self, clock: clocks.Clock) -> None:
        """Raise ``DeadlinePassedError`` when nothing is left."""
        if clock.monotonic_s() >= self.deadline_s:
            raise refusals.DeadlinePassedError(
                'The time of the request ran out before it was sent',
                'Send it again, or allow it more time',
                1.0,
            )

    def target_headers(self, clock: clocks.Clock) -> list[tuple[str, str]]:
        """Return the headers for the target, with the time that is left."""
        left = (headers.DEADLINE, str(self.remaining_ms(clock)))
        return [*self.headers, left]


def fingerprint(
    service: ids.ServiceName,
    method: str,
    target_path: str,
    body: bytes,
) -> int:
    """Return a 64-bit hash of all that decides what a target does."""
    digest = xxhash.xxh3_64(f'{service}\0{method}\0{target_path}\0'.encode())
    digest.update(body)
    return int(digest.intdigest())
