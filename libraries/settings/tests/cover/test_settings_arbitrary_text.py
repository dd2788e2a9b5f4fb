"""Whatever the text, a parser gives a snapshot or the one typed error."""

from collections.abc import Callable

import hypothesis
import pytest

from sardinepier.settings import errors, parsing

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
# Lines that mean something, mixed with any text at all, surrogates too.
TEXTS = strategies.lists(
    strategies.one_of(
        strategies.sampled_from(LINES),
        strategies.text(
            strategies.characters(exclude_categories=()),
            max_size=20,
        ),
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
    try:
        parse(text, 'any')
    except errors.InvalidSettingsError as error:
        assert error.problems
        for problem in error.problems:
            # Every line must be fit for a terminal and a log.
            assert str(problem).isprintable(), repr(problem)
