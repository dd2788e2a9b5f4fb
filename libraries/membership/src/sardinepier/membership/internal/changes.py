"""Derives events from the change of a record."""

from sardinepier.core import ids
from sardinepier.membership import events, kinds
from sardinepier.membership.internal import record, table


def is_reportable(change: table.Change) -> bool:
    """Return whether anything but the estimated start time changed."""
    before = change.before
    return before is None or (
        record.status_of(before) != record.status_of(change.after)
    )


def events_of(
    change: table.Change,
    successor: ids.InstanceId | None,
) -> list[events.MemberEvent]:
    """Return the events to report.

    ``successor`` is the instance that replaced a dead member, if there is one.
    """
    possible_events = [
        _joined(change),
        _refuted(change),
        _suspected(change),
        _left(change),
        _died(change, successor),
    ]
    return [event for event in possible_events if event is not None]


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
    unchanged = before is not None and before.liveness is after.liveness
    if unchanged or after.liveness is not kinds.Liveness.SUSPECT:
        return None
    return events.MemberSuspected(after.instance_id, after.incarnation)


def _left(change: table.Change) -> events.MemberEvent | None:
    before, after = change.before, change.after
    unchanged = before is not None and before.leaving
    if unchanged or not after.leaving:
        return None
    return events.MemberLeft(after.instance_id, after.incarnation)


def _died(
    change: table.Change,
    successor: ids.InstanceId | None,
) -> events.MemberEvent | None:
    before, after = change.before, change.after
    unchanged = before is not None and before.is_dead
    if unchanged or not after.is_dead:
        return None
    if successor is None:
        return events.MemberDied(after.instance_id, after.incarnation)
    return events.MemberReplaced(
        after.instance_id,
        after.incarnation,
        successor,
    )
