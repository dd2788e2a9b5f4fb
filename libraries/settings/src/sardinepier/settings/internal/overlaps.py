"""Routes that the same request would fit, with nothing to choose by."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.settings import errors
from sardinepier.settings.internal import display, paths, schema

_Segments = tuple[str | None, ...]
_Shape = tuple[str, _Segments]
_Clash = tuple[str, list[str]]
_Positions = frozenset[int]
_Groups = dict[tuple[str, int], dict[_Positions, list[str]]]
_PATH: Final = 'path'
_SHOWN_RIVALS: Final = 3


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
            for name, rivals in pairs:
                yield _ambiguous(source, name, rivals)


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
) -> Iterator[_Clash]:
    # Two templates fit a common path when they agree wherever both are
    # literal. A lookup by these segments spares comparing every pair.
    by_segments: dict[_Segments, list[str]] = {}
    for name in names:
        segments = _chosen(templates[name], common)
        by_segments.setdefault(segments, []).append(name)
    for other in others:
        rivals = by_segments.get(_chosen(templates[other], common))
        if rivals is not None:
            yield other, rivals


def _chosen(
    template: paths.Template,
    positions: list[int],
) -> _Segments:
    return tuple(template.segments[position] for position in positions)


def _ambiguous(source: str, name: str, rivals: list[str]) -> errors.Problem:
    titles = [f'[route {rival}]' for rival in rivals[:_SHOWN_RIVALS]]
    if len(rivals) > _SHOWN_RIVALS:
        titles.append(f'{len(rivals) - _SHOWN_RIVALS} more')
    return errors.Problem(
        source,
        f'route {name}',
        _PATH,
        f'One request can fit this and {display.listed(titles, "and")}, and '
        f'neither is narrower',
        'Change one of the paths, so that no request fits both',
    )
