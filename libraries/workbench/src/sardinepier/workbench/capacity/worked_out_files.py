"""The lines of configuration, the request path and those outside."""

from typing import Final

from sardinepier.workbench.capacity import fits, roles, sizes, units

_TARGET: Final = sizes.TARGET
_US_PER_PERCENT: Final = 10_000
_MB: Final = 1_000_000
_ANSWERS_VALID_S: Final = 30.0
_SHARE_READS_PER_S: Final = 1.0
_DAEMON_READS_PER_S: Final = 0.1
_AUDITS_PER_S: Final = 1.0
_CALLS_PER_START: Final = 3
_PARTS_A_WATCHER: Final = 2
_TICKET_LIFE_S: Final = 330.0
_SLOTS: Final = 3
_LOST: Final = ('0%', '10%', '30%')


def lines(results: fits.Results) -> list[roles.Line]:
    """Return the lines of these roles."""
    return [
        *_configuration(results),
        *_spread(results),
        *_platform(results),
        *_gateway(results),
        *_others(results),
    ]


def _configuration(results: fits.Results) -> list[roles.Line]:
    role = 'watcher and relay of configuration'
    store = results.largest('configuration', 'store', units.BYTES)
    change = results.largest(
        'configuration', 'change taken', units.MICROSECONDS
    )
    share = results.largest(
        'configuration',
        'share of the instance list',
        units.BYTES,
    )
    daemons = results.largest('configuration', 'list of daemons', units.BYTES)
    share_of_changes = _PARTS_A_WATCHER / (
        _TARGET.zones * sizes.WATCHERS_PER_ZONE
    )
    listing = results.largest('configuration', 'listing', units.BYTES)
    changes_per_s = _TARGET.changes_per_day / sizes.DAY_S
    replaced_per_s = _TARGET.replacements_per_day / sizes.DAY_S
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
            what='its share of the instance list as one value',
            figure=share.amount,
            unit=units.BYTES,
            limit=sizes.VALUE_LIMIT_BYTES,
            basis=roles.Basis.MEASURED,
            module='platform.shares, configuration.internal.instance_poller',
        ),
        roles.Line(
            role=role,
            what='its share and the list of daemons at each replacement',
            figure=(share.amount * share_of_changes + daemons.amount)
            * replaced_per_s,
            unit=units.BYTES_PER_S,
            limit=sizes.BYTES_LIMIT_PER_S,
            basis=roles.Basis.EXTRAPOLATED,
            module='configuration.internal.instance_poller',
        ),
    ]


def _spread(results: fits.Results) -> list[roles.Line]:
    found = [
        results.largest(
            'spread',
            f'in force everywhere, {lost} lost',
            units.SECONDS,
        )
        for lost in _LOST
    ]
    return [
        roles.Line(
            role='watcher and relay of configuration',
            what=f'a change at {sample.size:.0f} daemons, {lost} of messages lost',
            figure=sample.amount,
            error=sample.deviation,
            unit=units.SECONDS,
            limit=sizes.IN_FORCE_LIMIT_S,
            basis=roles.Basis.MEASURED,
            module='configuration.internal.news_push, pulls',
            mended_by='another peer asked sooner when a pull goes unanswered',
        )
        for lost, sample in zip(_LOST, found, strict=True)
    ]


def _platform(results: fits.Results) -> list[roles.Line]:
    watchers = _TARGET.zones * sizes.WATCHERS_PER_ZONE
    changes_per_s = _TARGET.changes_per_day / sizes.DAY_S
    replaced_per_s = _TARGET.replacements_per_day / sizes.DAY_S
    steady_per_s = _SHARE_READS_PER_S + _DAEMON_READS_PER_S + 2 * changes_per_s
    return [
        roles.Line(
            role='platform',
            what='reads: instance lists, audits, changes, starts',
            figure=watchers * steady_per_s
            + _AUDITS_PER_S
            + _CALLS_PER_START * replaced_per_s,
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
