"""The union of all timeline events, for encoding and decoding.

The event classes are defined by subject in ``daemon_events``,
``member_events``, ``file_events`` and ``target_events``. The JSON form of an
event is an object whose ``kind`` is the name of the class.
"""

import msgspec
from sardinepier.telemetry import (
    daemon_events,
    file_events,
    member_events,
    target_events,
)

Event = (
    daemon_events.DaemonStarted
    | daemon_events.DaemonDraining
    | daemon_events.DaemonStopped
    | daemon_events.WakeGapSeen
    | daemon_events.RequestRefused
    | daemon_events.PeerClockRefused
    | daemon_events.MessageRejected
    | daemon_events.UnknownEvent
    | member_events.MemberJoined
    | member_events.MemberSuspected
    | member_events.MemberRefuted
    | member_events.MemberLeft
    | member_events.MemberDied
    | member_events.MemberReplaced
    | file_events.FileAccepted
    | file_events.FileRejected
    | file_events.FileStale
    | file_events.FileDeleted
    | file_events.PlatformFailed
    | file_events.PlatformRecovered
    | target_events.TargetSuspected
    | target_events.TargetCleared
    | target_events.TargetEjected
    | target_events.EjectionHeldByFloor
    | target_events.TargetAvoided
    | target_events.TargetTrialStarted
    | target_events.TargetReadmitted
    | target_events.TargetLeaving
    | target_events.TargetCold
    | target_events.FingerprintQuarantined
)


def kind_of(event: Event) -> str:
    """Return the event's ``kind`` as in its JSON form."""
    return type(event).__name__


def fields_of(event: Event) -> dict[str, object]:
    """Return the event's fields without ``kind``, in declaration order."""
    fields = dict(msgspec.structs.asdict(event))
    return {name: fields[name] for name in event.__struct_fields__}
