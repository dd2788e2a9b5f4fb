"""A caller's request after it was read and validated."""

import dataclasses
import types
from typing import Self

import xxhash

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import (
    body_budget,
    headers,
    refusals,
    request_body,
    service_runtime,
    snapshots,
)
from sardinepier.settings import model

_MS_PER_S = 1000


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request with the settings snapshot that it started with.

    ``target_path`` is the path and query for the target, byte for byte what
    the caller sent after the service's name. ``fingerprint`` distinguishes
    requests in the ledger of keys and in the quarantine. ``reservation`` holds
    the memory of the body. ``is_detached`` means that the request goes on if its
    caller disconnects, and that its task closes it.
    """

    snapshot: snapshots.ServiceSnapshot
    runtime: service_runtime.ServiceRuntime
    route: model.RouteSettings
    method: str
    target_path: str
    headers: list[tuple[str, str]]
    body: request_body.RequestBody
    caller: ids.CallerId
    deadline_s: float
    fingerprint: int
    reservation: body_budget.Reservation
    is_detached: bool = False

    def __enter__(self) -> Self:
        """Begin to answer the caller."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close the request, unless it goes on without its caller."""
        if not self.is_detached:
            self.close()

    def close(self) -> None:
        """Give back the memory of the body, once nothing sends it any more."""
        self.body = request_body.EMPTY
        self.reservation.release()

    def remaining_ms(self, clock: clocks.Clock) -> int:
        """Return the time to the deadline in whole milliseconds, at least 0."""
        left_s = self.deadline_s - clock.monotonic_s()
        return max(0, int(left_s * _MS_PER_S))

    def require_time_left(self, clock: clocks.Clock) -> None:
        """Raise ``DeadlinePassedError`` if the deadline has passed."""
        if clock.monotonic_s() >= self.deadline_s:
            raise refusals.DeadlinePassedError(
                'The deadline of the request passed before it was sent',
                'Send it again with a longer deadline',
                1.0,
            )

    def target_headers(self, clock: clocks.Clock) -> list[tuple[str, str]]:
        """Return the headers for the target, with the remaining time."""
        left = (headers.DEADLINE, str(self.remaining_ms(clock)))
        return [*self.headers, left]


def fingerprint(
    service: ids.ServiceName,
    method: str,
    target_path: str,
    body: request_body.RequestBody,
) -> int:
    """Return a 64-bit hash of all fields that determine the effect."""
    digest = xxhash.xxh3_64(f'{service}\0{method}\0{target_path}\0'.encode())
    for part in body.parts:
        digest.update(part)
    return int(digest.intdigest())
