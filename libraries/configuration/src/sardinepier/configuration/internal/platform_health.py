"""Reports when one kind of call to the platform begins and ends to fail."""

from sardinepier.configuration.internal import store_writer
from sardinepier.core import clock as clocks
from sardinepier.platform import errors
from sardinepier.telemetry import file_events


class PlatformHealth:
    """One event when calls begin to fail, and one when they work again."""

    def __init__(
        self,
        what: str,
        clock: clocks.Clock,
        on_event: store_writer.OnEvent,
    ) -> None:
        """Report on the calls for ``what`` to ``on_event``."""
        self._what = what
        self._clock = clock
        self._on_event = on_event
        self._failing_since_s: float | None = None

    def failed(self, error: errors.PlatformError) -> None:
        """Note a failure; only the first in a row is reported."""
        if self._failing_since_s is None:
            self._failing_since_s = self._clock.monotonic_s()
            self._on_event(
                file_events.PlatformFailed(self._what, str(error)),
            )

    def succeeded(self) -> None:
        """Note a success; the first after a failure is reported."""
        if self._failing_since_s is None:
            return
        failed_for_s = self._clock.monotonic_s() - self._failing_since_s
        self._failing_since_s = None
        self._on_event(
            file_events.PlatformRecovered(self._what, failed_for_s),
        )
