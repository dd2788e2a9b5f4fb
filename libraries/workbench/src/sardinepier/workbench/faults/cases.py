"""Fault cases: actions, their schedule, and the allowed effects."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Final

from sardinepier.workbench.faults import actions, observations, promises
from sardinepier.workbench.traffic import options

Check = Callable[
    [observations.Observations],
    Sequence[promises.BrokenPromise],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Seconds since the start of the traffic, which ends at ``end_at_s``."""

    inject_at_s: float = 1.5
    heal_at_s: float = 5.0
    end_at_s: float = 8.0


DEFAULT_SCHEDULE: Final = Schedule()
DEPOSIT: Final = options.RouteChoice('POST', '/deposits')


def no_check(
    observed: observations.Observations,
) -> Sequence[promises.BrokenPromise]:
    """Check nothing beyond the checks of every case."""
    return ()


@dataclasses.dataclass(frozen=True, slots=True)
class FaultCase:
    """One row of the table.

    ``cut_allowed`` says whether callers may lose connections, which a
    graceful exit must not cause. At least ``completed_percent`` of the
    requests must complete, so that a fleet which serves no request fails.
    ``relays`` names the listeners of the relay that the case cuts, and
    ``restarts`` the processes that must have restarted by the end. With
    ``poison``, requests that contain this text are sent as well. ``check``
    finds broken promises beyond those that every case checks.
    """

    name: str
    inject: actions.Action
    heal: actions.Action | None = None
    schedule: Schedule = DEFAULT_SCHEDULE
    rate_per_s: float = 60.0
    attempt_timeout_s: float = 5.0
    cut_allowed: bool = True
    completed_percent: float = 50.0
    keyed_route: options.RouteChoice = DEPOSIT
    relays: tuple[str, ...] = ()
    restarts: tuple[str, ...] = ()
    poison: str = ''
    check: Check = no_check
