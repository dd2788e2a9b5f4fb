"""Target states for the request path: computed per tick, read per request."""

from collections.abc import Mapping

from sardinepier.core import ids
from sardinepier.health import options as health_options
from sardinepier.health import targets
from sardinepier.health.internal import target_list, weights


class Selection:
    """The standing of every target, and the selectable targets."""

    def __init__(self) -> None:
        """Start without targets."""
        self.standings: Mapping[ids.TargetId, targets.Standing] = {}
        self.selectable: tuple[ids.TargetId, ...] = ()

    def refresh(
        self,
        listed: target_list.TargetList,
        in_flight: Mapping[ids.TargetId, int],
        options: health_options.HealthOptions,
        now_s: float,
    ) -> None:
        """Compute all standings."""
        self.standings = {
            target.identity.target_id: targets.Standing(
                target.state,
                weights.weight(target, options, now_s),
                in_flight.get(target.identity.target_id, 0),
            )
            for target in listed
        }
        self.selectable = tuple(
            target_id
            for target_id, standing in self.standings.items()
            if standing.weight > 0
        )

    def drop(self, target_id: ids.TargetId) -> None:
        """Make one target unselectable until the next refresh."""
        self.selectable = tuple(
            selectable
            for selectable in self.selectable
            if selectable != target_id
        )
