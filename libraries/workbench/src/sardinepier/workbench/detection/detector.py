"""The interface of detectors that take part in the experiment."""

from collections.abc import Sequence
from typing import Final, Protocol

from sardinepier.core import ids
from sardinepier.health import evidence


UNKNOWN: Final = None
"""The answer of a detector that does not know the peers' load."""


class Detector(Protocol):
    """Failure detection of one group of daemons for one service's targets.

    Targets and daemons are identified by their index, from 0. Times are
    seconds of the experiment's clock.
    """

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Record that a daemon sent an attempt to a target."""
        ...

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        outcome: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Record the outcome of an attempt."""
        ...

    def tick(self, daemon: int, now_s: float) -> None:
        """Update the decisions of a daemon."""
        ...

    def weights(self, daemon: int) -> Sequence[float]:
        """Return the weight of each target at a daemon, 0 if ejected."""
        ...

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return the peers' in-flight requests per target, None if unknown."""
        ...

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return whether a target is on trial before its readmission."""
        ...

    def replaced(self, target: int, incarnation: int) -> None:
        """Announce a target's new incarnation to all daemons."""
        ...

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Record the answer to a daemon's probe."""
        ...

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return the targets that a daemon should probe now."""
        ...


def target_name(index: int) -> ids.TargetId:
    """Return the id of the target with this index."""
    return ids.TargetId(f't{index:04d}')


def target_index(name: ids.TargetId) -> int:
    """Return the index of a target from its id, see ``target_name``."""
    return int(name[1:])


def route_name(index: int) -> ids.RouteName:
    """Return the name of the route with this index."""
    return ids.RouteName(f'r{index}')
