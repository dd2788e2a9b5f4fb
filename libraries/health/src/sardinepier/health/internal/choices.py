"""What the request path reads: computed once a tick, looked up per request."""

from collections.abc import Mapping

from sardinepier.core import ids
from sardinepier.health import options as health_options
from sardinepier.health import targets
from sardinepier.health.internal import target_list, weights


class Choices:
    """The standing of every target, and those that may be chosen."""

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
        """Work all standings out anew."""
        self.standings = {
            one.identity.target_id: targets.Standing(
                one.state,
                weights.weight(one, options, now_s),
                in_flight.get(one.identity.target_id, 0),
            )
            for one in listed
        }
        self.selectable = tuple(
            target_id
            for target_id, standing in self.standings.items()
            if standing.weight > 0
        )

    def drop(self, target_id: ids.TargetId) -> None:
        """Take one target out of the choice until the next refresh."""
        self.selectable = tuple(
            selectable
            for selectable in self.selectable
            if selectable != target_id
        )
