"""Routes that the same request would fit, with nothing to choose by."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.settings import errors
from sardinepier.settings.internal import display, paths, schema

_Shape = tuple[str, tuple[str | None, ...]]
_Positions = frozenset[int]
_Groups = dict[tuple[str, int], dict[_Positions, list[str]]]
_PATH: Final = 'path'


def find_problems(
    source: str,
    routes: Mapping[str, schema.RouteSection],
) -> Iterator[errors.Problem]:
    """Find routes with one shape, and pairs of which neither is narrower.

    ``/a/{x}`` and ``/{y}/b`` both fit ``/a/b``. ``/a/b`` beside them is fine:
    it is narrower than each, because literal segments go first.
    """
    templates = {
        name: paths.parse(route.path) for name, route in routes.items()
    }
    yield from _find_repeated(source, routes, templates)
    for group in _grouped(routes, templates).values():
        for first, second in itertools.combinations(group, 2):
            if first <= second or second <= first:
                continue
            pairs = _overlapping(
                group[first],
                group[second],
                sorted(first & second),
                templates,
            )
            for name, other in pairs:
                yield _ambiguous(source, name, other, routes)


def _find_repeated(
    source: str,
    routes: Mapping[str, schema.RouteSection],
    templates: Mapping[str, paths.Template],
) -> Iterator[errors.Problem]:
    owners: dict[_Shape, str] = {}
    for name, route in routes.items():
        shape = (route.method, templates[name].segments)
        owner = owners.setdefault(shape, name)
        if owner != name:
            yield errors.Problem(
                source,
                f'route {name}',
                _PATH,
                f'`[route {owner}]` has the same method and the same path',
                'Remove one of them, or change its path',
            )


def _grouped(
    routes: Mapping[str, schema.RouteSection],
    templates: Mapping[str, paths.Template],
) -> _Groups:
    groups: _Groups = {}
    for name, route in routes.items():
        template = templates[name]
        group = groups.setdefault((route.method, len(template.segments)), {})
        group.setdefault(template.literal_positions(), []).append(name)
    return groups


def _overlapping(
    names: list[str],
    others: list[str],
    common: list[int],
    templates: Mapping[str, paths.Template],
) -> Iterator[tuple[str, str]]:
    # Two templates fit a common path when they agree wherever both are
    # literal. A lookup by these segments spares comparing every pair.
    by_segments = {_chosen(templates[name], common): name for name in names}
    for other in others:
        name = by_segments.get(_chosen(templates[other], common))
        if name is not None:
            yield name, other


def _chosen(
    template: paths.Template,
    positions: list[int],
) -> tuple[str | None, ...]:
    return tuple(template.segments[position] for position in positions)


def _ambiguous(
    source: str,
    name: str,
    other: str,
    routes: Mapping[str, schema.RouteSection],
) -> errors.Problem:
    return errors.Problem(
        source,
        f'route {other}',
        _PATH,
        f'A request can fit this and `[route {name}]` with '
        f'{display.quoted(routes[name].path)}, and neither is narrower',
        'Change one of the paths, so that no request fits both',
    )
