"""Builds the parts of a service's runtime."""

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
# A peer whose evidence does not change reports every two seconds. If its counts
# expired sooner, its free slots could be borrowed only part of the time.
_FRESH_S: Final = 2.5
_STALE_S: Final = 5.0
_SLOT_OPTIONS: Final = in_flight.SlotOptions(
    fresh_s=_FRESH_S,
    stale_s=_STALE_S,
)


class _HealthFactory:
    """Builds the health of services as this daemon observes it."""

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
        """Return the health of the service that ``settings`` describe."""
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
    """Return the parts from which this daemon builds service runtimes."""
    health_factory = _HealthFactory(own, clock, random_source, on_event)
    return service_runtime.RuntimeParts(
        clock=clock,
        random_source=random_source,
        make_health=health_factory.make,
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
    """Return the options for one of ``group_size`` daemons.

    The interval in the settings is the one between two probes of a target by
    the whole group. Each daemon probes at ``group_size`` times the interval;
    otherwise probes of a large group would use many of the target's slots.
    """
    return health_options.HealthOptions(
        false_ejections_per_target_day=(
            settings.false_ejections_per_target_day
        ),
        floor_percent=settings.floor_percent,
        probe_interval_s=settings.probe_interval_ms / _MS_PER_S * group_size,
    )
