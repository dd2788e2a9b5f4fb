"""``sardinepier timeline``: the events of all daemons in one order."""

import dataclasses
from collections.abc import Sequence
from typing import TypeAlias

import msgspec
from sardinepier.cli import client, context, endpoints, exit_codes, reports
from sardinepier.cli.internal import fan_out, timeline_text
from sardinepier.telemetry import stamps
from sardinepier.telemetry import timeline as rings

_Entries: TypeAlias = tuple[rings.TimelineEntry, ...]
_Asked: TypeAlias = fan_out.Gathered[rings.TimelineDocument]


class Dropped(msgspec.Struct, frozen=True):
    """How many of its oldest entries a daemon no longer has."""

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
                f'{each.instance_id}: its {each.entries} oldest entries '
                'are gone from its ring.'
                for each in self.dropped
            ),
            *map(str, self.unanswered),
        )

    def exit_code(self) -> exit_codes.ExitCode:
        """A daemon without an answer makes the time line partial."""
        if self.unanswered:
            return exit_codes.ExitCode.NO_ANSWER
        return exit_codes.ExitCode.OK


class FollowedReport(TimelineReport, frozen=True):
    """A time line whose entries were written while they came in."""

    def lines(self) -> tuple[str, ...]:
        """Return nothing: the lines have been written."""
        return ()


@dataclasses.dataclass(frozen=True, slots=True)
class FollowOptions:
    """How to keep asking: for how long, how often, and where to write.

    ``prints_entries`` says whether entries are written while they come in.
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
        asker = _Asker(client.DaemonClient(session), daemons, since)
        gathered = await asker.ask()
    return TimelineReport(asker.entries, _dropped(gathered), asker.unanswered)


async def follow(
    daemons: Sequence[endpoints.Endpoint],
    since: stamps.Stamp | None,
    timeout_s: float,
    follow_options: FollowOptions,
    around: context.Context,
) -> TimelineReport:
    """Keep asking all ``daemons`` until the time is over.

    Each round is merged for itself, so a line written later may carry an
    earlier stamp; the report holds all entries in their order.
    """
    deadline_s = around.clock.monotonic_s() + follow_options.for_s
    async with client.open_session(timeout_s) as session:
        asker = _Asker(client.DaemonClient(session), daemons, since)
        while True:
            gathered = await asker.ask()
            if follow_options.prints_entries:
                for entry in asker.newest:
                    around.write(timeline_text.entry_line(entry))
            left_s = deadline_s - around.clock.monotonic_s()
            if left_s <= 0:
                break
            await around.sleep(min(left_s, follow_options.interval_s))
    kind = FollowedReport if follow_options.prints_entries else TimelineReport
    return kind(asker.entries, _dropped(gathered), asker.unanswered)


class _Asker:
    """Asks all daemons again and again, each for what it has not told."""

    def __init__(
        self,
        asking: client.DaemonClient,
        daemons: Sequence[endpoints.Endpoint],
        since: stamps.Stamp | None,
    ) -> None:
        self.newest: _Entries = ()
        self.entries: _Entries = ()
        self._asking = asking
        self._daemons = daemons
        self._since = dict.fromkeys(daemons, since)
        self._unanswered: dict[str, reports.Unanswered] = {}

    @property
    def unanswered(self) -> tuple[reports.Unanswered, ...]:
        """Return the daemons that failed to answer at least once."""
        return tuple(self._unanswered.values())

    async def ask(self) -> _Asked:
        gathered = await fan_out.ask_all(self._daemons, self._ask_one)
        for daemon, answer in gathered.answers.items():
            if answer.entries:
                self._since[daemon] = answer.entries[-1].stamp
        for unanswered in gathered.unanswered:
            self._unanswered[unanswered.daemon] = unanswered
        self.newest = rings.merge(
            *(document.entries for document in gathered.answers.values()),
        )
        self.entries = rings.merge(self.entries, self.newest)
        return gathered

    async def _ask_one(
        self,
        daemon: endpoints.Endpoint,
    ) -> rings.TimelineDocument:
        since = self._since[daemon]
        return await self._asking.get(
            daemon,
            '/v1/timeline',
            {} if since is None else {'since': stamps.format_stamp(since)},
            rings.decode,
        )


def _dropped(gathered: _Asked) -> tuple[Dropped, ...]:
    return tuple(
        Dropped(document.instance_id, document.dropped)
        for document in gathered.answers.values()
        if document.dropped
    )
