"""A record of the experiment: what one contender reached in one run."""

import math

import msgspec

from sardinepier.workbench.detection import measurements, scenario


class Record(msgspec.Struct, frozen=True):
    """Measurements of one contender in one run.

    ``detection_s`` is None when some daemon never ejected the faulty target.
    ``failed_*`` and ``slowed_*`` are shares of the requests that ended before
    and after the start of the fault.
    """

    contender: str
    service: str
    traffic: str
    fault: str
    seed: int
    detection_s: float | None
    false_ejections: int
    target_days: float
    below_floor: int
    failed_before: float
    failed_after: float
    slowed_before: float
    slowed_after: float
    struck_requests: int
    trials: int


def record(
    contender: str,
    run: tuple[scenario.Service, scenario.Traffic, scenario.Fault, int],
    measured: measurements.Measurements,
) -> Record:
    """Return the record of one contender's measurements in a run."""
    service, traffic, fault, seed = run
    detection_s: float | None = measured.detection_s()
    if detection_s is not None and math.isinf(detection_s):
        detection_s = None
    before, after = measured.before, measured.after
    return Record(
        contender=contender,
        service=service.name,
        traffic=traffic.name,
        fault=fault.name,
        seed=seed,
        detection_s=detection_s,
        false_ejections=measured.false_ejections,
        target_days=measured.target_days(),
        below_floor=measured.below_floor,
        failed_before=before.failed / max(1, before.ended),
        failed_after=after.failed / max(1, after.ended),
        slowed_before=before.slowed / max(1, before.ended),
        slowed_after=after.slowed / max(1, after.ended),
        struck_requests=measured.requests_to_faulty_target,
        trials=measured.trials,
    )
