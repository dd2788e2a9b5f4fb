"""``sardinepier status``: what each daemon says, and the sum of all."""

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
    """The outcomes and latencies of all daemons that answered."""

    outcomes: tuple[documents.OutcomeCount, ...]
    latencies: tuple[documents.LatencySummary, ...]


class StatusReport(msgspec.Struct, frozen=True):
    """One document for each daemon that answered, and the rest."""

    daemons: tuple[documents.DaemonStatus, ...]
    totals: Totals
    unanswered: tuple[reports.Unanswered, ...]

    def lines(self) -> tuple[str, ...]:
        """Return a block for each daemon and one for the sum."""
        written: list[str] = []
        for each in self.daemons:
            written.extend(status_text.daemon_lines(each))
            written.append('')
        answered = len(self.daemons)
        asked = answered + len(self.unanswered)
        written.append(f'{answered} of {asked} daemons answered')
        written.extend(
            status_text.traffic_lines(
                self.totals.outcomes,
                self.totals.latencies,
            ),
        )
        return tuple(written)

    def diagnostics(self) -> tuple[str, ...]:
        """Return a line for each daemon that did not answer."""
        return tuple(map(str, self.unanswered))

    def exit_code(self) -> exit_codes.ExitCode:
        """A daemon without an answer makes the report partial."""
        if self.unanswered:
            return exit_codes.ExitCode.NO_ANSWER
        return exit_codes.ExitCode.OK


async def report(
    daemons: Sequence[endpoints.Endpoint],
    timeout_s: float,
    _: context.Context,
) -> StatusReport:
    """Ask all ``daemons``.

    Raises ``BadAnswerError`` when their histograms cannot be added up.
    """
    async with client.open_session(timeout_s) as session:
        ask = functools.partial(
            client.DaemonClient(session).get,
            path='/v1/status',
            query={},
            decode=documents.decode,
        )
        gathered = await fan_out.ask_all(daemons, ask)
    answered = tuple(gathered.answers.values())
    return StatusReport(answered, _totals(answered), gathered.unanswered)


def _totals(answered: Sequence[documents.DaemonStatus]) -> Totals:
    try:
        latencies = summaries.merge_latencies(
            summary for each in answered for summary in each.latencies
        )
    except telemetry_errors.BadHistogramError as problem:
        raise errors.BadAnswerError(problem.what, problem.remedy) from problem
    outcomes = summaries.merge_outcomes(
        count for each in answered for count in each.outcomes
    )
    return Totals(outcomes, latencies)
