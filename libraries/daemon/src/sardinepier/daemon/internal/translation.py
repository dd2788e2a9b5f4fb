"""Converts events of the libraries to time-line events."""

from sardinepier.health import events as health_events
from sardinepier.health import targets
from sardinepier.membership import events as membership_events
from sardinepier.telemetry import events, member_events, target_events

_States = targets.TargetState


def member_event(
    event: membership_events.MemberEvent,
) -> events.Event:
    """Return the time-line event of a membership change."""
    member = event.instance_id
    match event:
        case membership_events.MemberJoined():
            return member_events.MemberJoined(member=member, zone=event.zone)
        case membership_events.MemberSuspected():
            return member_events.MemberSuspected(
                member=member,
                incarnation=event.incarnation,
            )
        case membership_events.MemberRefuted():
            return member_events.MemberRefuted(
                member=member,
                incarnation=event.incarnation,
            )
        case membership_events.MemberReplaced():
            return member_events.MemberReplaced(
                member=member,
                successor=event.successor,
            )
        case membership_events.MemberLeft():
            return member_events.MemberLeft(
                member=member,
                incarnation=event.incarnation,
            )
    return member_events.MemberDied(
        member=member,
        incarnation=event.incarnation,
    )


def target_event(event: health_events.TargetChanged) -> events.Event:
    """Return the time-line event of a change of a target's state."""
    service, target_id = event.service, event.target_id
    reason = event.reason.value
    if event.reason is targets.Reason.HELD_BY_FLOOR:
        return target_events.EjectionHeldByFloor(
            service,
            target_id,
            reason=reason,
            evidence=event.score,
        )
    if event.reason is targets.Reason.OWN_EVIDENCE:
        return target_events.TargetAvoided(service, target_id, reason=reason)
    match event.after:
        case _States.EJECTED:
            return target_events.TargetEjected(
                service,
                target_id,
                reason=reason,
                evidence=event.score,
            )
        case _States.SUSPECT:
            return target_events.TargetSuspected(
                service,
                target_id,
                reason=reason,
                evidence=event.score,
            )
        case _States.TRIAL:
            return target_events.TargetTrialStarted(service, target_id)
        case _States.LEAVING:
            return target_events.TargetLeaving(service, target_id)
        case _States.COLD:
            return target_events.TargetCold(service, target_id)
    return _in_service_event(event)


def _in_service_event(event: health_events.TargetChanged) -> events.Event:
    if event.before is _States.SUSPECT:
        return target_events.TargetCleared(
            event.service,
            event.target_id,
            evidence=event.score,
        )
    return target_events.TargetReadmitted(
        event.service,
        event.target_id,
        evidence=event.score,
    )
