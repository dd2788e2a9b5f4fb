"""The lines of each role at the target size."""

from typing import Final

from sardinepier.health import options as health_options
from sardinepier.workbench.capacity import (
    fits,
    linear_fit,
    roles,
    sizes,
    units,
    worked_out_files,
)

_TARGET: Final = sizes.TARGET
_US_PER_PERCENT: Final = 10_000
_MB: Final = 1_000_000
_VERSIONS_PER_REPLACEMENT: Final = 3
_TICKS_PER_S: Final = 10
# What the exchange of reports keeps to, see daemon.internal.groups.
_QUIET_INTERVAL_S: Final = 2.0
_REPORTS_PER_S: Final = 16
_REPORT_BYTES_PER_S: Final = 12_000
# One report in so many is whole, the others hold what is new.
_WHOLE_EVERY: Final = 5


def lines(results: fits.Results) -> list[roles.Line]:
    """Return the lines of all roles, out of the samples of one run."""
    return [
        *_whole(results),
        *_judging(results),
        *_membership(results),
        *worked_out_files.lines(results),
    ]


def reports_wanted_per_s() -> float:
    """Return the reports without news that a daemon would send a second."""
    peers = _TARGET.observers - 1
    return _TARGET.services_per_daemon * peers / _QUIET_INTERVAL_S


def reports_let_out_per_s(report_bytes: float) -> float:
    """Return the reports that go out under the bounds of the exchange."""
    return min(
        reports_wanted_per_s(),
        _REPORTS_PER_S,
        _REPORT_BYTES_PER_S / report_bytes,
    )


def _whole(results: fits.Results) -> list[roles.Line]:
    role = 'all control together'
    beats = results.largest('memberships', 'quiet: sent', units.MESSAGES_PER_S)
    report = _report_bytes(results).figure
    cpu = results.cpu_fit().at(
        targets=_TARGET.targets_per_daemon,
        messages=beats.amount + reports_let_out_per_s(report),
    )
    peers = _TARGET.services_per_daemon * (_TARGET.observers - 1)
    resident = results.memory_fit().at(
        targets=_TARGET.targets_per_daemon,
        sockets=2 * peers + _TARGET.targets_per_daemon,
    )
    tables_mb = (
        results.largest('configuration', 'store', units.BYTES).amount
        + results.largest('membership', 'view', units.BYTES).amount
    ) / _MB
    sent = results.largest('memberships', 'quiet: sent', units.BYTES_PER_S)
    reports_bytes = report * reports_let_out_per_s(report)
    return [
        roles.Line(
            role=role,
            what='processor time while idle',
            figure=cpu.figure,
            error=cpu.error,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='health, gateway.probes, daemon.internal.groups, wire',
            mended_by='idle targets skipped, probes shared in the group',
        ),
        roles.Line(
            role=role,
            what='resident memory, with all files and members',
            figure=resident.figure + tables_mb,
            error=resident.error,
            unit=units.MEGABYTES,
            limit=sizes.MEMORY_LIMIT_MB,
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon',
            mended_by='fewer peers a service',
        ),
        roles.Line(
            role=role,
            what='heartbeats and reports of busy targets, sent and received',
            figure=2 * (sent.amount + reports_bytes),
            error=2 * sent.deviation,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='membership, daemon.internal.rate_budget',
            mended_by='a lower bound for reports',
        ),
    ]


def _judging(results: fits.Results) -> list[roles.Line]:
    role = 'member of groups'
    per_service = _TARGET.targets_per_service
    tick = results.part_fit('health', 'idle tick', units.MICROSECONDS).at(
        size=per_service
    )
    report = _report_bytes(results)
    state = results.part_fit('health', 'state with 27 observers', units.BYTES)
    services = _TARGET.services_per_daemon
    scale = services * _TICKS_PER_S / _US_PER_PERCENT
    return [
        roles.Line(
            role=role,
            what=f'state, {services:.1f} services of {per_service:.0f} targets',
            figure=state.at(size=per_service).figure * services / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.EXTRAPOLATED,
            module='health',
        ),
        roles.Line(
            role=role,
            what='ticks of idle services, 10 a second',
            figure=tick.figure * scale,
            error=tick.error * scale,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='health.internal.engine',
            mended_by='a tick handles only targets with something new or open',
        ),
        *_reports(results, report),
    ]


