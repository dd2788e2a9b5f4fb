"""Parsers return a snapshot or raise ``InvalidSettingsError`` for any text."""

from collections.abc import Callable

import hypothesis
import pytest

from sardinepier.settings import errors, parsing
from sardinepier.settings.internal import schema

strategies = hypothesis.strategies

LINES = (
    '[service]',
    '[shed-reply]',
    '[target a]',
    '[target a]',
    '[route r]',
    '[fleet]',
    '[zone z]',
    '[instance]',
    '[DEFAULT]',
    '[]',
    '[ ]',
    '[a]b]',
    'name = v1',
    'status = 5',
    'path = {a}',
    'path = /%s/%(name)s',
    'method = get',
    'idempotent = yes',
    'hedged = yes',
    'deadline_ms = 1e400',
    'port = 99999999999999999999999',
    'seeds = 1.2.3.4: :1 ::',
    'platform_urls = http://[ http://x:99999',
    '= 1',
    'x',
    '\tx = 1',
    '\x0cport = \x00',
    'port = \ud800',
    '   ',
    '# c',
    '; c',
)
KEYS = sorted(
    {
        *schema.FleetSection.model_fields,
        *schema.ZoneSection.model_fields,
        *schema.ServiceSection.model_fields,
        *schema.ShedReplySection.model_fields,
        *schema.TargetSection.model_fields,
        *schema.RouteSection.model_fields,
        *schema.InstanceSection.model_fields,
    },
)
WORDS = strategies.text(
    strategies.characters(exclude_categories=()),
    max_size=20,
)
# Lines with a meaning, mixed with arbitrary text, including surrogates.
TEXTS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(LINES),
        strategies.builds(
            '{} = {}'.format,
            strategies.sampled_from(KEYS),
            WORDS,
        ),
        WORDS,
    ),
    max_size=30,
).map('\n'.join)


@pytest.mark.parametrize(
    'parse',
    [parsing.parse_service, parsing.parse_fleet, parsing.parse_instance],
)
@hypothesis.given(text=TEXTS)
@hypothesis.settings(max_examples=400)
def test_any_text_gives_settings_or_problems(
    parse: Callable[[str, str], object],
    text: str,
) -> None:
    for problem in _problems(parse, text):
        # Problems are printed to terminals and logs.
        assert str(problem).isprintable(), repr(problem)


@pytest.mark.parametrize('key', KEYS)
@pytest.mark.parametrize(
    ('parse', 'title'),
    [
        (parsing.parse_service, 'service'),
        (parsing.parse_service, 'shed-reply'),
        (parsing.parse_service, 'target a'),
        (parsing.parse_service, 'route r'),
        (parsing.parse_fleet, 'fleet'),
        (parsing.parse_fleet, 'zone z'),
        (parsing.parse_instance, 'instance'),
    ],
)
def test_a_bad_value_is_reported_under_its_key(
    parse: Callable[[str, str], object],
    title: str,
    key: str,
) -> None:
    text = f'[{title}]\n{key} = \u00e9 {{'
    found = [
        (problem.section, problem.key) for problem in _problems(parse, text)
    ]
    assert found.count((title, key)) == 1


def _problems(
    parse: Callable[[str, str], object],
    text: str,
) -> tuple[errors.Problem, ...]:
    try:
        parse(text, 'any')
    except errors.InvalidSettingsError as error:
        return error.problems
    return ()
