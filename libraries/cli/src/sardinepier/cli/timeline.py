"""``sardinepier timeline``: the events of all daemons, merged in order."""

import dataclasses
from collections.abc import Sequence
from typing import TypeAlias

import msgspec
from sardinepier.cli import client, context, endpoints, exit_codes, reports
from sardinepier.cli.internal import fan_out, timeline_text
from sardinepier.telemetry import stamps
from sardinepier.telemetry import timeline as rings

_Entries: TypeAlias = tuple[rings.TimelineEntry, ...]
_GatheredTimelines: TypeAlias = fan_out.Gathered[rings.TimelineDocument]


class Dropped(msgspec.Struct, frozen=True):
    """How many of its oldest entries a daemon has discarded."""

    instance_id: str
    entries: int


class TimelineReport(msgspec.Struct, frozen=True):
    """The merged entries; ``dropped`` and ``unanswered`` are the gaps."""

    entries: _Entries
    dropped: tuple[Dropped, ...]
    unanswered: tuple[reports.Unanswered, ...]

    def lines(self) -> tuple[str, ...]:
        """Return a line for each entry."""
        return tuple(map(timeline_text.entry_line, self.entries))

    def diagnostics(self) -> tuple[str, ...]:
        """Return a line for each gap."""
        return (
            *(
                f'{dropped.instance_id}: its {dropped.entries} oldest entries '
                'are gone from its ring.'
                for dropped in self.dropped
            ),
            *map(str, self.unanswered),
        )

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``NO_ANSWER`` when a daemon did not answer."""
        if self.unanswered:
            return exit_codes.ExitCode.NO_ANSWER
        return exit_codes.ExitCode.OK


class FollowedReport(TimelineReport, frozen=True):
    """A timeline whose entries were printed as they arrived."""

    def lines(self) -> tuple[str, ...]:
        """Return nothing: the entries are printed already."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class FollowOptions:
    """How to poll: for how long and how often.

    ``prints_entries`` says whether entries are printed as they arrive.
    """

    for_s: float
    interval_s: float
    prints_entries: bool


async def report(
    daemons: Sequence[endpoints.Endpoint],
    since: stamps.Stamp | None,
    timeout_s: float,
    _: context.Context,
) -> TimelineReport:
    """Ask all ``daemons`` once for their entries after ``since``."""
    async with client.open_session(timeout_s) as session:
        poller = _TimelinePoller(client.DaemonClient(session), daemons, since)
        gathered = await poller.poll()
    return TimelineReport(poller.entries, _dropped(gathered), poller.unanswered)


async def follow(
    daemons: Sequence[endpoints.Endpoint],
    since: stamps.Stamp | None,
    timeout_s: float,
    follow_options: FollowOptions,
    command_context: context.Context,
) -> TimelineReport:
    """Poll all ``daemons`` until ``follow_options.for_s`` has passed.

    Entries are printed in order within each poll only, so a later line may
    have an earlier stamp. The report has all entries in order.
    """
    deadline_s = command_context.clock.monotonic_s() + follow_options.for_s
    async with client.open_session(timeout_s) as session:
        poller = _TimelinePoller(client.DaemonClient(session), daemons, since)
        while True:
            gathered = await poller.poll()
            if follow_options.prints_entries:
                for entry in poller.newest_entries:
                    command_context.write(timeline_text.entry_line(entry))
            remaining_s = deadline_s - command_context.clock.monotonic_s()
            if remaining_s <= 0:
                break
            await command_context.sleep(
                min(remaining_s, follow_options.interval_s)
            )
    report_class = (
        FollowedReport if follow_options.prints_entries else TimelineReport
    )
    return report_class(poller.entries, _dropped(gathered), poller.unanswered)


class _TimelinePoller:
    """Polls all daemons, each for entries newer than those received."""

    def __init__(
        self,
        daemon_client: client.DaemonClient,
        daemons: Sequence[endpoints.Endpoint],
        since: stamps.Stamp | None,
    ) -> None:
        self.newest_entries: _Entries = ()
        self.entries: _Entries = ()
        self._daemon_client = daemon_client
        self._daemons = daemons
        self._since = dict.fromkeys(daemons, since)
        self._unanswered: dict[str, reports.Unanswered] = {}

    @property
    def unanswered(self) -> tuple[reports.Unanswered, ...]:
        """Return the daemons that failed to answer at least once."""
        return tuple(self._unanswered.values())

    async def poll(self) -> _GatheredTimelines:
        gathered = await fan_out.query_all(self._daemons, self._poll_daemon)
        for daemon, answer in gathered.answers.items():
            if answer.entries:
                self._since[daemon] = answer.entries[-1].stamp
        for unanswered in gathered.unanswered:
            self._unanswered[unanswered.daemon] = unanswered
        self.newest_entries = rings.merge(
            *(document.entries for document in gathered.answers.values()),
        )
        self.entries = rings.merge(self.entries, self.newest_entries)
        return gathered

    async def _poll_daemon(
        self,
        daemon: endpoints.Endpoint,
    ) -> rings.TimelineDocument:
        since = self._since[daemon]
        return await self._daemon_client.get(
            daemon,
            '/v1/timeline',
            {} if since is None else {'since': stamps.format_stamp(since)},
            rings.decode,
        )


def _dropped(gathered: _GatheredTimelines) -> tuple[Dropped, ...]:
    return tuple(
        Dropped(document.instance_id, document.dropped)
        for document in gathered.answers.values()
        if document.dropped
    )
