"""``sardinepier status``: the status of each daemon, and the totals."""

import functools
from collections.abc import Sequence

import msgspec
from sardinepier.cli import (
    client,
    context,
    endpoints,
    errors,
    exit_codes,
    reports,
)
from sardinepier.cli.internal import fan_out, status_text
from sardinepier.telemetry import errors as telemetry_errors
from sardinepier.telemetry import status as documents
from sardinepier.telemetry import summaries


class Totals(msgspec.Struct, frozen=True):
    """The merged outcomes and latencies of all daemons that answered."""

    outcomes: tuple[documents.OutcomeCount, ...]
    latencies: tuple[documents.LatencySummary, ...]


class StatusReport(msgspec.Struct, frozen=True):
    """The document of each daemon that answered, and who did not."""

    daemons: tuple[documents.DaemonStatus, ...]
    totals: Totals
    unanswered: tuple[reports.Unanswered, ...]

    def lines(self) -> tuple[str, ...]:
        """Return a block for each daemon and one for the totals."""
        lines: list[str] = []
        for daemon in self.daemons:
            lines.extend(status_text.daemon_lines(daemon))
            lines.append('')
        answered = len(self.daemons)
        requested = answered + len(self.unanswered)
        lines.append(f'{answered} of {requested} daemons answered')
        lines.extend(
            status_text.traffic_lines(
                self.totals.outcomes,
                self.totals.latencies,
            ),
        )
        return tuple(lines)

    def diagnostics(self) -> tuple[str, ...]:
        """Return a line for each daemon that did not answer."""
        return tuple(map(str, self.unanswered))

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``NO_ANSWER`` when a daemon did not answer."""
        if self.unanswered:
            return exit_codes.ExitCode.NO_ANSWER
        return exit_codes.ExitCode.OK


async def report(
    daemons: Sequence[endpoints.Endpoint],
    timeout_s: float,
    _: context.Context,
) -> StatusReport:
    """Ask all ``daemons``.

    Raises ``BadAnswerError`` when their histograms can't be merged.
    """
    async with client.open_session(timeout_s) as session:
        fetch_status = functools.partial(
            client.DaemonClient(session).get,
            path='/v1/status',
            query={},
            decode=documents.decode,
        )
        gathered = await fan_out.query_all(daemons, fetch_status)
    answered = tuple(gathered.answers.values())
    return StatusReport(answered, _totals(answered), gathered.unanswered)


def _totals(answered: Sequence[documents.DaemonStatus]) -> Totals:
    try:
        latencies = summaries.merge_latencies(
            summary for daemon in answered for summary in daemon.latencies
        )
    except telemetry_errors.BadHistogramError as error:
        raise errors.BadAnswerError(error.what, error.remedy) from error
    outcomes = summaries.merge_outcomes(
        count for daemon in answered for count in daemon.outcomes
    )
    return Totals(outcomes, latencies)
