"""How the daemon builds what each service needs."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import service_runtime
from sardinepier.health import events as health_events
from sardinepier.health import options as health_options
from sardinepier.health import service_health
from sardinepier.routing import choice, in_flight
from sardinepier.settings import model

_MS_PER_S: Final = 1000
# A peer without news reports every two seconds. Were its counts believed for
# less, its free slots could be borrowed only now and then.
_FRESH_S: Final = 2.5
_STALE_S: Final = 5.0
_SLOT_OPTIONS: Final = in_flight.SlotOptions(
    fresh_s=_FRESH_S,
    stale_s=_STALE_S,
)


class _HealthMaker:
    """Builds the judge of a service with this daemon as the observer."""

    def __init__(
        self,
        own: ids.InstanceId,
        clock: clocks.Clock,
        random_source: random.Random,
        on_event: Callable[[health_events.TargetChanged], None],
    ) -> None:
        self._own = own
        self._clock = clock
        self._random = random_source
        self._on_event = on_event

    def make(
        self,
        settings: model.ServiceSettings,
    ) -> service_health.ServiceHealth:
        """Return the judge of the service that ``settings`` describe."""
        return service_health.ServiceHealth(
            settings.name,
            self._own,
            _health_options(settings, 1),
            self._clock,
            self._random,
            self._on_event,
        )


def runtime_parts(
    own: ids.InstanceId,
    clock: clocks.Clock,
    random_source: random.Random,
    on_event: Callable[[health_events.TargetChanged], None],
) -> service_runtime.RuntimeParts:
    """Return what service runtimes are made from in this daemon."""
    maker = _HealthMaker(own, clock, random_source, on_event)
    return service_runtime.RuntimeParts(
        clock=clock,
        random_source=random_source,
        make_health=maker.make,
        configure_health=_configure_health,
        make_chooser=lambda: choice.LeastLoadedOfTwo(random_source),
        slot_options=_SLOT_OPTIONS,
    )


def _configure_health(
    health: service_health.ServiceHealth,
    settings: model.ServiceSettings,
    group_size: int,
) -> None:
    health.configure(_health_options(settings, group_size))


def _health_options(
    settings: model.ServiceSettings,
    group_size: int,
) -> health_options.HealthOptions:
    """Return the options of one of ``group_size`` daemons that judge.

    The operators' interval is that between two probes of one target. Each
    daemon of the group probes that much more rarely, or a target of a large
    group would spend a good part of its slots on probes.
    """
    return health_options.HealthOptions(
        false_ejections_per_target_day=(
            settings.false_ejections_per_target_day
        ),
        floor_percent=settings.floor_percent,
        probe_interval_s=settings.probe_interval_ms / _MS_PER_S * group_size,
    )
