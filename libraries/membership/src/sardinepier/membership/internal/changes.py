"""Which events follow from a change of a record."""

from sardinepier.core import ids
from sardinepier.membership import events, kinds
from sardinepier.membership.internal import record, table


def is_reportable(change: table.Change) -> bool:
    """Tell whether more than the estimate of the start changed."""
    before = change.before
    return before is None or (
        record.standing(before) != record.standing(change.after)
    )


def events_of(
    change: table.Change,
    successor: ids.InstanceId | None,
) -> list[events.MemberEvent]:
    """Return what to report; ``successor`` answers in a dead one's place."""
    found = [
        _joined(change),
        _refuted(change),
        _suspected(change),
        _left(change),
        _died(change, successor),
    ]
    return [event for event in found if event is not None]


def _joined(change: table.Change) -> events.MemberEvent | None:
    after = change.after
    if change.before is not None:
        return None
    return events.MemberJoined(
        after.instance_id,
        after.incarnation,
        after.identity.zone,
    )


def _refuted(change: table.Change) -> events.MemberEvent | None:
    before, after = change.before, change.after
    if before is None or before.liveness <= after.liveness:
        return None
    return events.MemberRefuted(after.instance_id, after.incarnation)


def _suspected(change: table.Change) -> events.MemberEvent | None:
    before, after = change.before, change.after
    already = before is not None and before.liveness is after.liveness
    if already or after.liveness is not kinds.Liveness.SUSPECT:
        return None
    return events.MemberSuspected(after.instance_id, after.incarnation)


def _left(change: table.Change) -> events.MemberEvent | None:
    before, after = change.before, change.after
    already = before is not None and before.leaving
    if already or not after.leaving:
        return None
    return events.MemberLeft(after.instance_id, after.incarnation)


def _died(
    change: table.Change,
    successor: ids.InstanceId | None,
) -> events.MemberEvent | None:
    before, after = change.before, change.after
    already = before is not None and before.is_dead
    if already or not after.is_dead:
        return None
    if successor is None:
        return events.MemberDied(after.instance_id, after.incarnation)
    return events.MemberReplaced(
        after.instance_id,
        after.incarnation,
        successor,
    )
