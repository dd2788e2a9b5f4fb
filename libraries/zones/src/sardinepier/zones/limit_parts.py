"""The parts of one daemon in the limits that targets name.

Only those that carry a target's zone send to it while it names a limit.
"""

from sardinepier.core import ids, rendezvous
from sardinepier.entry import service_registry
from sardinepier.routing import limit_parts
from sardinepier.zones import carriers, ranking


class LimitParts:
    """Lets the request path of one daemon know its parts of the limits."""

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        chosen: carriers.Carriers,
    ) -> None:
        """Decide by the carriers that are ``chosen``."""
        self._held = held
        self._carriers = chosen

    def assign(self) -> None:
        """Decide anew for all targets that name a limit."""
        for pool in self._held.pools():
            for record in pool.targets.with_statements():
                limit_per_s = record.statements.newest.limit_per_s
                if limit_per_s is not None:
                    target_id = record.listed.target_id
                    senders = self._senders(target_id, record.listed.zone)
                    record.statements.part = limit_parts.part_of(
                        self._carriers.own_id,
                        [member.instance_id for member in senders],
                        target_id,
                        limit_per_s,
                    )

    def _senders(
        self,
        target_id: ids.TargetId,
        zone: ids.ZoneName,
    ) -> ranking.Members:
        """Return the carriers of ``zone``.

        For a zone without living daemons all daemons name the same other one.
        """
        found = self._carriers.of_zone(zone)
        if not found or found[0].zone == zone:
            return found
        first = (*found[:1], *self._carriers.of_other_zones())
        zones = {one.zone for one in first}
        instead = rendezvous.top_candidates(
            limit_parts.ranking_key(target_id), zones, 1
        )
        return self._carriers.of_zone(ids.ZoneName(instead[0]))
