"""Rules between the sections of a service file."""

import dataclasses
import re
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors, model
from sardinepier.settings.internal import display, overlaps, schema

_PUBLISHED_SOURCE: Final = re.compile(r'service/(?P<name>[^/]+?)(\.ini)?')


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSections:
    """The sections of a service file that are valid by themselves."""

    service: schema.ServiceSection | None
    shed_reply: schema.ShedReplySection | None
    targets: Mapping[str, schema.TargetSection]
    routes: Mapping[str, schema.RouteSection]


def find_problems(
    source: str, sections: ServiceSections
) -> Iterator[errors.Problem]:
    """Yield a problem for each broken rule between valid sections."""
    yield from _find_name_mismatch(source, sections.service)
    yield from _find_duplicate_addresses(source, sections.targets)
    yield from _find_unsafe_hedging(source, sections.routes)
    yield from overlaps.find_problems(source, sections.routes)


def build(sections: ServiceSections) -> model.ServiceSettings:
    """Build the snapshot from valid sections."""
    service = dict(sections.service or ())
    return model.ServiceSettings(
        targets=tuple(
            model.TargetSettings(target_id=ids.TargetId(name), **dict(target))
            for name, target in sections.targets.items()
        ),
        routes=tuple(
            model.RouteSettings(name=ids.RouteName(name), **dict(route))
            for name, route in sections.routes.items()
        ),
        shed_reply=model.ShedReply(**dict(sections.shed_reply or ())),
        **service,
    )


def _find_name_mismatch(
    source: str,
    service: schema.ServiceSection | None,
) -> Iterator[errors.Problem]:
    published = _PUBLISHED_SOURCE.fullmatch(source)
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


def _find_duplicate_addresses(
    source: str,
    targets: Mapping[str, schema.TargetSection],
) -> Iterator[errors.Problem]:
    first_names: dict[tuple[str, int], str] = {}
    for name, target in targets.items():
        first_name = first_names.setdefault((target.ip, target.port), name)
        if first_name != name:
            yield errors.Problem(
                source,
                f'target {name}',
                'port',
                f'{target.ip}:{target.port} is the address of '
                f'`[target {first_name}]` too',
                'Remove one of them, or correct its address',
            )


def _find_unsafe_hedging(
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
