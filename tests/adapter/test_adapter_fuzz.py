"""An entry with any content is either a valid target or rejected."""

import base64
import json

import store_standin
from hypothesis import example, given, settings, strategies
from sardinepier.platform import errors
from sardinepier_adapter import documents

MAX_EXAMPLES = 2000
"""Examples per test, which take about a second."""

HUGE_PORT = '9' * 5000
"""More digits than Python converts to an integer."""

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
    strategies.sampled_from([*store_standin.worker(), 'born', 'other']),
    ANY_JSON,
    max_size=4,
)


def _value(document):
    return base64.b64encode(json.dumps(document).encode()).decode()


def _target(value):
    """Return the target of an entry, None for a rejected entry."""
    try:
        return documents.decode_target('servers/i-1', value)
    except errors.PlatformReplyError:
        return None


@given(ANY_JSON)
@settings(max_examples=MAX_EXAMPLES)
def test_any_json_is_rejected(document):
    assert _target(_value(document)) is None


@given(SOME_FIELDS)
@example({'slots': 10**30, 'warmup_left_s': 10**400})
@example({'address': f'10.0.0.1:{HUGE_PORT}'})
@settings(max_examples=MAX_EXAMPLES)
def test_fields_of_any_type_give_a_valid_target_or_none(overrides):
    found = _target(_value(store_standin.worker(**overrides)))
    if found is not None:
        assert 0 < found.port < 65536
        assert found.slots >= 1
        assert 0 <= found.warm_in_s <= 86400
        assert found.ip.count('.') == 3


@given(strategies.binary(max_size=64) | strategies.text(max_size=64))
@settings(max_examples=MAX_EXAMPLES)
def test_any_bytes_and_any_text_are_rejected(raw):
    value = raw
    if isinstance(raw, bytes):
        value = base64.b64encode(raw).decode()
    assert _target(value) is None
