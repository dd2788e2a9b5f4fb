"""Parameters of the health of one service.

Operators set two of them: the tolerated false ejections and the floor. The
others have the defaults that the detection experiment in the workbench uses.
"""

import msgspec

from sardinepier.core import errors

_MAX_PERCENT = 100


class HealthOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one :class:`service_health.ServiceHealth`.

    For example, ``HealthOptions(false_ejections_per_target_day=0.01)`` allows
    at most one wrong ejection of a healthy target in a hundred days. Raises
    ``InvalidArgumentError`` for a value out of range.
    """

    false_ejections_per_target_day: float = 0.1
    """Tolerated ejections of healthy targets, per target and day."""

    floor_percent: float = 50
    """Share of the service's slots that ejections must leave in service."""

    tolerated_pause_ms: float = 200
    """Maximum pause of a healthy target; it does not cause an ejection."""

    tick_interval_s: float = 0.1
    report_interval_s: float = 0.5
    """Time between two reports to the group while no target is suspected."""

    urgent_report_interval_s: float = 0.15
    peer_expiry_s: float = 5
    """An observer without reports for this time is no longer counted."""

    fresh_evidence_s: float = 30
    """Only targets with good evidence in this time count as capacity."""

    baseline_failure_percent: float = 0.2
    """Failures below this share are never evidence against a target."""

    observer_share: float = 0.6
    """Maximum share of the threshold that one observer contributes."""

    cold_start_s: float = 20
    ramp_s: float = 10
    ejection_base_s: float = 5
    ejection_limit_s: float = 300
    flap_memory_s: float = 120
    """Time in service after which a target's next ejection time is halved."""

    trial_successes: int = 3
    probe_interval_s: float = 10
    suspect_probe_interval_s: float = 1
    routes_limit: int = 4096
    """Maximum number of routes with a latency median; the oldest is dropped."""

    observers_limit: int = 64
    """Maximum number of observers; reports of further ones are ignored."""

    def __post_init__(self) -> None:
        """Check every value."""
        _check_positive(
            'false_ejections_per_target_day',
            self.false_ejections_per_target_day,
        )
        _check_percent('floor_percent', self.floor_percent)
        _check_percent(
            'baseline_failure_percent',
            self.baseline_failure_percent,
        )
        for name in _POSITIVE:
            _check_positive(name, getattr(self, name))


_POSITIVE = (
    'tolerated_pause_ms',
    'tick_interval_s',
    'report_interval_s',
    'urgent_report_interval_s',
    'peer_expiry_s',
    'fresh_evidence_s',
    'observer_share',
    'cold_start_s',
    'ramp_s',
    'ejection_base_s',
    'ejection_limit_s',
    'flap_memory_s',
    'trial_successes',
    'probe_interval_s',
    'suspect_probe_interval_s',
    'routes_limit',
    'observers_limit',
)


def _check_positive(name: str, value: float) -> None:
    if value <= 0:
        raise errors.InvalidArgumentError(
            f'{name} is {value}',
            'Set it to a number above 0',
        )


def _check_percent(name: str, value: float) -> None:
    if not 0 <= value <= _MAX_PERCENT:
        raise errors.InvalidArgumentError(
            f'{name} is {value}',
            'Set it to a number from 0 to 100',
        )
