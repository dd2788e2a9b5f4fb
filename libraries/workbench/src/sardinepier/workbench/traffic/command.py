"""The command ``sardinepier-workbench traffic``."""

import asyncio
import pathlib
import sys
from typing import Final

import msgspec

from sardinepier.core import clock, errors
from sardinepier.workbench.traffic import (
    generator,
    options,
    records,
    report,
    verification,
)

BROKEN_CODE: Final = 1
"""Exit code when a guarantee was broken."""


class TooFewCompletedError(errors.SardinepierError):
    """Fewer requests completed than the command line requires."""


TEXT_OPTIONS: Final = (
    'daemons',
    'service',
    'idempotent',
    'keyed',
    'targets',
    'executions',
    'caller_header',
    'zone',
    'poison',
)
"""Options that stay text even when they look like a number."""


def run(
    daemons: str,
    service: str,
    idempotent: str = 'POST:/search',
    keyed: str = 'POST:/deposits',
    targets: str = '',
    executions: str = '',
    json: bool = False,
    **figures: float,
) -> None:
    """Send bounded traffic through ``daemons`` and check its outcomes.

    ``idempotent`` and ``keyed`` are routes such as ``POST:/deposits``.
    ``targets`` (addresses) or ``executions`` (files), comma separated, name
    the targets whose counts are compared. ``figures`` are fields of
    ``options.TrafficOptions``, for example ``--rate_per_s 50 --duration_s 5``.
    Exits with 1 when a key ran twice or a caller got a false outcome or a
    wrong answer, and with 2 when too few requests completed.
    """
    traffic = _read_options(daemons, service, idempotent, keyed, figures)
    load = generator.Generator(traffic, clock.SystemClock())
    finished = asyncio.run(load.send_all())
    verdict = _compare(finished, targets, executions)
    summary = report.summarise(finished, verdict)
    text = (
        msgspec.json.encode(summary).decode()
        if json
        else report.render(summary)
    )
    sys.stdout.write(f'{text}\n')
    if not holds(summary):
        sys.exit(BROKEN_CODE)
    _check_completed(summary, traffic.least_completed_percent)


def holds(summary: report.TrafficReport) -> bool:
    """Return whether all guarantees that a caller can check were kept."""
    attempts = summary.attempts_by_kind
    untrue = (
        records.Kind.WRONG_ANSWER.value in attempts
        or records.Kind.UNMARKED.value in attempts
    )
    return not untrue and (summary.verdict is None or summary.verdict.holds)


def _read_options(
    daemons: str,
    service: str,
    idempotent: str,
    keyed: str,
    figures: dict[str, float],
) -> options.TrafficOptions:
    try:
        return options.TrafficOptions(
            options.parse_endpoints(daemons),
            service,
            options.parse_route(idempotent),
            options.parse_route(keyed),
            **figures,  # type: ignore[arg-type]  # checked by the class
        )
    except TypeError as error:
        raise errors.InvalidArgumentError(
            f'An option is not known or not a number: {error}',
            'Pass --help to see the options',
        ) from error


def _compare(
    finished: generator.TrafficRun,
    targets: str,
    executions: str,
) -> verification.Verdict | None:
    if executions:
        counts = verification.read_files(
            map(pathlib.Path, executions.split(','))
        )
    elif targets:
        endpoints = options.parse_endpoints(targets)
        counts = asyncio.run(verification.fetch_counts(endpoints))
    else:
        return None
    return verification.compare(finished.requests, counts)


def _check_completed(
    summary: report.TrafficReport,
    least_percent: float,
) -> None:
    completed = summary.requests_by_kind.get(records.Kind.COMPLETED.value, 0)
    share_percent = 100 * completed / max(1, summary.requests)
    if share_percent < least_percent:
        raise TooFewCompletedError(
            f'Only {share_percent:.1f}% of the requests completed',
            'Look at the kinds above, and at the daemons with '
            '`sardinepier status` and `sardinepier timeline`',
        )
