"""Which part of a target's limit each daemon uses.

The limit is one on the sum of what all daemons send. Only those that carry the
target's zone send to it, each an equal part, or one of them all of it where parts
would be too small to be kept. No message is needed, and the sum holds for any number
of daemons.
"""

from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.entry import services
from sardinepier.zones import carriers, ranking

_KEY: Final = 'limit/{0}'

_LEAST_PART_PER_S: Final = 1.0
"""A smaller part is none: whatever its part, a daemon may send a request or two at
once, which add up over many."""


class LimitParts:
    """Lets the request path of one daemon know its parts of the limits."""

    def __init__(
        self,
        held: services.Services,
        chosen: carriers.Carriers,
    ) -> None:
        """Decide by the carriers that are ``chosen``."""
        self._held = held
        self._carriers = chosen

    def assign(self) -> None:
        """Decide anew for all targets that name a limit."""
        for pool in self._held.pools():
            for record in pool.targets.records():
                limit_per_s = record.stated.newest.limit_per_s
                if limit_per_s is not None:
                    record.stated.part = self._part(
                        record.listed.target_id,
                        record.listed.zone,
                        limit_per_s,
                    )

    def _part(
        self,
        target_id: ids.TargetId,
        zone: ids.ZoneName,
        limit_per_s: float,
    ) -> float:
        """Return the part of the limit that is this daemon's, 0 to 1."""
        key = _KEY.format(target_id)
        senders = [
            str(member.instance_id) for member in self._senders(key, zone)
        ]
        if limit_per_s < _LEAST_PART_PER_S * len(senders):
            senders = list(rendezvous.first(key, senders, 1))
        if self._carriers.own_id in senders:
            return 1 / len(senders)
        return 0.0

    def _senders(self, key: str, zone: ids.ZoneName) -> ranking.Members:
        """Return the carriers of ``zone``.

        For a zone without living daemons all daemons name the same other one.
        """
        found = self._carriers.of_zone(zone)
        if not found or found[0].zone == zone:
            return found
        first = (*found[:1], *self._carriers.of_other_zones())
        instead = rendezvous.first(key, {one.zone for one in first}, 1)
        return self._carriers.of_zone(ids.ZoneName(instead[0]))
