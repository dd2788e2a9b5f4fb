"""The request path of a simulated daemon, with the real routing objects."""

import dataclasses
import random
from collections.abc import Callable, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.routing import (
    budget,
    caller_limits,
    choice,
    errors,
    in_flight,
    wait_queue,
)
from sardinepier.workbench.load import (
    event_queue,
    scenario,
    simulated_target,
    tally,
)

_MS_PER_S: Final = 1000
_RECHECK_S: Final = 0.05
_IN_ZONE_LATENCY_SHARE: Final = 0.1
_CALLER_CAPACITY: Final = 200_000


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that arrives at a daemon."""

    caller_class: scenario.CallerClass
    caller: ids.CallerId
    arrived_s: float
    service_s: float
    fails: Callable[[], bool]

    @property
    def deadline_s(self) -> float:
        """Return the simulated time by which the answer must arrive."""
        return self.arrived_s + self.caller_class.deadline_ms / _MS_PER_S


class SimulatedDaemon:
    """Limits, queues, chooses, sends and retries as the gateway does."""

    def __init__(
        self,
        setup: scenario.Scenario,
        zone: ids.ZoneName,
        targets: Mapping[ids.TargetId, simulated_target.SimulatedTarget],
        events: event_queue.EventQueue,
        counts: tally.Tally,
        random_source: random.Random,
    ) -> None:
        """Start with all targets, each with its full weight unless ejected."""
        self.zone = zone
        self.events = events
        self.slots = in_flight.TargetSlots(
            events,
            random_source,
            setup.slot_options,
        )
        self.retries = budget.RetryBudget(events, setup.retry_budget_percent)
        self.wait_queue: wait_queue.WaitQueue[ids.TargetId]
        self.wait_queue = wait_queue.WaitQueue(
            events,
            setup.queue_length,
            random_source,
        )
        self.chooser = self._chooser(setup, targets, random_source)
        self._setup = setup
        self._targets = targets
        self._counts = counts
        self._limits = self._caller_limits(random_source)
        self._is_recheck_scheduled = False
        self._set_targets()

    def receive(self, arrival: Arrival) -> None:
        """Admit and enqueue a new request."""
        self.retries.record_request()
        try:
            self._admit(arrival)
        except errors.CallerLimitError:
            self.end(arrival, tally.Outcome.LIMITED)
            return
        self.enqueue(arrival)

    def enqueue(self, arrival: Arrival, *, is_retry: bool = False) -> None:
        """Queue a request for a slot, for its first or a further attempt."""
        waiter = _Waiter(self, arrival, is_retry)
        self.wait_queue.submit(waiter)
        if len(self.wait_queue):
            self._schedule_recheck()
            self.events.call_at(
                self.wait_queue.latest_start_s(waiter.request),
                self.wait_queue.dispatch,
            )

    def send(self, arrival: Arrival, target_id: ids.TargetId) -> None:
        """Send a request to the target that has a slot reserved for it."""
        target = self._targets[target_id]
        latency_s = self._latency_s(target)

        def _answer(has_run: bool) -> None:  # noqa: WPS430 - event closure
            self.events.call_later(
                latency_s,
                lambda: self._answered(arrival, target_id, has_run),
            )

        self.events.call_later(
            latency_s,
            lambda: target.receive(
                arrival.service_s,
                arrival.deadline_s,
                _answer,
            ),
        )

    def end(self, arrival: Arrival, outcome: tally.Outcome) -> None:
        """Count the outcome of a request."""
        latency_s = self.events.monotonic_s() - arrival.arrived_s
        name = arrival.caller_class.name
        self._counts.add(
            tally.EndedRequest(name, arrival.arrived_s, latency_s, outcome),
        )

    def _answered(
        self,
        arrival: Arrival,
        target_id: ids.TargetId,
        has_run: bool,
    ) -> None:
        self.slots.release(target_id)
        if has_run:
            self.slots.answered(target_id)
            self._finish(arrival)
        else:
            self.slots.shed(target_id)
            self._requeue_shed(arrival)
        self.wait_queue.dispatch()

    def _finish(self, arrival: Arrival) -> None:
        if self.events.monotonic_s() > arrival.deadline_s:
            self.end(arrival, tally.Outcome.TIMED_OUT)
            return
        self.wait_queue.observe_service_time(arrival.service_s)
        if arrival.fails():
            self._retry(arrival, tally.Outcome.FAILED)
        else:
            self.end(arrival, tally.Outcome.COMPLETED)

    def _requeue_shed(self, arrival: Arrival) -> None:
        """Queue a shed request again, even while the retry budget is empty."""
        if self._setup.shed_waits:
            self.enqueue(arrival, is_retry=True)
        else:
            self._retry(arrival, tally.Outcome.SHED)

    def _retry(self, arrival: Arrival, outcome: tally.Outcome) -> None:
        if self.retries.can_spend():
            self.enqueue(arrival, is_retry=True)
        else:
            self.end(arrival, outcome)

    def _admit(self, arrival: Arrival) -> None:
        if self._limits is not None:
            self._limits.admit(arrival.caller)

    def _schedule_recheck(self) -> None:
        if not self._is_recheck_scheduled:
            self._is_recheck_scheduled = True
            self.events.call_later(_RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._is_recheck_scheduled = False
        self.wait_queue.dispatch()
        if len(self.wait_queue):
            self._schedule_recheck()

    def _latency_s(self, target: simulated_target.SimulatedTarget) -> float:
        latency_s = self._setup.service.zone_latency_ms / _MS_PER_S
        if target.zone == self.zone:
            return latency_s * _IN_ZONE_LATENCY_SHARE
        return latency_s

    def _set_targets(self) -> None:
        self.slots.set_targets(
            in_flight.TargetCapacity(target_id, target.zone, target.slots)
            for target_id, target in self._targets.items()
        )
        for target_id in tuple(self._targets)[self._setup.ejected_targets :]:
            self.slots.set_weight(target_id, 1)

    def _caller_limits(
        self,
        random_source: random.Random,
    ) -> caller_limits.CallerLimits | None:
        if not self._setup.caller_requests_per_s:
            return None
        return caller_limits.CallerLimits(
            self.events,
            self._setup.caller_requests_per_s,
            self._setup.caller_burst,
            _CALLER_CAPACITY,
            random_source,
        )

    def _chooser(
        self,
        setup: scenario.Scenario,
        targets: Mapping[ids.TargetId, simulated_target.SimulatedTarget],
        random_source: random.Random,
    ) -> choice.TargetChooser:
        if setup.policy is scenario.Policy.RANDOM:
            return choice.RandomChoice(random_source)
        if setup.policy is scenario.Policy.ROUND_ROBIN:
            return choice.RoundRobin()
        of_two = choice.LeastLoadedOfTwo(random_source)
        if setup.policy is scenario.Policy.LEAST_LOADED_OF_TWO:
            return of_two
        local_slots = sum(
            target.slots
            for target in targets.values()
            if target.zone == self.zone
        )
        threshold = 0.0
        if setup.policy is scenario.Policy.LOCAL_FIRST_PAPER:
            threshold = _rate_ratio(setup.service)
        return choice.LocalFirst(
            self.zone,
            of_two,
            threshold,
            lambda: (len(self.wait_queue) + 1) / local_slots,
        )


class _Waiter:
    """A simulated request in the wait queue."""

    def __init__(
        self,
        daemon: SimulatedDaemon,
        arrival: Arrival,
        is_retry: bool,
    ) -> None:
        """Wait in the queue of ``daemon``."""
        self.request = wait_queue.QueuedRequest(
            arrival.caller_class.priority,
            arrival.deadline_s,
            accepts_any_target=not is_retry,
        )
        self._daemon = daemon
        self._arrival = arrival
        self._is_retry = is_retry

    def choose(self) -> ids.TargetId | None:
        """Reserve a slot; a retry also spends the retry budget."""
        if self._is_retry and not self._daemon.retries.can_spend():
            return None
        target_id = self._daemon.slots.reserve(self._daemon.chooser)
        if target_id is not None and self._is_retry:
            self._daemon.retries.try_spend()
        return target_id

    def grant(self, target_id: ids.TargetId) -> None:
        """Send the request to the target."""
        self._daemon.send(self._arrival, target_id)

    def refuse(self, error: errors.RefusalError) -> None:
        """End the request without sending it."""
        outcome = tally.Outcome.QUEUE_FULL
        if isinstance(error, errors.QueueDeadlineError):
            outcome = tally.Outcome.TOO_LATE
        self._daemon.end(self._arrival, outcome)


def _rate_ratio(service: scenario.Service) -> float:
    """Return the alpha / gamma of the local-first paper.

    This is the time of a request to another zone, relative to a local one.
    """
    local_ms = (
        service.service_ms
        + 2 * _IN_ZONE_LATENCY_SHARE * service.zone_latency_ms
    )
    remote_ms = service.service_ms + 2 * service.zone_latency_ms
    return remote_ms / local_ms
