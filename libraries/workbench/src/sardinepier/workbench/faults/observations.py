"""What was seen while a case ran, for the checks of single cases."""

import dataclasses

from sardinepier.workbench.traffic import generator, verification


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """How many requests a target had started to run at one moment."""

    seen_at_s: float
    executions: int


@dataclasses.dataclass(slots=True)
class Observations:
    """Traffic, the targets' counts, and the revisions of each daemon.

    ``revisions`` holds, for each daemon, the revisions it has shown one
    after another, and ``loads``, for each target, how much it had run at
    several moments.
    ``cut_connections`` says on how many connections the relay lost bytes.
    ``not_restarted`` names processes that should have started anew.
    Moments are readings of the local monotonic clock.
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
