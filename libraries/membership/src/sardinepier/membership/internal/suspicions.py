"""Deadlines of suspects where time or the options jump."""

from sardinepier.core import clock
from sardinepier.membership import options
from sardinepier.membership.internal import current_options, knowledge, table


def extend(known: knowledge.Knowledge, time_source: clock.Clock) -> None:
    """Give all suspects their whole time again, after a pause here."""
    deadline_s = time_source.monotonic_s() + known.bounds.suspicion_timeout_s
    for entry in known.table.entries():
        if entry.deadline_s is not None:
            entry.deadline_s = deadline_s


def configure(
    known: knowledge.Knowledge,
    bounds: options.MembershipOptions,
    time_source: clock.Clock,
) -> None:
    """Put other options in force for the table and its deadlines.

    Who is suspected keeps the time that it was given, or gets more. Only a
    deadline beyond all that holds from now on is brought forward.
    """
    former_s = known.bounds.suspicion_timeout_s
    known.bounds.change(bounds)
    gained_s = max(known.bounds.suspicion_timeout_s - former_s, 0)
    latest_s = (
        time_source.monotonic_s()
        + bounds.suspicion_timeout_s
        + current_options.SPREAD_S
    )
    for entry in known.table.entries():
        table.change_rings(entry, bounds.monitored_peers)
        if entry.deadline_s is not None:
            entry.deadline_s = min(entry.deadline_s + gained_s, latest_s)
