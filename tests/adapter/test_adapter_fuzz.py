"""Whatever other writers put into entries, the others hold."""

import base64
import json

import store_standin as given
from hypothesis import example, strategies
from hypothesis import given as with_any
from hypothesis import settings
from sardinepier.platform import errors
from sardinepier_adapter import documents

ENTRIES_TRIED = 2000
"""Of each test below: about a second each."""

HUGE_PORT = '9' * 5000
"""More digits than Python turns into a number."""

ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=6,
)
SOME_FIELDS = strategies.dictionaries(
    strategies.sampled_from([*given.worker(), 'born', 'other']),
    ANY_JSON,
    max_size=4,
)


def _value(document):
    return base64.b64encode(json.dumps(document).encode()).decode()


def _target(value):
    """Return the target of an entry, None for one that names none."""
    try:
        return documents.target('servers/i-1', value)
    except errors.PlatformReplyError:
        return None


@with_any(ANY_JSON)
@settings(max_examples=ENTRIES_TRIED)
def test_any_json_is_a_usable_target_or_names_none(document):
    assert _target(_value(document)) is None


@with_any(SOME_FIELDS)
@example({'slots': 10**30, 'warmup_left_s': 10**400})
@example({'address': f'10.0.0.1:{HUGE_PORT}'})
@settings(max_examples=ENTRIES_TRIED)
def test_fields_of_any_type_name_a_sound_target_or_none(changed):
    found = _target(_value(given.worker(**changed)))
    if found is not None:
        assert 0 < found.port < 65536
        assert found.slots >= 1
        assert 0 <= found.warm_in_s <= 86400
        assert found.ip.count('.') == 3


@with_any(strategies.binary(max_size=64) | strategies.text(max_size=64))
@settings(max_examples=ENTRIES_TRIED)
def test_any_bytes_and_any_text_name_no_target(raw):
    value = raw
    if isinstance(raw, bytes):
        value = base64.b64encode(raw).decode()
    assert _target(value) is None
