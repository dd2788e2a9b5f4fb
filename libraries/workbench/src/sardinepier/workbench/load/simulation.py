"""Runs one scenario of the load experiment."""

import random
from typing import Final

from sardinepier.core import ids
from sardinepier.workbench.load import (
    event_queue,
    scenario,
    simulated_daemon,
    simulated_target,
    tally,
)

_MS_PER_S: Final = 1000
_PERCENT: Final = 100
_DRAIN_S: Final = 0.1


class Simulation:
    """One seeded run: targets, daemons, reports and arrivals."""

    def __init__(self, setup: scenario.Scenario) -> None:
        """Build the targets and daemons of ``setup``."""
        self.counts = tally.Tally(setup.duration_s)
        self._setup = setup
        self._events = event_queue.EventQueue()
        # A separate source, so that all policies get the same arrivals.
        self._arrivals = random.Random(setup.seed)
        self._random = random.Random(setup.seed + 1)
        self._targets = self._make_targets()
        self._daemons = {
            ids.InstanceId(f'd{number}'): simulated_daemon.SimulatedDaemon(
                setup,
                ids.ZoneName(scenario.ZONES[number % len(scenario.ZONES)]),
                self._targets,
                self._events,
                self.counts,
                self._random,
            )
            for number in range(setup.daemons)
        }
        self._failing_percent = 0.0

    def run(self) -> tally.Tally:
        """Run all phases, and then until the last requests have ended."""
        self._set_groups()
        if self._setup.pooled:
            self._start_reports()
        start_s = 0.0
        for phase in self._setup.phases:
            self._events.run_until(start_s)
            self._failing_percent = phase.failing_percent
            self._arrive(phase, start_s + phase.duration_s)
            start_s += phase.duration_s
        last_ms = max(
            caller_class.deadline_ms for caller_class in self._setup.classes
        )
        self._events.run_until(start_s + last_ms / _MS_PER_S + _DRAIN_S)
        return self.counts

    def slot_use_percent(self) -> float:
        """Return the share of the time of all slots that was busy."""
        slots_s = self._setup.service.slots_total * self._setup.duration_s
        return _PERCENT * self.counts.busy_s / slots_s

    def _make_targets(
        self,
    ) -> dict[ids.TargetId, simulated_target.SimulatedTarget]:
        targets: dict[ids.TargetId, simulated_target.SimulatedTarget] = {}
        for number in range(self._setup.service.targets):
            target_id = ids.TargetId(f't{number}')
            targets[target_id] = simulated_target.SimulatedTarget(
                target_id,
                ids.ZoneName(scenario.ZONES[number % len(scenario.ZONES)]),
                self._setup.service.slots,
                self._events,
                self.counts,
            )
        return targets

    def _set_groups(self) -> None:
        if not (self._setup.pooled or self._setup.home_slots):
            return
        for name, daemon in self._daemons.items():
            peers = [peer for peer in self._daemons if peer != name]
            own = name if self._setup.home_slots else None
            daemon.slots.set_group(peers, own)

    def _start_reports(self) -> None:
        interval_s = self._setup.report_interval_ms / _MS_PER_S
        for observer in self._daemons:
            self._report_after(interval_s * self._random.random(), observer)

    def _report_after(self, delay_s: float, observer: ids.InstanceId) -> None:
        self._events.call_later(delay_s, lambda: self._report(observer))

    def _report(self, observer: ids.InstanceId) -> None:
        counts = self._daemons[observer].slots.report()
        latency_s = self._setup.service.zone_latency_ms / _MS_PER_S

        def _deliver() -> None:  # noqa: WPS430 - an event's closure
            for receiver, daemon in self._daemons.items():
                if receiver != observer:
                    daemon.slots.receive_report(observer, counts)
                    daemon.wait_queue.dispatch()

        self._events.call_later(latency_s, _deliver)
        self._report_after(
            self._setup.report_interval_ms / _MS_PER_S,
            observer,
        )

    def _arrive(self, phase: scenario.Phase, until_s: float) -> None:
        rate_per_s = self._setup.service.requests_per_s(phase.load_percent)
        wait_s = self._arrivals.expovariate(rate_per_s)
        if self._events.monotonic_s() + wait_s >= until_s:
            return

        def _next() -> None:  # noqa: WPS430 - an event's closure
            self._receive_request()
            self._arrive(phase, until_s)

        self._events.call_later(wait_s, _next)

    def _receive_request(self) -> None:
        classes = self._setup.classes
        weights = [caller_class.percent for caller_class in classes]
        caller_class = self._arrivals.choices(classes, weights)[0]
        caller = self._arrivals.randrange(caller_class.callers)
        service_s = self._arrivals.expovariate(
            _MS_PER_S / self._setup.service.service_ms,
        )
        daemon = self._arrivals.choices(
            list(self._daemons.values()),
            [
                self._setup.first_daemon_weight,
                *(1 for _ in range(1, self._setup.daemons)),
            ],
        )[0]
        daemon.receive(
            simulated_daemon.Arrival(
                caller_class,
                ids.CallerId(f'{caller_class.name}-{caller}'),
                self._events.monotonic_s(),
                service_s,
                self._fails,
            ),
        )

    def _fails(self) -> bool:
        return self._random.random() * _PERCENT < self._failing_percent
