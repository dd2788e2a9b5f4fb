"""Rules between keys of the instance file, and between it and the fleet."""

from collections.abc import Iterator
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors, model
from sardinepier.settings.internal import display, schema

_TITLE: Final = 'instance'


def find_problems(
    source: str,
    instance: schema.InstanceSection,
) -> Iterator[errors.Problem]:
    """Yield a problem for each broken rule between two keys."""
    if instance.http_port == instance.peer_port:
        yield errors.Problem(
            source,
            _TITLE,
            'peer_port',
            f'{instance.peer_port} is the port of `http_port` too',
            'Write another port',
        )


def build(instance: schema.InstanceSection) -> model.InstanceSettings:
    """Build the snapshot from a valid section."""
    return model.InstanceSettings(
        daemon_id=ids.DaemonId(instance.daemon_id),
        zone=ids.ZoneName(instance.zone),
        region=ids.RegionName(instance.region),
        address_ip=instance.address_ip,
        http_port=instance.http_port,
        peer_port=instance.peer_port,
        platform_urls=instance.platform_urls,
        seeds=instance.seeds,
        advertised_peer_ip=instance.advertised_peer_ip or instance.address_ip,
        advertised_peer_port=(
            instance.advertised_peer_port or instance.peer_port
        ),
        log_level=instance.log_level,
    )


def check_fleet(
    instance: model.InstanceSettings,
    fleet: model.FleetSettings,
) -> tuple[errors.Problem, ...]:
    """Return a problem if the zone is unknown or in another region."""
    regions: dict[str, str] = {zone.name: zone.region for zone in fleet.zones}
    source = f'instance of {instance.daemon_id}'
    if instance.zone not in regions:
        return (
            errors.Problem(
                source,
                _TITLE,
                'zone',
                f'The fleet knows no zone {display.quoted(instance.zone)}',
                f'Write {display.listed(list(regions))}',
            ),
        )
    region = regions[instance.zone]
    if instance.region == region:
        return ()
    return (
        errors.Problem(
            source,
            _TITLE,
            'region',
            f'The fleet has zone {display.quoted(instance.zone)} in another '
            f'region than {display.quoted(instance.region)}',
            f'Write {display.quoted(region)}',
        ),
    )
