"""Adjusts the deadlines of suspects after a pause or an options change."""

from sardinepier.core import clock
from sardinepier.membership import options
from sardinepier.membership.internal import current_options, knowledge, table


def extend(known: knowledge.Knowledge, time_source: clock.Clock) -> None:
    """Restart the timeout of all suspects after a pause of this process."""
    deadline_s = time_source.monotonic_s() + known.options.suspicion_timeout_s
    for entry in known.table.entries():
        if entry.deadline_s is not None:
            entry.deadline_s = deadline_s


def configure(
    known: knowledge.Knowledge,
    membership_options: options.MembershipOptions,
    time_source: clock.Clock,
) -> None:
    """Replace the options and adjust the table and its deadlines.

    A suspect keeps its deadline, or gets a later one if the timeout grew. A
    deadline becomes earlier only if it lies beyond the new timeout plus the
    time that the options need to reach all daemons.
    """
    former_s = known.options.suspicion_timeout_s
    known.options.change(membership_options)
    gained_s = max(known.options.suspicion_timeout_s - former_s, 0)
    latest_s = (
        time_source.monotonic_s()
        + membership_options.suspicion_timeout_s
        + current_options.PROPAGATION_S
    )
    for entry in known.table.entries():
        table.set_ring_count(entry, membership_options.monitored_peers)
        if entry.deadline_s is not None:
            entry.deadline_s = min(entry.deadline_s + gained_s, latest_s)
