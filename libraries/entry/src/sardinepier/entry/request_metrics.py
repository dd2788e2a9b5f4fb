"""Metrics of the requests of one daemon."""

from collections.abc import Mapping
from typing import Final

from sardinepier.entry import events, open_exchanges, service_registry
from sardinepier.telemetry import exposition, metrics

HELP_TEXTS: Final[Mapping[str, str]] = {
    'requests': 'Requests by service and by what became of them.',
    'own_answers': 'Requests that the daemon answered itself, by the reason.',
    'attempts': 'Attempts at targets by service and by how they ended.',
    'attempts_begun': 'Attempts by service and by why the target was chosen.',
    'exchanges_ended': 'Exchanges with targets that were gone, by the cause.',
    'repeats_granted': 'Further attempts that the retry budgets allowed.',
    'repeats_denied': 'Further attempts that they did not allow.',
    'request_duration_ms': 'From a request read to its answer, in ms.',
    'attempt_duration_ms': 'From an attempt begun to its answer, in ms.',
    'requests_in_hand': 'Requests that this daemon has right now.',
    'configuration_version': 'Version of the configuration in force.',
    'targets': 'Targets in use, of all services.',
    'targets_closed': 'Those of them that want no request of this daemon now.',
    'targets_age_s': 'Since the target list was last read by anybody, in s.',
    'unusable_entries': 'Entries passed over in the newest own reading.',
    'confirmed_age_s': 'Since the configuration was certainly the newest, in s.',
    'carriers': 'Daemons that shall carry the own zone.',
    'is_carrier': 'Whether this daemon is one of them, 1 or 0.',
    'members': 'Daemons that this one knows to live, itself included.',
}

_MAX_SERVICES: Final = 400
"""Services with their own label; any further ones share one label."""

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

    async def text(self, gauges: tuple[exposition.Gauge, ...]) -> str:
        """Return all metrics with ``gauges`` in the text exposition format."""
        snapshot = await self._metrics.snapshot_in_steps()
        return exposition.text(snapshot, gauges, HELP_TEXTS)


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
    return (
        exposition.Gauge('configuration_version', version),
        exposition.Gauge('targets', targets),
        exposition.Gauge('targets_closed', closed),
        exposition.Gauge('repeats_granted', granted),
        exposition.Gauge('repeats_denied', denied),
    )
