"""This daemon's shares of the rate limits that targets state.

While a target states a limit, only the carriers of its zone send to it.
"""

from sardinepier.core import ids, rendezvous
from sardinepier.entry import service_registry
from sardinepier.routing import limit_shares
from sardinepier.zones import carriers, ranking


class LimitShares:
    """Assigns this daemon's shares of the limits to the request path."""

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        zone_carriers: carriers.Carriers,
    ) -> None:
        """Share the limits among ``zone_carriers``."""
        self._services = services
        self._carriers = zone_carriers

    def assign(self) -> None:
        """Update the shares for all targets that state a limit."""
        for pool in self._services.pools():
            for record in pool.targets.with_statements():
                limit_per_s = record.statements.newest.limit_per_s
                if limit_per_s is not None:
                    target_id = record.listed.target_id
                    senders = self._senders(target_id, record.listed.zone)
                    record.statements.limit_share = limit_shares.share_of(
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

        For a zone without living daemons, all daemons select the same other
        zone.
        """
        zone_senders = self._carriers.of_zone(zone)
        if not zone_senders or zone_senders[0].zone == zone:
            return zone_senders
        first_carriers = (*zone_senders[:1], *self._carriers.of_other_zones())
        zones = {member.zone for member in first_carriers}
        replacement = rendezvous.top_candidates(
            limit_shares.ranking_key(target_id), zones, 1
        )
        return self._carriers.of_zone(ids.ZoneName(replacement[0]))
