"""Observations of one run of a case, the input of its checks."""

import dataclasses

from sardinepier.workbench.traffic import generator, verification


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """The number of requests that a target had started at one moment."""

    seen_at_s: float
    executions: int


@dataclasses.dataclass(slots=True)
class Observations:
    """Traffic, the targets' counts, and the revisions of each daemon.

    ``revisions`` holds, for each daemon, the revisions it had in force one
    after another. ``loads`` holds samples of each target's executions.
    ``cut_connections`` counts the connections on which the relay dropped
    bytes. ``not_restarted`` names processes that should have restarted but
    did not. Times are of the local monotonic clock.
    """

    started_at_s: float
    injected_at_s: float = 0.0
    run: generator.TrafficRun = dataclasses.field(
        default_factory=generator.TrafficRun,
    )
    poisoned: generator.TrafficRun = dataclasses.field(
        default_factory=generator.TrafficRun,
    )
    executions: verification.Executions = dataclasses.field(
        default_factory=lambda: verification.Executions({}, {}),
    )
    cut_connections: int = 0
    not_restarted: tuple[str, ...] = ()
    revisions: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    loads: dict[str, list[LoadSample]] = dataclasses.field(
        default_factory=dict,
    )
