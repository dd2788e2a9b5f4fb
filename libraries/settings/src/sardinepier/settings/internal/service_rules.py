"""Rules between the sections of a service file."""

import dataclasses
import re
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors, model
from sardinepier.settings.internal import display, overlaps, schema

_PUBLISHED: Final = re.compile(r'service/(?P<name>[^/]+?)(\.ini)?')


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSections:
    """The sections of a service file that are right by themselves."""

    service: schema.ServiceSection | None
    shed_reply: schema.ShedReplySection | None
    targets: Mapping[str, schema.TargetSection]
    routes: Mapping[str, schema.RouteSection]


def find_problems(
    source: str, parts: ServiceSections
) -> Iterator[errors.Problem]:
    """Compare the sections, as far as each is right by itself."""
    yield from _find_other_name(source, parts.service)
    yield from _find_shared_addresses(source, parts.targets)
    yield from _find_hedged(source, parts.routes)
    yield from overlaps.find_problems(source, parts.routes)


def build(parts: ServiceSections) -> model.ServiceSettings:
    """Make the snapshot from sections without problems."""
    service = dict(parts.service or ())
    return model.ServiceSettings(
        targets=tuple(
            model.TargetSettings(target_id=ids.TargetId(name), **dict(target))
            for name, target in parts.targets.items()
        ),
        routes=tuple(
            model.RouteSettings(name=ids.RouteName(name), **dict(route))
            for name, route in parts.routes.items()
        ),
        shed_reply=model.ShedReply(**dict(parts.shed_reply or ())),
        **service,
    )


def _find_other_name(
    source: str,
    service: schema.ServiceSection | None,
) -> Iterator[errors.Problem]:
    published = _PUBLISHED.fullmatch(source)
    if published is None or service is None:
        return
    name = published.group('name')
    if name != service.name:
        yield errors.Problem(
            source,
            'service',
            'name',
            f'{display.quoted(service.name)} is not the name of this file',
            f'Write {display.quoted(name)}, or rename the file',
        )


def _find_shared_addresses(
    source: str,
    targets: Mapping[str, schema.TargetSection],
) -> Iterator[errors.Problem]:
    owners: dict[tuple[str, int], str] = {}
    for name, target in targets.items():
        owner = owners.setdefault((target.ip, target.port), name)
        if owner != name:
            yield errors.Problem(
                source,
                f'target {name}',
                'port',
                f'{target.ip}:{target.port} is the address of '
                f'`[target {owner}]` too',
                'Remove one of them, or correct its address',
            )


def _find_hedged(
    source: str,
    routes: Mapping[str, schema.RouteSection],
) -> Iterator[errors.Problem]:
    for name, route in routes.items():
        if route.hedged and not route.idempotent:
            yield errors.Problem(
                source,
                f'route {name}',
                'hedged',
                'A request that is not idempotent would be sent twice',
                'Write `no`, or say `idempotent = yes` if running it twice '
                'does no harm',
            )
