"""A simulated target that sheds requests when all its slots are busy."""

from collections.abc import Callable

from sardinepier.core import ids
from sardinepier.workbench.load import event_queue, tally


class SimulatedTarget:
    """Runs at most ``slots`` requests at a time and sheds the rest."""

    def __init__(
        self,
        target_id: ids.TargetId,
        zone: ids.ZoneName,
        slots: int,
        events: event_queue.EventQueue,
        counts: tally.Tally,
    ) -> None:
        """Start idle."""
        self.target_id = target_id
        self.zone = zone
        self.slots = slots
        self._events = events
        self._counts = counts
        self._busy = 0

    def receive(
        self,
        service_s: float,
        deadline_s: float,
        answer: Callable[[bool], None],
    ) -> None:
        """Run a request or shed it; ``answer`` gets whether the request ran.

        A request is cancelled at its deadline, which frees its slot.
        """
        self._counts.attempts += 1
        if self._busy >= self.slots:
            self._counts.sheds += 1
            answer(False)
            return
        self._busy += 1
        now_s = self._events.monotonic_s()
        used_s = max(0, min(service_s, deadline_s - now_s))
        self._counts.add_busy(now_s, now_s + used_s)

        def _end() -> None:  # noqa: WPS430 - an event's state is its closure
            self._busy -= 1
            answer(True)

        self._events.call_later(used_s, _end)
