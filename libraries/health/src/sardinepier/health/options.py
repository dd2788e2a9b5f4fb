"""The figures by which one service's health is judged.

Operators set two of them: the tolerated false ejections and the floor. The
rest have defaults that the experiment in the workbench was run with.
"""

import msgspec

from sardinepier.core import errors

_MAX_PERCENT = 100


class HealthOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one :class:`service_health.ServiceHealth`.

    For example ``HealthOptions(false_ejections_per_target_day=0.01)`` asks
    for at most one healthy target taken out wrongly in a hundred days of one
    target. Raises ``InvalidArgumentError`` for a figure out of its range.
    """

    false_ejections_per_target_day: float = 0.1
    """Healthy targets out of service by mistake, per target and day."""

    floor_percent: float = 50
    """Share of the service's slots which ejections never go below."""

    tolerated_pause_ms: float = 200
    """A target may stand still for so long without being called sick."""

    tick_interval_s: float = 0.1
    report_interval_s: float = 0.5
    """Between two reports to the group while nothing is suspected."""

    urgent_report_interval_s: float = 0.15
    peer_expiry_s: float = 5
    """An observer that was silent for so long no longer takes part."""

    fresh_evidence_s: float = 30
    """Only a target that did well within this time counts as capacity."""

    baseline_failure_percent: float = 0.2
    """Failures below this share are never held against a target."""

    observer_share: float = 0.6
    """Most of the threshold that one observer can fill alone."""

    cold_start_s: float = 20
    ramp_s: float = 10
    ejection_base_s: float = 5
    ejection_limit_s: float = 300
    flap_memory_s: float = 120
    """In service for so long, a target's next ejection is halved."""

    trial_successes: int = 3
    probe_interval_s: float = 10
    suspect_probe_interval_s: float = 1
    routes_limit: int = 4096
    """Routes whose usual latency is remembered; the oldest is dropped."""

    observers_limit: int = 64
    """Observers whose reports are kept; a new one beyond is not heard."""

    def __post_init__(self) -> None:
        """Check every figure once, before anything relies on it."""
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
