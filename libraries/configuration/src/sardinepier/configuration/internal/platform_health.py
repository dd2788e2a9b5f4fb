"""Reports when one kind of platform call starts and stops failing."""

from sardinepier.configuration.internal import store_writer
from sardinepier.core import clock as clocks
from sardinepier.platform import errors
from sardinepier.telemetry import file_events


class PlatformHealth:
    """Emits an event when calls start to fail, and one on recovery."""

    def __init__(
        self,
        what: str,
        clock: clocks.Clock,
        on_event: store_writer.OnEvent,
    ) -> None:
        """Report failures of the calls for ``what`` to ``on_event``."""
        self._what = what
        self._clock = clock
        self._on_event = on_event
        self._failing_since_s: float | None = None

    def record_failure(self, error: errors.PlatformError) -> None:
        """Record a failure; only the first in a row is reported."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
            self._on_event(
                file_events.PlatformFailed(self._what, str(error)),
            )

    def record_success(self) -> None:
        """Record a success; the first after a failure is reported."""
        if self._failing_since_s is None:
            return
        failed_for_s = self._clock.monotonic_s() - self._failing_since_s
        self._failing_since_s = None
        self._on_event(
            file_events.PlatformRecovered(self._what, failed_for_s),
        )
