"""The settings of a distributor, with a default for each."""

import dataclasses

from sardinepier.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class DistributorOptions:
    """How often and how much is asked.

    ``watchers_per_zone`` holds until a fleet file is in force, which has its
    own figure. ``fanout`` peers hear of a change at once. At most
    ``pulls_in_flight`` files and ``tables_in_flight`` tables are awaited from
    peers, each for ``answer_timeout_s``.

    ``peer_wait_s`` is how long a starting daemon lets its peers answer before
    it takes anything from the platform, and ``peer_fetch_s`` while their
    files still come in. A watch is held for ``watch_s``.
    Another reader follows after ``stagger_s`` if the first one fails.

    A daemon that does not watch lists the files too, now and then, in case
    all watchers are cut off from the platform: at least every ``audit_s``,
    and rarer in a large fleet, with ``audit_per_member_s`` for each member,
    so that the rate of the whole fleet is the same at every size. One that
    has heard of no peer for ``silence_s`` no longer waits for that.

    A watcher reads its share of the instance list about every ``instances_s``
    and the list of daemons, which only helps parted daemons to meet again,
    every ``daemons_s``.
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
        """Raise ``InvalidArgumentError`` for a figure that is not above 0."""
        for field in dataclasses.fields(self):
            _check_above_zero(field.name, getattr(self, field.name))


def _check_above_zero(name: str, figure: float) -> None:
    if figure > 0:
        return
    raise errors.InvalidArgumentError(
        f'{name} is {figure}',
        'Pass a figure above 0',
    )
