"""The part that one daemon has in carrying its zone, decided beat by beat."""

from sardinepier.core import clock as clocks
from sardinepier.entry import service_registry
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, events, handover, zone_load


class Role:
    """Takes up and gives up the role of a carrier.

    ``load`` is what is known of the load of the zone's carriers.
    """

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        chosen: carriers.Carriers,
        load: zone_load.ZoneLoad,
        clock: clocks.Clock,
    ) -> None:
        """Start without the role."""
        self.load = load
        self._held = held
        self._carriers = chosen
        self._handover = handover.Handover(held, chosen, clock)
        self._was_carrier = False

    def step(self) -> bool:
        """Decide once; return whether this daemon now hands its zone over."""
        if self._carriers.is_first():
            self._decide_number()
        hands_over = self._handover.begin()
        self._apply()
        return hands_over

    def _decide_number(self) -> None:
        """Let as many carry the zone as its traffic needs."""
        held = self._carriers.count
        wanted = self.load.wanted(held, self._carriers.capacities())
        if wanted != held:
            self._carriers.set_count(wanted)
            logs.write(events.CarriersWanted(count=wanted, before=held))

    def _apply(self) -> None:
        """Let the request path act by what this daemon is now."""
        is_carrier = self._carriers.is_carrier()
        # Whoever doesn't carry the zone is one of many who don't.
        is_alone = is_carrier and self._carriers.count == 1
        self._held.set_shares_zone(shares_zone=not is_alone)
        if is_carrier != self._was_carrier:
            self._was_carrier = is_carrier
            self._tell_change()

    def _tell_change(self) -> None:
        logs.write(
            events.CarrierChanged(
                is_carrier=self._was_carrier,
                rank=self._carriers.own_rank(),
                count=self._carriers.count,
            ),
        )
