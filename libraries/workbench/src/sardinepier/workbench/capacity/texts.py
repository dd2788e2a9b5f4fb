"""Names, addresses and files of a fleet at the target size."""

from typing import Final

from sardinepier.core import ids
from sardinepier.settings import model
from sardinepier.workbench.capacity import sizes

TARGETS: Final = round(sizes.TARGET.targets_per_service)
ROUTES: Final = round(sizes.TARGET.routes_per_service)
ZONES: Final = tuple(
    ids.ZoneName(f'region-{number // 3}-zone-{number % 3}')
    for number in range(sizes.TARGET.zones)
)
_HOSTS: Final = 250
_DEADLINE_MS: Final = 2000
_ENDS: Final = ('a', 'b', 'c')


def address(number: int) -> str:
    """Return the address of instance ``number``; nothing connects to it."""
    return f'10.{number // _HOSTS**2}.{number // _HOSTS % _HOSTS}.{number % _HOSTS + 1}'


def service_name(number: int) -> ids.ServiceName:
    """Return the name of service ``number``."""
    return ids.ServiceName(f'service-{number}')


def zone(number: int) -> ids.ZoneName:
    """Return the zone of instance ``number``."""
    return ZONES[number % len(ZONES)]


def region(number: int) -> ids.RegionName:
    """Return the region of instance ``number``."""
    return ids.RegionName(zone(number)[: len('region-0')])


def fleet_text() -> str:
    """Return the file of the fleet."""
    zones = [f'[zone {name}]\nregion = {name[:8]}\n' for name in ZONES]
    return '\n'.join(['[fleet]\nname = entries\n', *zones])


def service_text(number: int) -> str:
    """Return the file of one service with its share of workers and routes."""
    targets = [
        f'[target worker-{place}]\n'
        f'ip = {address(number * TARGETS + place)}\n'
        f'port = 9000\nzone = {zone(place)}\nslots = 3\n'
        for place in range(TARGETS)
    ]
    paths = [
        f'[route {route.name}]\nmethod = {route.method}\n'
        f'path = {route.path}\nidempotent = yes\n'
        f'deadline_ms = {route.deadline_ms}\n'
        for route in routes(ROUTES)
    ]
    head = (
        f'[service]\nname = {service_name(number)}\n\n[shed-reply]\n'
        'status = 503\nheader_name = Shed\nheader_value = not-run\n'
    )
    return '\n'.join([head, *targets, *paths])


def routes(count: int) -> tuple[model.RouteSettings, ...]:
    """Return ``count`` routes whose paths differ."""
    return tuple(
        model.RouteSettings(
            name=ids.RouteName(f'route-{number}'),
            method='GET',
            path=f'/things{number // len(_ENDS)}/{{id}}/{_ENDS[number % len(_ENDS)]}',
            idempotent=True,
            priority=model.Priority.NORMAL,
            deadline_ms=_DEADLINE_MS,
            hedged=False,
        )
        for number in range(count)
    )
