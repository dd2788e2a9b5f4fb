"""The route table gives the narrowest route, at a cost the path sets."""

import itertools

import hypothesis
import pytest

from sardinepier.core import ids
from sardinepier.settings import errors, model, routes
from sardinepier.settings.internal import overlaps, schema

strategies = hypothesis.strategies

SEGMENTS = ('a', 'b', '*')
WANTED = strategies.sampled_from(SEGMENTS)
SENT = strategies.sampled_from(('a', 'b', 'c'))
# Few words and one length at a time, so that most routes meet each other.
SHAPES = strategies.integers(1, 4).flatmap(
    lambda length: strategies.lists(
        strategies.tuples(*itertools.repeat(WANTED, length)),
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


def fits(shape: tuple[str, ...], segments: tuple[str, ...]) -> bool:
    return len(shape) == len(segments) and all(
        wanted in {'*', segment}
        for wanted, segment in zip(shape, segments, strict=True)
    )


@hypothesis.given(shapes=SHAPES, chosen=strategies.data())
@hypothesis.settings(max_examples=300)
def test_match_gives_the_route_with_the_first_literals(shapes, chosen) -> None:
    words = itertools.repeat(SENT, len(shapes[0]))
    segments = chosen.draw(strategies.tuples(*words))
    shapes = set(shapes)
    table = routes.RouteTable(make_route(template(shape)) for shape in shapes)
    fitting = [shape for shape in shapes if fits(shape, segments)]
    path = f'/{"/".join(segments)}'
    found = table.match('GET', path)
    if not fitting:
        assert found is None
        assert not table.methods_for(path)
        return
    best = min(
        fitting,
        key=lambda shape: [segment == '*' for segment in shape],
    )
    assert found == make_route(template(best))
    assert table.methods_for(path) == ('GET',)


def is_clash(one: tuple[str, ...], two: tuple[str, ...]) -> bool:
    if one == two:
        return True
    overlap = len(one) == len(two) and all(
        '*' in pair or pair[0] == pair[1] for pair in zip(one, two, strict=True)
    )
    narrower = fits(one, two) or fits(two, one)
    return overlap and not narrower


@hypothesis.given(shapes=SHAPES)
@hypothesis.example(shapes=[('a', '*'), ('*', 'b')])
@hypothesis.example(shapes=[('a', '*'), ('*', 'b'), ('a', 'b')])
@hypothesis.example(shapes=[('a', '*', 'a'), ('*', 'b', 'b')])
def test_clashing_paths_are_found_and_no_others(shapes) -> None:
    sections = {
        f'r{position}': schema.RouteSection(
            method='GET',
            path=template(shape),
            idempotent='yes',
            deadline_ms=1,
        )
        for position, shape in enumerate(shapes)
    }
    clashes = [
        {f'route r{first}', f'route r{second}'}
        for first, second in itertools.combinations(range(len(shapes)), 2)
        if is_clash(shapes[first], shapes[second])
    ]
    found = overlaps.find_problems('any', sections)
    named = {problem.section for problem in found}
    # Each clash has one of its routes named, and no other route is named.
    assert all(clash & named for clash in clashes)
    assert named <= set().union(*clashes)


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
        # Another spelling of a literal must not reach the looser route.
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
def test_paths_take_their_route(method, path, expected) -> None:
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
def test_methods_tell_a_wrong_method_from_a_wrong_path(path, expected) -> None:
    assert TABLE.methods_for(path) == expected


def test_a_lookup_takes_no_more_steps_with_more_routes(monkeypatch) -> None:
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


def test_a_table_refuses_routes_that_no_request_tells_apart() -> None:
    with pytest.raises(errors.DuplicateRouteError):
        routes.RouteTable([make_route('/a/{x}'), make_route('/a/{y}')])
