"""The lines of each role at the target size."""

from typing import Final

from sardinepier.health import options as health_options
from sardinepier.workbench.capacity import (
    fits,
    linear_fit,
    roles,
    sizes,
    texts,
    units,
)

_TARGET: Final = sizes.TARGET
_US_PER_PERCENT: Final = 10_000
_MB: Final = 1_000_000
_ANSWERS_VALID_S: Final = 30.0
_WATCHERS_PER_ZONE: Final = 2
_INSTANCE_READS_PER_S: Final = 1.0
_AUDITS_PER_S: Final = 1.0
_VERSIONS_PER_REPLACEMENT: Final = 3
_TICKS_PER_S: Final = 10
_TICKET_LIFE_S: Final = 330.0
_SLOTS: Final = 3


def lines(results: fits.Results) -> list[roles.Line]:
    """Return the lines of all roles, out of the samples of one run."""
    return [
        *_whole(results),
        *_judging(results),
        *_membership(results),
        *_configuration(results),
        *_gateway(results),
        *_others(results),
    ]


def reports_wanted_per_s() -> float:
    """Return the reports that an average daemon would send each second."""
    options = health_options.HealthOptions()
    peers = _TARGET.observers - 1
    return _TARGET.services_per_daemon * peers / options.report_interval_s


def _whole(results: fits.Results) -> list[roles.Line]:
    beats = results.largest('memberships', 'quiet: sent', units.MESSAGES_PER_S)
    messages = beats.amount + reports_wanted_per_s()
    cpu = results.cpu_fit().at(
        targets=_TARGET.targets_per_daemon,
        messages=messages,
    )
    memory = results.memory_fit()
    peers = _TARGET.services_per_daemon * (_TARGET.observers - 1)
    resident = memory.at(targets=_TARGET.targets_per_daemon, sockets=2 * peers)
    tables_mb = (
        results.largest('configuration', 'store', units.BYTES).amount
        + results.largest('membership', 'view', units.BYTES).amount
    ) / _MB
    return [
        roles.Line(
            role='all control together',
            what='processor time, idle',
            figure=cpu.figure,
            error=cpu.error,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='health, gateway.probes, daemon groups, wire',
            mended_by='idle targets skipped, shared probes, quiet reports',
        ),
        roles.Line(
            role='all control together',
            what='resident memory, with all files and members',
            figure=resident.figure + tables_mb,
            error=resident.error,
            unit=units.MEGABYTES,
            limit=sizes.MEMORY_LIMIT_MB,
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon',
            mended_by='fewer peers a service',
        ),
    ]


