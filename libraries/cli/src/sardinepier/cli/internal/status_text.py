"""Formats the status of a daemon as plain text."""

import collections
from collections.abc import Iterable, Sequence

from sardinepier.cli.internal import tables
from sardinepier.telemetry import status as documents

_ALIVE = 'alive'
_TARGET_TITLES = (
    'TARGET',
    'ZONE',
    'STATE',
    'WEIGHT',
    'EVIDENCE',
    'IN FLIGHT',
    'REASON',
)
_LATENCY_TITLES = ('LATENCY', 'SERVICE', 'REQUESTS', 'P50', 'P99', 'MAX')


def daemon_lines(daemon: documents.DaemonStatus) -> tuple[str, ...]:
    """Return the block of one daemon."""
    details = (
        _members_line(daemon.members),
        *(_member_line(member) for member in _not_alive(daemon.members)),
        *_file_lines(daemon.files),
        *_service_lines(daemon.services),
        *traffic_lines(daemon.outcomes, daemon.latencies),
        _peers_line(daemon.peers),
    )
    headline = (
        f'{daemon.instance_id}: {daemon.state} in zone {daemon.zone}, '
        f'region {daemon.region}, up for {daemon.uptime_s:.1f} s'
    )
    return (tables.plain(headline), *tables.indented(details))


def traffic_lines(
    outcomes: Iterable[documents.OutcomeCount],
    latencies: Iterable[documents.LatencySummary],
) -> tuple[str, ...]:
    """Return the tables of outcomes and latencies, if there are any."""
    counted = [
        (count.outcome, count.service, str(count.requests))
        for count in outcomes
    ]
    measured = [
        (
            summary.name,
            summary.service,
            str(summary.requests),
            f'{summary.p50_ms:.3g} ms',
            f'{summary.p99_ms:.3g} ms',
            f'{summary.max_ms:.3g} ms',
        )
        for summary in latencies
    ]
    return (
        *_table_if_any(('OUTCOME', 'SERVICE', 'REQUESTS'), counted),
        *_table_if_any(_LATENCY_TITLES, measured),
    )


def _members_line(members: Iterable[documents.MemberStatus]) -> str:
    states = collections.Counter(member.state for member in members)
    counted = ', '.join(f'{states[state]} {state}' for state in sorted(states))
    return tables.plain(f'members: {counted or "none known"}')


def _not_alive(
    members: Iterable[documents.MemberStatus],
) -> tuple[documents.MemberStatus, ...]:
    return tuple(member for member in members if member.state != _ALIVE)


def _member_line(member: documents.MemberStatus) -> str:
    return tables.plain(
        f'  {member.instance_id} in zone {member.zone} is {member.state}',
    )


def _file_lines(files: Iterable[documents.FileStatus]) -> Iterable[str]:
    for file in files:
        yield tables.plain(f'file {file.name}: revision {file.revision}')
        for problem in file.problems:
            yield tables.plain(f'  a newer revision was rejected: {problem}')


def _service_lines(
    services: Iterable[documents.ServiceStatus],
) -> Iterable[str]:
    for service in services:
        yield tables.plain(
            f'service {service.name}: floor {service.floor_percent:g}%, '
            f'{service.queued_requests} queued',
        )
        yield from tables.indented(
            _table_if_any(
                _TARGET_TITLES,
                [_target_row(target) for target in service.targets],
            ),
        )


def _target_row(target: documents.TargetStatus) -> Sequence[str]:
    numbers = (
        f'{target.weight:.2f}',
        tables.quantity(target.evidence),
        str(target.in_flight),
    )
    return [
        target.target_id,
        target.zone,
        target.state,
        *numbers,
        target.reason,
    ]


def _peers_line(peers: documents.PeerCounters) -> str:
    return (
        f'peers: {peers.sent_messages} messages sent, '
        f'{peers.received_messages} received, '
        f'{peers.dropped_messages} dropped, '
        f'{peers.malformed_messages} malformed'
    )


def _table_if_any(
    titles: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> tuple[str, ...]:
    if not rows:
        return ()
    return tables.table(titles, rows)
