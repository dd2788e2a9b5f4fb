"""Metrics of the requests of one daemon."""

import itertools
from collections.abc import Mapping
from typing import Final

import msgspec

from sardinepier.entry import (
    events,
    open_exchanges,
    service_pool,
    service_registry,
)
from sardinepier.health import refusal_estimate
from sardinepier.once import losses
from sardinepier.telemetry import exposition, metrics

HELP_TEXTS: Final[Mapping[str, str]] = {
    'requests': 'Requests by service and by what became of them.',
    'own_answers': 'Requests that the daemon answered itself, by the reason.',
    'customer_waits': 'Requests that waited for a token, by priority.',
    'customer_refusals': 'Requests beyond a customer limit, by priority.',
    'attempts': 'Attempts at targets by service and by how they ended.',
    'attempts_begun': 'Attempts by service and by why the target was chosen.',
    'exchanges_ended': 'Exchanges with targets that were gone, by the cause.',
    'foreign_answers': 'Attempts that got an answer without their id, by id.',
    'losses': 'Connections lost without an answer, by what that shows.',
    'repeats_granted': 'Further attempts that the retry budgets allowed.',
    'repeats_denied': 'Further attempts that they did not allow.',
    'retry_waits': 'Requests that waited for retry budget, by service.',
    'relays': 'Attempts by other daemons, by service and how they ended.',
    'relayed_bytes': 'Bodies of relayed requests and answers, by zone.',
    'cut_off': 'Whether no target of a service can be connected to, 1 or 0.',
    'sheds': 'Requests that a target refused, by service and cause.',
    'accepted_share': 'Share of the requests that targets accept, by service.',
    'request_duration_ms': 'From a request read to its answer, in ms.',
    'attempt_duration_ms': 'From an attempt begun to its answer, in ms.',
    'requests_in_hand': 'Requests that this daemon has right now.',
    'configuration_version': 'Version of the configuration in force.',
    'targets': 'Targets in use, of all services.',
    'targets_closed': 'Those of them that want no request of this daemon now.',
    'targets_age_s': 'Since the target list was last read by anybody, in s.',
    'unusable_entries': 'Entries passed over in the newest own reading.',
    'reading_faults': 'Readings of the platform that failed unexpectedly.',
    'part_failures': 'Failures of parts of the daemon that are run again.',
    'confirmed_age_s': 'Since the configuration was certainly the newest, in s.',
    'slots_used_elsewhere': 'Slots that other daemons reported in use.',
    'waiting_elsewhere': 'Requests that wait at other daemons, as reported.',
    'carriers': 'Daemons that shall carry the own zone.',
    'is_carrier': 'Whether this daemon is one of them, 1 or 0.',
    'members': 'Daemons that this one knows to live, itself included.',
    'peer_messages': 'Messages to daemons, by kind and by zone of the receiver.',
    'peer_bytes': 'Bytes of these messages, without transport headers.',
    'forwarded_bytes': 'Requests and answers of targets, by zone of the target.',
}

_MAX_SERVICES: Final = 400
"""Services with their own label; any further ones share one label."""

_MAX_PRIORITY: Final = 9
"""Priorities above it share one label, as customers may have any of their own."""

_MS_PER_S: Final = 1000
_NO_SERVICE: Final = ''


