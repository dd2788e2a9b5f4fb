"""Text form of tickets and keys, and the epoch of a minted ticket."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors, tickets

HOME = ids.InstanceId('d7~00f3a1b2c3d4e5f6')
NONCE = '9f86d081884c7d65'


@hypothesis.given(
    st.from_regex(r'[A-Za-z0-9_.\-]{1,20}~[0-9a-f]{16}', fullmatch=True),
    st.integers(0, 10**9),
    st.from_regex('[0-9a-f]{16}', fullmatch=True),
    st.from_regex(r'[A-Za-z0-9_.:\-]{1,40}', fullmatch=True),
)
def test_formatted_keys_and_tickets_are_parsed_back(home, epoch, nonce, part):
    ticket = tickets.Ticket(ids.InstanceId(home), epoch, nonce)
    key = tickets.RequestKey(ticket, part)
    assert tickets.parse_ticket(tickets.format_ticket(ticket)) == ticket
    assert tickets.parse_key(tickets.format_key(key)) == key
    assert tickets.parse_key(f'"{tickets.format_key(key)}"') == key


@pytest.mark.parametrize(
    'text',
    [
        '',
        'a-key-of-its-own',
        f'{HOME}.3.{NONCE}',
        f'{HOME}.3.{NONCE}.',
        f'{HOME}.03.{NONCE}.part',
        f'{HOME}.\u0663.{NONCE}.part',
        f'{HOME}.-1.{NONCE}.part',
        f'{HOME}.3.{NONCE}.two words',
        f'{HOME}.3.{NONCE}.{"x" * 129}',
        f'{HOME}.3.{NONCE.upper()}.part',
        f'"{HOME}.3.{NONCE}.part',
        f'd7.3.{NONCE}.part',
    ],
)
def test_malformed_keys_are_rejected(text):
    with pytest.raises(errors.BadKeyError):
        tickets.parse_key(text)


@hypothesis.given(st.floats(0, 1e6), st.floats(0, 1e6), st.floats(0.1, 1e4))
def test_a_late_estimate_of_the_start_time_never_gives_a_later_epoch(
    age_s,
    late_s,
    epoch_s,
):
    clock = clocks.ManualClock(age_s)
    source = random.Random(1)
    exact = tickets.mint(HOME, 0, epoch_s, clock, source)
    estimated = tickets.mint(HOME, late_s, epoch_s, clock, source)
    assert estimated.epoch <= exact.epoch
    assert estimated.nonce != exact.nonce
