"""Log lines about what was decided for a request, and on what grounds.

Failures and refusals are always told: they are what somebody asks about
afterwards. Good answers are counted elsewhere.
"""

from typing import Final

from sardinepier.entry import target_record
from sardinepier.entry import work as works
from sardinepier.telemetry import logs

_MS_PER_S: Final = 1000


class Grounds:
    """What was known of a target when it was chosen."""

    __slots__ = ('_age_s', '_chance', '_in_flight', '_record')

    def __init__(
        self,
        record: target_record.TargetRecord,
        now_s: float,
        usual_s: float,
    ) -> None:
        """Keep what the choice went by."""
        self._record = record
        self._chance = record.failure_chance(now_s, usual_s)
        self._age_s = now_s - record.belief.updated_s
        self._in_flight = record.in_flight(now_s)

    def attempt_failed(
        self,
        item: works.Work,
        what: str,
        taken_s: float,
    ) -> None:
        """Tell that an attempt failed, and why this target had it."""
        logs.event(
            'attempt-failed',
            request_id=item.request_id,
            route=item.route.name,
            service=item.service,
            repeatable=item.route.is_idempotent,
            target=self._record.listed.target_id,
            target_zone=self._record.listed.zone,
            what=what,
            taken_ms=round(taken_s * _MS_PER_S),
            chance=round(self._chance, 3),
            belief_age_ms=round(self._age_s * _MS_PER_S),
            in_flight=self._in_flight,
        )
