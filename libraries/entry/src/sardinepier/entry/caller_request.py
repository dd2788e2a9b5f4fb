"""A caller's request while the daemon handles it."""

import asyncio
import dataclasses
from typing import Final

import yarl

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import attempt_trace, model, refusals
from sardinepier.gateway import body_budget, request_body
from sardinepier.routing import errors

_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request that was read whole, with its route.

    ``caller_deadline_s`` is when the caller stops waiting, and ``deadline_s``
    the earlier of that and the end of the route's timeout. ``headers`` are
    forwarded to the target unchanged. ``customer`` is None if no key was needed
    or the key was unknown. ``priority`` is the customer's, or else the route's.
    ``admitted_s`` is when it got a token of the customer's limit, if it had to
    wait for one. ``attempts`` counts the attempts that were started. ``was_sent`` means that
    the first byte was sent to a target. ``is_abandoned`` means that the caller
    has disconnected, after which no new attempt starts. Nothing of the request
    arrived at the targets in ``unreached``, to which this daemon had no path.
    The daemons in ``relayed_to`` were asked to make an attempt. ``reservation``
    holds the memory of the body. ``unproved`` counts the attempts that were sent
    and that nobody has stated not to have run. ``sent_to`` has the URLs of all
    attempts, ``history`` the attempts that have ended.
    """

    request_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: request_body.RequestBody
    route: model.Route
    service: ids.ServiceName
    arrived_s: float
    caller_deadline_s: float
    deadline_s: float
    fingerprint: int
    priority: int
    customer: model.Customer | None = None
    admitted_s: float = 0.0
    attempts: int = 0
    was_sent: bool = False
    unproved: int = 0
    is_abandoned: bool = False
    reservation: body_budget.Reservation | None = None
    unreached: set[ids.TargetId] = dataclasses.field(default_factory=set)
    relayed_to: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    sent_to: set[yarl.URL] = dataclasses.field(default_factory=set)
    history: list[attempt_trace.AttemptTrace] = dataclasses.field(
        default_factory=list
    )

    def close(self) -> None:
        """Give back the memory of the body, once nothing sends it any more."""
        self.body = request_body.EMPTY
        if self.reservation is not None:
            self.reservation.release()

    def mark_sent(self) -> None:
        """Record that the first byte of an attempt is sent."""
        self.was_sent = True
        self.unproved += 1

    def prove_not_run(self) -> None:
        """Record the statement of its receiver that an attempt did not run."""
        self.unproved -= 1

    def needs_new_connection(self, url: yarl.URL) -> bool:
        """Return whether an attempt at ``url``, which begins now, needs one.

        All attempts of a request bear its id. Where an earlier one was sent, a
        copy of the answer to it could be taken for that to this one; without an
        id, so could any late answer.
        """
        was_sent_there = url in self.sent_to
        self.sent_to.add(url)
        return was_sent_there or not self.request_id

    def left_s(self, clock: clocks.Clock) -> float:
        """Return the seconds until the deadline, not below 0."""
        return max(0.0, self.deadline_s - clock.monotonic_s())

    def caller_loop_deadline_s(self, clock: clocks.Clock) -> float:
        """Return when the caller stops waiting, in time of the event loop."""
        left_s = self.caller_deadline_s - clock.monotonic_s()
        return asyncio.get_running_loop().time() + left_s

    def require_time_left(self, clock: clocks.Clock) -> None:
        """Raise ``TimeUpError`` if the deadline has passed."""
        if self.left_s(clock) <= 0:
            raise refusals.TimeUpError(
                'The deadline of the request passed before it was sent',
                'Send it again with a later deadline',
                _RETRY_AFTER_S,
            )

    def require_caller(self) -> None:
        """Raise ``GivenUpError`` if the caller has disconnected."""
        if self.is_abandoned:
            raise errors.GivenUpError(
                'The caller left before the request was sent again',
                'Nothing is to be done',
            )
