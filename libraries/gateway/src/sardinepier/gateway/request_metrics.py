"""The instruments that each request is counted with, looked up once."""

from typing import Final

from sardinepier.telemetry import metrics

_MS_PER_S: Final = 1000
_MOST_KEPT: Final = 4096


class RequestMetrics:
    """Times by service, and answers by service and outcome."""

    def __init__(self, instruments: metrics.Metrics) -> None:
        """Use the daemon's ``instruments``."""
        self._instruments = instruments
        self._times: dict[str, metrics.Histogram] = {}
        self._answers: dict[tuple[str, str], metrics.Counter] = {}

    def took(self, service: str, taken_s: float) -> None:
        """Record how long a request was in hand."""
        histogram = self._times.get(service)
        if histogram is None:
            histogram = self._instruments.histogram(
                'request_ms',
                service=service,
            )
            if len(self._times) < _MOST_KEPT:
                self._times[service] = histogram
        histogram.record(taken_s * _MS_PER_S)

    def count(self, service: str, outcome: str) -> None:
        """Count an answer."""
        counter = self._answers.get((service, outcome))
        if counter is None:
            counter = self._instruments.counter(
                'answers',
                service=service,
                outcome=outcome,
            )
            if len(self._answers) < _MOST_KEPT:
                self._answers[service, outcome] = counter
        counter.add()