def _reports(
    results: fits.Results,
    report: linear_fit.Estimate,
) -> list[roles.Line]:
    """Return what becomes of reports without news under their bounds."""
    role = 'member of groups'
    wanted = reports_wanted_per_s()
    sent = reports_let_out_per_s(report.figure)
    message = _message_cost(results)
    return [
        roles.Line(
            role=role,
            what='reports wanted, each way',
            figure=wanted,
            unit=units.MESSAGES_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon.internal.service_exchange',
        ),
        roles.Line(
            role=role,
            what='reports let out by their bounds, each way',
            figure=sent,
            unit=units.MESSAGES_PER_S,
            basis=roles.Basis.BOUND,
            module='daemon.internal.rate_budget',
        ),
        roles.Line(
            role=role,
            what='between two reports of one service to one peer',
            figure=_QUIET_INTERVAL_S * wanted / sent,
            unit=units.SECONDS,
            limit=health_options.HealthOptions().peer_expiry_s,
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon.internal.groups',
            mended_by='fewer observers a service',
        ),
        roles.Line(
            role=role,
            what='reports, processor time of sending and receiving',
            figure=sent * message.figure / _US_PER_PERCENT,
            error=sent * message.error / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='wire',
        ),
    ]


def _membership(results: fits.Results) -> list[roles.Line]:
    role = 'monitor of peers'
    beats = results.largest('memberships', 'quiet: sent', units.MESSAGES_PER_S)
    sent = results.largest('memberships', 'quiet: sent', units.BYTES_PER_S)
    view = results.largest('membership', 'view', units.BYTES)
    groups = results.largest(
        'membership',
        '340 groups after a replacement',
        units.MICROSECONDS,
    )
    changes_per_s = (
        _VERSIONS_PER_REPLACEMENT * _TARGET.replacements_per_day / sizes.DAY_S
    )
    message = _message_cost(results)
    return [
        roles.Line(
            role=role,
            what='state, 1,500 members',
            figure=view.amount / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.MEASURED,
            module='membership',
        ),
        roles.Line(
            role=role,
            what='heartbeats and their answers, sent',
            figure=beats.amount,
            error=beats.deviation,
            unit='messages/s',
            basis=roles.Basis.EXTRAPOLATED,
            module='membership.internal.heartbeat',
        ),
        roles.Line(
            role=role,
            what='heartbeats and their answers, sent',
            figure=sent.amount,
            error=sent.deviation,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='membership.internal.heartbeat',
        ),
        roles.Line(
            role=role,
            what='heartbeats, processor time of sending and receiving',
            figure=beats.amount * message.figure / _US_PER_PERCENT,
            error=beats.amount * message.error / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='wire',
        ),
        roles.Line(
            role=role,
            what='groups of all services anew after each change of a member',
            figure=groups.amount * changes_per_s / _US_PER_PERCENT,
            error=groups.deviation * changes_per_s / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.MEASURED,
            module='membership.internal.group_cache',
            mended_by='at most one pass a second',
        ),
    ]


def _message_cost(results: fits.Results) -> linear_fit.Estimate:
    sample = results.of_part(
        'wire', 'message sent and received', units.MICROSECONDS
    )[0]
    return linear_fit.Estimate(sample.amount, sample.deviation)


def _report_bytes(results: fits.Results) -> linear_fit.Estimate:
    """Return the mean size of a report while all targets have traffic."""
    whole, news = (
        results.part_fit('health', name, units.BYTES).at(
            size=_TARGET.targets_per_service,
        )
        for name in ('whole report', 'report with news of all')
    )
    return linear_fit.Estimate(
        (whole.figure + news.figure * (_WHOLE_EVERY - 1)) / _WHOLE_EVERY,
        max(whole.error, news.error),
    )
