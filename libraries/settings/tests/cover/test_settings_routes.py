"""Lookups find the narrowest route, at a cost that depends on the path only."""

import itertools

import hypothesis
import pytest

from sardinepier.core import ids
from sardinepier.settings import errors, model, routes
from sardinepier.settings.internal import overlaps, schema

strategies = hypothesis.strategies

SEGMENTS = ('a', 'b', '*')
TEMPLATE_SEGMENTS = strategies.sampled_from(SEGMENTS)
REQUEST_SEGMENTS = strategies.sampled_from(('a', 'b', 'c'))
# Few segments and one length for all shapes, so that most routes overlap.
SHAPES = strategies.integers(1, 4).flatmap(
    lambda length: strategies.lists(
        strategies.tuples(*itertools.repeat(TEMPLATE_SEGMENTS, length)),
        min_size=1,
        max_size=12,
    ),
)


def make_route(path: str, method: str = 'GET') -> model.RouteSettings:
    return model.RouteSettings(
        name=ids.RouteName(f'{method} {path}'),
        method=method,
        path=path,
        idempotent=True,
        priority=model.Priority.NORMAL,
        deadline_ms=1,
        hedged=False,
    )


def template(shape: tuple[str, ...]) -> str:
    names = (f'{{p{position}}}' for position in itertools.count())
    return ''.join(
        f'/{next(names) if segment == "*" else segment}' for segment in shape
    )


def matches(shape: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    return len(shape) == len(segments) and all(
        template_segment in {'*', segment}
        for template_segment, segment in zip(shape, segments, strict=True)
    )


@hypothesis.given(shapes=SHAPES, draws=strategies.data())
@hypothesis.settings(max_examples=300)
def test_match_prefers_the_earliest_literals(shapes, draws) -> None:
    segment_strategies = itertools.repeat(REQUEST_SEGMENTS, len(shapes[0]))
    segments = draws.draw(strategies.tuples(*segment_strategies))
    shapes = set(shapes)
    table = routes.RouteTable(make_route(template(shape)) for shape in shapes)
    matching_shapes = [shape for shape in shapes if matches(shape, segments)]
    path = f'/{"/".join(segments)}'
    found = table.match('GET', path)
    if not matching_shapes:
        assert found is None
        assert not table.methods_for(path)
        return
    best = min(
        matching_shapes,
        key=lambda shape: [segment == '*' for segment in shape],
    )
    assert found == make_route(template(best))
    assert table.methods_for(path) == ('GET',)


def is_ambiguous(first: tuple[str, ...], second: tuple[str, ...]) -> bool:
    if first == second:
        return True
    is_overlapping = len(first) == len(second) and all(
        '*' in pair or pair[0] == pair[1]
        for pair in zip(first, second, strict=True)
    )
    is_narrower = matches(first, second) or matches(second, first)
    return is_overlapping and not is_narrower


@hypothesis.given(shapes=SHAPES)
@hypothesis.example(shapes=[('a', '*'), ('*', 'b')])
@hypothesis.example(shapes=[('a', '*'), ('*', 'b'), ('a', 'b')])
@hypothesis.example(shapes=[('a', '*', 'a'), ('*', 'b', 'b')])
def test_exactly_the_ambiguous_routes_are_reported(shapes) -> None:
    sections = {
        f'r{position}': schema.RouteSection(
            method='GET',
            path=template(shape),
            idempotent='yes',
            deadline_ms=1,
        )
        for position, shape in enumerate(shapes)
    }
    conflicts = [
        {f'route r{first}', f'route r{second}'}
        for first, second in itertools.combinations(range(len(shapes)), 2)
        if is_ambiguous(shapes[first], shapes[second])
    ]
    found = overlaps.find_problems('any', sections)
    reported = {problem.section for problem in found}
    # Each conflict has one of its routes reported, and no other is reported.
    assert all(conflict & reported for conflict in conflicts)
    assert reported <= set().union(*conflicts)


TABLE = routes.RouteTable(
    [
        make_route('/'),
        make_route('/deposits', 'POST'),
        make_route('/{kind}', 'POST'),
        make_route('/theses/{id}'),
        make_route('/theses/{id}', 'PUT'),
        make_route('/theses/'),
    ],
)


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', '/', '/'),
        ('POST', '/deposits', '/deposits'),
        # An encoded literal must not match the route with a parameter.
        ('POST', '/%64eposits', '/deposits'),
        ('POST', '/d%65posit%73', '/deposits'),
        ('POST', '/waivers', '/{kind}'),
        ('POST', '/x%2Fdeposits', None),
        ('POST', '/x%5cdeposits', None),
        ('POST', r'/x\deposits', None),
        ('POST', '/%2e%2E', None),
        ('POST', '/.', None),
        ('POST', '/', None),
        ('POST', '', None),
        ('POST', 'deposits', None),
        ('POST', '//deposits', None),
        ('GET', '/theses/10.1%20a', '/theses/{id}'),
        ('GET', '/theses/', '/theses/'),
        ('GET', '/theses/1/', None),
        ('GET', '/theses/1/../2', None),
        ('get', '/theses/1', None),
        ('GET', '/%zz%', None),
        ('GET', '/theses/%ff', '/theses/{id}'),
        ('GET', '/a' * 10_000, None),
    ],
)
def test_paths_match_their_route(method, path, expected) -> None:
    found = TABLE.match(method, path)
    assert (found and found.path) == expected


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/theses/1', ('GET', 'PUT')),
        ('/deposits', ('POST',)),
        ('/theses/1/2', ()),
        ('/theses/..', ()),
    ],
)
def test_methods_distinguish_wrong_methods_from_unknown_paths(
    path, expected
) -> None:
    assert TABLE.methods_for(path) == expected


def test_lookup_steps_do_not_depend_on_the_number_of_routes(
    monkeypatch,
) -> None:
    steps = []
    find = routes._find
    monkeypatch.setattr(
        routes,
        '_find',
        lambda *arguments: steps.append(1) or find(*arguments),
    )
    counts = set()
    for size in (1, 100, 10_000):
        table = routes.RouteTable(
            make_route(f'/s{number}/{{id}}/end') for number in range(size)
        )
        steps.clear()
        assert table.match('GET', '/s0/x/end') is not None
        counts.add(len(steps))
    assert counts == {4}


def test_a_table_rejects_duplicate_routes() -> None:
    with pytest.raises(errors.DuplicateRouteError):
        routes.RouteTable([make_route('/a/{x}'), make_route('/a/{y}')])
