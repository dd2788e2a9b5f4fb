"""What a way of judging targets must offer to take part in the experiment."""

from collections.abc import Sequence
from typing import Final, Protocol

from sardinepier.core import ids
from sardinepier.health import evidence


UNKNOWN: Final = None
"""A judge that does not know the peers' load says so."""


class Detector(Protocol):
    """All daemons of one group, judging one service's targets.

    Targets and daemons are named by their place, from 0 upwards. All times
    are seconds of the experiment's clock.
    """

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """A daemon sent an attempt to a target."""
        ...

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        end: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """The attempt ended."""
        ...

    def tick(self, daemon: int, now_s: float) -> None:
        """It is time for a daemon to decide."""
        ...

    def weights(self, daemon: int) -> Sequence[float]:
        """Return the weight of each target at a daemon, 0 for out."""
        ...

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return the peers' requests at each target, None if not known."""
        ...

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return whether work for a target is but a trial of its return."""
        ...

    def replaced(self, target: int, incarnation: int) -> None:
        """Tell all daemons that a target was replaced."""
        ...

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """A daemon's probe was answered."""
        ...

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return the targets that a daemon wants to probe now."""
        ...


def target_name(place: int) -> ids.TargetId:
    """Return the id of the target at this place."""
    return ids.TargetId(f't{place:04d}')


def target_place(name: ids.TargetId) -> int:
    """Return the place of a target by the id that ``target_name`` gave."""
    return int(name[1:])


def route_name(place: int) -> ids.RouteName:
    """Return the name of the route at this place."""
    return ids.RouteName(f'r{place}')
