"""Finds routes that match the same request without a precedence rule."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Final

from sardinepier.settings import errors
from sardinepier.settings.internal import display, paths, schema

_Segments = tuple[str | None, ...]
_RequestPattern = tuple[str, _Segments]
_Overlap = tuple[str, list[str]]
_Positions = frozenset[int]
_Groups = dict[tuple[str, int], dict[_Positions, list[str]]]
_PATH: Final = 'path'
_MAX_SHOWN_ROUTES: Final = 3


def find_problems(
    source: str,
    routes: Mapping[str, schema.RouteSection],
) -> Iterator[errors.Problem]:
    """Find duplicate routes, and overlapping ones without precedence.

    ``/a/{x}`` and ``/{y}/b`` both match ``/a/b``, and neither is narrower. A
    route ``/a/b`` overlaps both without a problem: it is narrower than each,
    because literal segments take precedence.
    """
    templates = {
        name: paths.parse(route.path) for name, route in routes.items()
    }
    yield from _find_duplicate_routes(source, routes, templates)
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
            for name, overlapping_names in pairs:
                yield _ambiguous(source, name, overlapping_names)


def _find_duplicate_routes(
    source: str,
    routes: Mapping[str, schema.RouteSection],
    templates: Mapping[str, paths.Template],
) -> Iterator[errors.Problem]:
    first_names: dict[_RequestPattern, str] = {}
    for name, route in routes.items():
        request_pattern = (route.method, templates[name].segments)
        first_name = first_names.setdefault(request_pattern, name)
        if first_name != name:
            yield errors.Problem(
                source,
                f'route {name}',
                _PATH,
                f'`[route {first_name}]` has the same method and the same path',
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
    other_names: list[str],
    literal_in_both: list[int],
    templates: Mapping[str, paths.Template],
) -> Iterator[_Overlap]:
    # Two templates overlap when they agree in all positions where both are
    # literal. Indexing by these segments avoids comparing every pair.
    by_segments: dict[_Segments, list[str]] = {}
    for name in names:
        segments = _segments_at(templates[name], literal_in_both)
        by_segments.setdefault(segments, []).append(name)
    for other_name in other_names:
        overlapping_names = by_segments.get(
            _segments_at(templates[other_name], literal_in_both)
        )
        if overlapping_names is not None:
            yield other_name, overlapping_names


def _segments_at(
    template: paths.Template,
    positions: list[int],
) -> _Segments:
    return tuple(template.segments[position] for position in positions)


def _ambiguous(
    source: str, name: str, overlapping_names: list[str]
) -> errors.Problem:
    titles = [
        f'[route {overlapping_name}]'
        for overlapping_name in overlapping_names[:_MAX_SHOWN_ROUTES]
    ]
    if len(overlapping_names) > _MAX_SHOWN_ROUTES:
        titles.append(f'{len(overlapping_names) - _MAX_SHOWN_ROUTES} more')
    return errors.Problem(
        source,
        f'route {name}',
        _PATH,
        f'One request can fit this and {display.listed(titles, "and")}, and '
        f'neither is narrower',
        'Change one of the paths, so that no request fits both',
    )
