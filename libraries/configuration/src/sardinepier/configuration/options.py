"""The options of a distributor, with defaults."""

import dataclasses

from sardinepier.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class DistributorOptions:
    """Intervals, timeouts and limits of the requests.

    ``watchers_per_zone`` applies until a fleet file is in force, which has
    its own setting. A change is pushed to ``fanout`` peers, after
    ``change_delay_s`` in which further changes join it. At most
    ``pulls_in_flight`` files and ``tables_in_flight`` tables are requested
    from peers at a time, each with a timeout of ``answer_timeout_s``.

    A starting daemon waits up to ``peer_wait_s`` for answers of its peers
    before it reads from the platform, and up to ``peer_fetch_s`` while files
    still arrive from them. A watch request lasts up to ``watch_s``. The next
    reader of a file follows after ``stagger_s`` if the one before it fails.

    A daemon that is no watcher also lists the files periodically, in case
    all watchers are cut off from the platform. The interval is ``audit_s``,
    or ``audit_per_member_s`` times the number of members if that is longer,
    so that the request rate does not grow with the fleet. A daemon that has
    received nothing from any peer for ``silence_s`` lists before that.

    A watcher reads its share of the instance list about every ``instances_s``
    and, every ``daemons_s``, the list of daemons, whose only use is to
    reconnect separated daemons.

    Failed calls are retried after ``backoff_min_s`` to ``backoff_max_s``. A
    rejected revision is read again after ``recheck_s``. ``refresh`` queries
    at most once every ``refresh_s``.
    """

    watchers_per_zone: int = 2
    fanout: int = 4
    pulls_in_flight: int = 4
    tables_in_flight: int = 4
    answer_timeout_s: float = 0.3
    change_delay_s: float = 0.02
    peer_wait_s: float = 1.0
    peer_fetch_s: float = 10.0
    watch_s: float = 20.0
    stagger_s: float = 0.15
    audit_s: float = 10.0
    audit_per_member_s: float = 1.0
    silence_s: float = 5.0
    instances_s: float = 1.0
    daemons_s: float = 10.0
    backoff_min_s: float = 0.25
    backoff_max_s: float = 5.0
    recheck_s: float = 60.0
    refresh_s: float = 0.2

    def __post_init__(self) -> None:
        """Raise ``InvalidArgumentError`` for a number that is not above 0."""
        for field in dataclasses.fields(self):
            _check_above_zero(field.name, getattr(self, field.name))


def _check_above_zero(name: str, number: float) -> None:
    if number > 0:
        return
    raise errors.InvalidArgumentError(
        f'{name} is {number}',
        'Pass a number above 0',
    )
