"""The metrics of requests, with each instrument looked up once."""

from typing import Final

from sardinepier.telemetry import metrics

_MS_PER_S: Final = 1000
_MAX_CACHED: Final = 4096


class RequestMetrics:
    """Records durations by service, and answers by service and outcome."""

    def __init__(self, instruments: metrics.Metrics) -> None:
        """Record to the daemon's ``instruments``."""
        self._instruments = instruments
        self._times: dict[str, metrics.Histogram] = {}
        self._answers: dict[tuple[str, str], metrics.Counter] = {}

    def record_duration(self, service: str, duration_s: float) -> None:
        """Record how long a request was in flight."""
        histogram = self._times.get(service)
        if histogram is None:
            histogram = self._instruments.histogram(
                'request_ms',
                service=service,
            )
            if len(self._times) < _MAX_CACHED:
                self._times[service] = histogram
        histogram.record(duration_s * _MS_PER_S)

    def count(self, service: str, outcome: str) -> None:
        """Count an answer."""
        counter = self._answers.get((service, outcome))
        if counter is None:
            counter = self._instruments.counter(
                'answers',
                service=service,
                outcome=outcome,
            )
            if len(self._answers) < _MAX_CACHED:
                self._answers[service, outcome] = counter
        counter.add()
