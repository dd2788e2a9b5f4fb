"""Every event of the libraries converts to a time-line event."""

import itertools

import msgspec
import pytest

from sardinepier.daemon.internal import translation
from sardinepier.health import events as health_events
from sardinepier.health import targets
from sardinepier.membership import events as membership_events
from sardinepier.telemetry import events, member_events, target_events

_MEMBER_CASES = (
    (
        membership_events.MemberJoined('d~1', 0, zone='north'),
        member_events.MemberJoined('d~1', zone='north'),
    ),
    (
        membership_events.MemberSuspected('d~1', 1),
        member_events.MemberSuspected('d~1', incarnation=1),
    ),
    (
        membership_events.MemberRefuted('d~1', 2),
        member_events.MemberRefuted('d~1', incarnation=2),
    ),
    (
        membership_events.MemberLeft('d~1', 3),
        member_events.MemberLeft('d~1', incarnation=3),
    ),
    (
        membership_events.MemberDied('d~1', 4),
        member_events.MemberDied('d~1', incarnation=4),
    ),
    (
        membership_events.MemberReplaced('d~1', 5, successor='d~2'),
        member_events.MemberReplaced('d~1', successor='d~2'),
    ),
)


@pytest.mark.parametrize(('change', 'event'), _MEMBER_CASES)
def test_member_events_keep_their_kind_and_fields(change, event):
    assert translation.member_event(change) == event


@pytest.mark.parametrize(
    ('before', 'after', 'reason'),
    tuple(
        itertools.product(
            targets.TargetState,
            targets.TargetState,
            targets.Reason,
        ),
    ),
)
def test_every_target_event_can_be_encoded_and_decoded(before, after, reason):
    change = health_events.TargetChanged(
        'deposits', 't1', before, after, reason, 0.5
    )
    event = translation.target_event(change)
    encoded = msgspec.json.encode(event)
    assert msgspec.json.decode(encoded, type=events.Event) == event


def test_an_ejection_prevented_by_the_floor_has_its_own_event():
    change = health_events.TargetChanged(
        'deposits',
        't1',
        targets.TargetState.IN_SERVICE,
        targets.TargetState.SUSPECT,
        targets.Reason.HELD_BY_FLOOR,
        1.5,
    )
    event = translation.target_event(change)
    assert isinstance(event, target_events.EjectionHeldByFloor)
