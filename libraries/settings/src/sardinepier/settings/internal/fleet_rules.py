"""Rules between keys of the fleet file, and between it and services."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors, model
from sardinepier.settings.internal import display, schema

_TITLE: Final = 'fleet'
_VALID_S_KEY: Final = 'addresses_valid_s'


def find_problems(
    source: str,
    fleet: schema.FleetSection,
) -> Iterator[errors.Problem]:
    """Yield a problem for each broken rule between two keys."""
    valid_s = fleet.addresses_valid_s
    if fleet.shutdown_grace_s < valid_s:
        yield errors.Problem(
            source,
            _TITLE,
            'shutdown_grace_s',
            f'A daemon would end while callers still hold its address: '
            f'{fleet.shutdown_grace_s:g} is less than `{_VALID_S_KEY}`',
            f'Write at least {valid_s:g}',
        )
    if fleet.ticket_epoch_s * fleet.ticket_valid_epochs < valid_s:
        yield errors.Problem(
            source,
            _TITLE,
            'ticket_valid_epochs',
            f'A ticket would expire before the address it came with: '
            f'`ticket_epoch_s` times this is less than `{_VALID_S_KEY}`',
            'Write a larger number',
        )
    if fleet.suspicion_timeout_ms <= fleet.heartbeat_interval_ms:
        yield errors.Problem(
            source,
            _TITLE,
            'suspicion_timeout_ms',
            'A suspected daemon could not refute in time: this is not more '
            'than `heartbeat_interval_ms`',
            f'Write more than {fleet.heartbeat_interval_ms}',
        )


def build(
    fleet: schema.FleetSection,
    zones: Mapping[str, schema.ZoneSection],
) -> model.FleetSettings:
    """Build the snapshot from valid sections."""
    return model.FleetSettings(
        zones=tuple(
            model.ZoneSettings(
                name=ids.ZoneName(name),
                region=ids.RegionName(zone.region),
            )
            for name, zone in zones.items()
        ),
        **dict(fleet),
    )


def check_services(
    fleet: model.FleetSettings,
    services: tuple[model.ServiceSettings, ...],
) -> tuple[errors.Problem, ...]:
    """Return problems for unknown zones and duplicate services."""
    zones: list[str] = [zone.name for zone in fleet.zones]
    problems = [
        errors.Problem(
            f'service/{service.name}',
            f'target {target.target_id}',
            'zone',
            f'The fleet file knows no zone {display.quoted(target.zone)}',
            f'Write {display.listed(zones)}, or add it to the fleet file',
        )
        for service in services
        for target in service.targets
        if target.zone not in zones
    ]
    problems.extend(_find_duplicate_services(services))
    return tuple(problems)


def _find_duplicate_services(
    services: tuple[model.ServiceSettings, ...],
) -> Iterator[errors.Problem]:
    counts = Counter(service.name for service in services)
    for name, count in counts.items():
        if count > 1:
            yield errors.Problem(
                f'service/{name}',
                'service',
                'name',
                f'{count} files describe the service {display.quoted(name)}',
                'Give each service a name of its own',
            )