def _judging(results: fits.Results) -> list[roles.Line]:
    role = 'member of groups'
    per_service = _TARGET.targets_per_service
    tick = results.part_fit('health', 'idle tick', units.MICROSECONDS).at(
        size=per_service
    )
    report = results.part_fit('health', 'report', units.BYTES).at(
        size=per_service
    )
    state = results.part_fit('health', 'state with 27 observers', units.BYTES)
    wanted = reports_wanted_per_s()
    message = _message_cost(results)
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
        roles.Line(
            role=role,
            what='reports wanted',
            figure=wanted,
            unit='messages/s each way',
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon.internal.groups',
        ),
        roles.Line(
            role=role,
            what='reports wanted, sent',
            figure=wanted * report.figure,
            error=wanted * report.error,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='daemon.internal.groups, health.internal.reporting',
            mended_by='quiet reports rarely and without rows; news at once',
        ),
        roles.Line(
            role=role,
            what='reports wanted, processor time of sending and receiving',
            figure=wanted * message.figure / _US_PER_PERCENT,
            error=wanted * message.error / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.EXTRAPOLATED,
            module='wire',
            mended_by='the same, and sockets without futures',
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


def _configuration(results: fits.Results) -> list[roles.Line]:
    role = 'watcher and relay of configuration'
    store = results.largest('configuration', 'store', units.BYTES)
    change = results.largest(
        'configuration', 'change taken', units.MICROSECONDS
    )
    listed = results.largest('configuration', 'instance list', units.BYTES)
    listing = results.largest('configuration', 'listing', units.BYTES)
    changes_per_s = _TARGET.changes_per_day / sizes.DAY_S
    replaced_per_s = _TARGET.replacements_per_day / sizes.DAY_S
    watchers = _TARGET.zones * _WATCHERS_PER_ZONE
    return [
        roles.Line(
            role=role,
            what='state, 340 files',
            figure=store.amount / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.MEASURED,
            module='configuration.store',
        ),
        roles.Line(
            role=role,
            what='3,000 changes a day',
            figure=change.amount * changes_per_s / _US_PER_PERCENT,
            error=change.deviation * changes_per_s / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.MEASURED,
            module='settings, configuration.store',
        ),
        roles.Line(
            role=role,
            what='listings to a watcher',
            figure=listing.amount * changes_per_s,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='configuration.internal.platform_reader',
        ),
        roles.Line(
            role=role,
            what='the instance list as one value',
            figure=listed.amount,
            unit=units.BYTES,
            limit=sizes.VALUE_LIMIT_BYTES,
            basis=roles.Basis.MEASURED,
            module='platform, configuration.internal.instance_poller',
            mended_by='a list in parts, each with its own version',
        ),
        roles.Line(
            role=role,
            what='instance lists to a watcher, one at each replacement',
            figure=listed.amount * replaced_per_s,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='configuration.internal.instance_poller',
            mended_by='a list in parts, each read by one watcher',
        ),
        roles.Line(
            role='platform',
            what='reads: instance lists, audits, changes',
            figure=watchers * (_INSTANCE_READS_PER_S + 2 * changes_per_s)
            + _AUDITS_PER_S,
            unit='calls/s',
            limit=sizes.PLATFORM_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='configuration, platform.http_platform',
        ),
    ]


def _gateway(results: fits.Results) -> list[roles.Line]:
    keys = results.part_fit('tables', 'keys held', units.BYTES)
    callers = results.largest('tables', 'callers remembered', units.BYTES)
    held_keys = _TARGET.requests_per_daemon_s * _TICKET_LIFE_S
    route = results.largest(
        'configuration', 'route matched', units.MICROSECONDS
    )
    return [
        roles.Line(
            role='gateway',
            what='choice of the route among 10,000',
            figure=route.amount,
            error=route.deviation,
            unit='us a request',
            basis=roles.Basis.MEASURED,
            module='settings.routes',
        ),
        roles.Line(
            role='gateway',
            what='150,000 callers known to one daemon',
            figure=callers.amount / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.MEASURED,
            module='routing.caller_limits',
        ),
        roles.Line(
            role='gateway',
            what='connections a worker, of all its observers',
            figure=_TARGET.observers * (_SLOTS + 1),
            unit='connections',
            limit=sizes.WORKER_CONNECTIONS_LIMIT,
            basis=roles.Basis.EXTRAPOLATED,
            module='gateway.client, routing.in_flight',
        ),
        roles.Line(
            role='home of keys',
            what=f'{held_keys:.0f} keys, if every request had one',
            figure=keys.at(size=held_keys).figure / _MB,
            error=keys.at(size=held_keys).error / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.EXTRAPOLATED,
            module='once.ledger',
        ),
    ]


def _others(results: fits.Results) -> list[roles.Line]:
    chosen = results.largest('pages', 'addresses chosen', units.MICROSECONDS)
    answer = results.largest('pages', 'addresses answer', units.BYTES)
    status = results.largest('pages', 'status', units.BYTES)
    asked_per_s = _TARGET.callers / _ANSWERS_VALID_S / _TARGET.daemons
    return [
        roles.Line(
            role='answerer of addresses',
            what=f'{asked_per_s:.1f} choices a second, without HTTP',
            figure=asked_per_s * chosen.amount / _US_PER_PERCENT,
            error=asked_per_s * chosen.deviation / _US_PER_PERCENT,
            unit=units.CORE_PERCENT,
            limit=sizes.CPU_LIMIT_PERCENT,
            basis=roles.Basis.MEASURED,
            module='gateway.addresses',
        ),
        roles.Line(
            role='caller',
            what='an answer with addresses, each 30 s',
            figure=answer.amount,
            unit=units.BYTES,
            basis=roles.Basis.MEASURED,
            module='gateway.addresses',
        ),
        roles.Line(
            role='command line',
            what='the status of one daemon',
            figure=status.amount,
            unit=units.BYTES,
            limit=sizes.VALUE_LIMIT_BYTES,
            basis=roles.Basis.MEASURED,
            module='telemetry.status, cli.status',
        ),
        roles.Line(
            role='command line',
            what='the status of all 1,500 daemons',
            figure=status.amount * _TARGET.daemons / _MB,
            unit=units.MEGABYTES,
            basis=roles.Basis.EXTRAPOLATED,
            module='cli.status',
            mended_by='ask some daemons, or without members and files',
        ),
    ]


def _message_cost(results: fits.Results) -> linear_fit.Estimate:
    sample = results.of_part(
        'wire', 'message sent and received', units.MICROSECONDS
    )[0]
    return linear_fit.Estimate(sample.amount, sample.deviation)


def file_bytes() -> int:
    """Return the size of a service file at the target size."""
    return len(texts.service_text(0).encode())