class RequestMetrics:
    """Counts requests and attempts as they end.

    For example::

        metrics.request_ended('books', events.Outcome.ANSWERED, 0.25)
        text = await metrics.text(gauges)
    """

    def __init__(self) -> None:
        """Start all counters at zero."""
        self._metrics = metrics.Metrics(_MAX_SERVICES * len(events.Outcome))
        self._forwarded = {
            crosses_zones: self._metrics.counter(
                'forwarded_bytes',
                crosses_zones='yes' if crosses_zones else 'no',
            )
            for crosses_zones in (False, True)
        }

    def request_ended(
        self,
        service: str,
        outcome: events.Outcome,
        elapsed_s: float,
    ) -> None:
        """Count a request and record its duration."""
        self._metrics.counter(
            'requests',
            service=service,
            outcome=outcome.value,
        ).add()
        if service != _NO_SERVICE:
            self._metrics.histogram(
                'request_duration_ms',
                service=service,
            ).record(elapsed_s * _MS_PER_S)

    def local_answer(self, error: str) -> None:
        """Count a request that the daemon answered itself, by the error."""
        self._metrics.counter('own_answers', error=error).add()

    def customer_limited(self, priority: int, *, is_refused: bool) -> None:
        """Count a request that waited for a token of its customer's limit.

        ``is_refused`` means that it did not get one in time.
        """
        self._metrics.counter(
            'customer_refusals' if is_refused else 'customer_waits',
            priority=_priority_label(priority),
        ).add()

    def attempt_begun(self, service: str, reason: events.Reason) -> None:
        """Count an attempt by the reason for it."""
        self._metrics.counter(
            'attempts_begun',
            service=service,
            reason=reason.value,
        ).add()

    def attempt_ended(self, service: str, kind: str, elapsed_s: float) -> None:
        """Count an attempt; ``kind`` is the type of its failure, or ``ok``."""
        self._metrics.counter('attempts', service=service, how=kind).add()
        self._metrics.histogram(
            'attempt_duration_ms',
            service=service,
        ).record(elapsed_s * _MS_PER_S)

    def exchange_closed(self, exchange: open_exchanges.OpenExchange) -> None:
        """Count an exchange that ended because its target was gone."""
        if exchange.cause is not None:
            self._metrics.counter(
                'exchanges_ended', cause=exchange.cause.value
            ).add()

    def foreign_answer(self, service: str, *, has_id: bool) -> None:
        """Count an attempt whose target sent an answer with another id or none."""
        self._metrics.counter(
            'foreign_answers', service=service, id='other' if has_id else 'none'
        ).add()

    def lost(self, verdict: losses.LossVerdict) -> None:
        """Count a connection that ended without an answer."""
        self._metrics.counter('losses', verdict=verdict.value).add()

    def retry_wait(self, service: str) -> None:
        """Count a request that had to wait for retry budget."""
        self._metrics.counter('retry_waits', service=service).add()

    def relayed(self, service: str, outcome: str) -> None:
        """Count an attempt by a peer, by how it ended."""
        self._metrics.counter('relays', service=service, how=outcome).add()

    def relayed_bytes(self, size_bytes: int, *, crosses_zones: bool) -> None:
        """Count the bodies of a relayed request and its answer."""
        self._metrics.counter(
            'relayed_bytes', crosses_zones='yes' if crosses_zones else 'no'
        ).add(size_bytes)

    def shed(self, service: str, cause: refusal_estimate.ShedCause) -> None:
        """Count a request that a target refused."""
        self._metrics.counter(
            'sheds',
            service=service,
            cause=cause.value,
        ).add()

    def forwarded(self, size_bytes: int, *, crosses_zones: bool) -> None:
        """Count bytes sent to or received from a target."""
        self._forwarded[crosses_zones].add(size_bytes)

    def forwarded_bytes(self, *, crosses_zones: bool) -> int:
        """Return the bytes exchanged with targets of other or the own zone."""
        return self._forwarded[crosses_zones].count

    async def text(
        self,
        gauges: tuple[exposition.Gauge, ...],
        counters: tuple[metrics.CounterValue, ...] = (),
    ) -> str:
        """Return all metrics in the text exposition format.

        ``counters`` are those kept elsewhere, grouped by their names.
        """
        snapshot = await self._metrics.snapshot_in_steps()
        snapshot = msgspec.structs.replace(
            snapshot,
            counters=snapshot.counters + counters,
        )
        return exposition.text(snapshot, gauges, HELP_TEXTS)


def elsewhere_gauges(
    registry: service_registry.ServiceRegistry,
    now_s: float,
) -> tuple[exposition.Gauge, ...]:
    """Return by service what other daemons reported."""
    pools = sorted(registry.pools(), key=_service_name)[:_MAX_SERVICES]
    used = (
        exposition.Gauge(
            'slots_used_elsewhere',
            sum(
                record.elsewhere.in_flight(now_s)
                for record in pool.targets.records()
            ),
            _labels_of(pool),
        )
        for pool in pools
    )
    waiting = (
        exposition.Gauge(
            'waiting_elsewhere',
            pool.waiting_elsewhere.total(now_s),
            _labels_of(pool),
        )
        for pool in pools
    )
    return (*used, *waiting)


def _service_name(pool: service_pool.ServicePool) -> str:
    return pool.name


def _labels_of(pool: service_pool.ServicePool) -> tuple[metrics.Label, ...]:
    return (metrics.Label('service', pool.name),)


def _priority_label(priority: int) -> str:
    if 0 <= priority <= _MAX_PRIORITY:
        return str(priority)
    return 'other'


def service_gauges(
    registry: service_registry.ServiceRegistry,
) -> tuple[exposition.Gauge, ...]:
    """Return the gauges of the configuration, the targets and the retries."""
    configuration = registry.configuration
    version = configuration.version if configuration else 0
    targets = sum(len(pool.targets.records()) for pool in registry.pools())
    closed = sum(len(pool.targets.not_accepting()) for pool in registry.pools())
    budgets = [pool.retry_budget for pool in registry.pools()]
    granted = sum(budget.granted for budget in budgets)
    denied = sum(budget.denied for budget in budgets)
    gauges = (
        exposition.Gauge('configuration_version', version),
        exposition.Gauge('targets', targets),
        exposition.Gauge('targets_closed', closed),
        exposition.Gauge('repeats_granted', granted),
        exposition.Gauge('repeats_denied', denied),
    )
    return gauges + _accepted_shares(registry) + _cut_off(registry)


def _cut_off(
    registry: service_registry.ServiceRegistry,
) -> tuple[exposition.Gauge, ...]:
    return tuple(
        exposition.Gauge(
            'cut_off',
            int(registry.connectivity.is_cut_off(pool.name)),
            _labels_of(pool),
        )
        for pool in itertools.islice(registry.pools(), _MAX_SERVICES)
    )


def _accepted_shares(
    registry: service_registry.ServiceRegistry,
) -> tuple[exposition.Gauge, ...]:
    return tuple(
        exposition.Gauge(
            'accepted_share',
            pool.retries.accepted_share(),
            _labels_of(pool),
        )
        for pool in itertools.islice(registry.pools(), _MAX_SERVICES)
    )
