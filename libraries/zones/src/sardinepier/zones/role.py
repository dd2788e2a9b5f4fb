"""The role of one daemon in its zone, updated with each heartbeat."""

from sardinepier.core import clock as clocks
from sardinepier.entry import service_registry
from sardinepier.telemetry import logs
from sardinepier.zones import (
    carriers,
    events,
    handover,
    successors,
    zone_load,
)


class Role:
    """Decides whether this daemon is a carrier, and how many there are.

    ``load`` holds the load of the zone's carriers.
    """

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        zone_carriers: carriers.Carriers,
        load: zone_load.ZoneLoad,
        search: successors.SuccessorSearch,
        clock: clocks.Clock,
    ) -> None:
        """Start as a non-carrier; ``search`` finds successors."""
        self.load = load
        self._services = services
        self._carriers = zone_carriers
        self._handover = handover.Handover(
            services, zone_carriers, search, clock
        )
        self._was_carrier = False

    def step(self) -> bool:
        """Update the role; return whether this daemon hands its zone over."""
        if self._carriers.is_first():
            self._set_carrier_count()
        hands_over = self._handover.begin()
        self._apply()
        return hands_over

    def _set_carrier_count(self) -> None:
        """Set the number of carriers that the zone's traffic needs."""
        before = self._carriers.count
        required_count = self.load.required_count(
            before, self._carriers.capacities()
        )
        if required_count != before:
            self._carriers.set_count(required_count)
            logs.write(
                events.CarriersWanted(count=required_count, before=before)
            )

    def _apply(self) -> None:
        """Apply this daemon's role to the request path."""
        is_carrier = self._carriers.is_carrier()
        # A non-carrier shares the zone with the other non-carriers.
        is_only_sender = is_carrier and self._carriers.count == 1
        self._services.set_shares_zone(shares_zone=not is_only_sender)
        if is_carrier != self._was_carrier:
            self._was_carrier = is_carrier
            self._log_change()

    def _log_change(self) -> None:
        logs.write(
            events.CarrierChanged(
                is_carrier=self._was_carrier,
                rank=self._carriers.own_rank(),
                count=self._carriers.count,
            ),
        )
