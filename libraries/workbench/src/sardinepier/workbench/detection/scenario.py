"""What one run of the experiment is made of: service, traffic and fault."""

import dataclasses
import enum
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service as one of the users runs it, and its group of daemons."""

    name: str
    targets: int
    slots: int
    daemons: int = 9
    zones: int = 3
    routes: tuple[float, ...] = (12.0, 20.0, 35.0, 60.0, 110.0)
    """Median service time of each route in milliseconds."""

    spread: float = 0.5
    """Standard deviation of the logarithm of a service time."""

    timeout_ms: float = 2000.0
    failure_share: float = 0.001
    """Share of requests that fail at a healthy target."""

    pause_every_s: float = 60.0
    longest_pause_ms: float = 150.0
    """A healthy target stands still now and then, at most for so long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Load as a share of the service's capacity, and how it varies."""

    name: str
    load: float
    bursts: bool = False
    """Every 20 s on average, load doubles for 2 s."""

    replaced_every_s: float = 0.0
    """A target is replaced by a cold one at this interval; 0 for never."""

    whole_service_slow_every_s: float = 0.0
    """All targets take three times as long for 5 s; 0 for never."""


class Effect(enum.Enum):
    """What a fault does."""

    SLOW = 'slow'
    FAIL = 'fail'
    WRONG = 'wrong'
    HANG = 'hang'
    CUT = 'cut'
    """Requests of some daemons are never answered."""

    GRAY_DAEMON = 'gray-daemon'
    """Everything that one daemon does fails now and then and is slow."""

    ALL_SLOW = 'all-slow'
    OVERLOAD = 'overload'
    REPLACED = 'replaced'
    CRASHING_REQUEST = 'crashing-request'
    NOTHING = 'nothing'


class Probes(enum.Enum):
    """What the health endpoint says."""

    TRUE = 'true'
    ALWAYS_GOOD = 'always-good'
    ALWAYS_BAD = 'always-bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault case. The first target or the first daemon is struck."""

    name: str
    effect: Effect
    amount: float = 1.0
    """Factor for SLOW, ALL_SLOW and OVERLOAD; share for FAIL and WRONG."""

    period_s: float = 0.0
    """Flapping: on for half a period, off for the other; 0 for steady."""

    cut_daemons: int = 0
    probes: Probes = Probes.ALWAYS_GOOD
    load_lag_s: float = 0.0
    """In-flight counts reach peers so much later."""

    sick: bool = True
    """Whether the first target should be taken out by every daemon."""


RED_TESIS: Final = (
    Service('search', targets=6, slots=3),
    Service('deposit', targets=14, slots=3),
    Service('metadata', targets=16, slots=3),
)
KLOOFNEK: Final = (
    Service('checklist', targets=6, slots=2),
    Service('posting', targets=14, slots=2),
    Service('reporting', targets=14, slots=2),
)

LOADS: Final = (
    Traffic('quiet', 0.02),
    Traffic('30%', 0.3),
    Traffic('70%', 0.7),
    Traffic('95%', 0.95),
)

SICK_FAULTS: Final = (
    Fault('slow 2x', Effect.SLOW, 2.0),
    Fault('slow 5x', Effect.SLOW, 5.0),
    Fault('slow 20x', Effect.SLOW, 20.0),
    Fault('5% errors', Effect.FAIL, 0.05),
    Fault('30% errors', Effect.FAIL, 0.3),
    Fault('100% errors', Effect.FAIL, 1.0),
    Fault('30% wrong', Effect.WRONG, 0.3),
    Fault('hang', Effect.HANG),
    Fault('hang, lagging load', Effect.HANG, load_lag_s=3.0),
    Fault('slow 5x, probes true', Effect.SLOW, 5.0, probes=Probes.TRUE),
    Fault('flap 1 s, errors', Effect.FAIL, 1.0, period_s=1.0),
    Fault('flap 10 s, errors', Effect.FAIL, 1.0, period_s=10.0),
    Fault('flap 2 min, hang', Effect.HANG, period_s=120.0),
)
HEALTHY_FAULTS: Final = (
    Fault('probes bad', Effect.NOTHING, probes=Probes.ALWAYS_BAD, sick=False),
    Fault('lagging load', Effect.NOTHING, load_lag_s=3.0, sick=False),
    Fault('cut to 1 daemon', Effect.CUT, cut_daemons=1, sick=False),
    Fault('cut to 1 zone', Effect.CUT, cut_daemons=3, sick=False),
    Fault('gray daemon', Effect.GRAY_DAEMON, sick=False),
    Fault('all slow 5x', Effect.ALL_SLOW, 5.0, sick=False),
    Fault('overload', Effect.OVERLOAD, 1.5, sick=False),
    Fault('cold start', Effect.REPLACED, sick=False),
    Fault('crashing request', Effect.CRASHING_REQUEST, sick=False),
)
HEALTHY_TRAFFIC: Final = (
    Traffic('steady', 0.3),
    Traffic('bursty', 0.6, bursts=True),
    Traffic('overloaded', 1.2),
    Traffic('cold starts', 0.5, replaced_every_s=45.0),
    Traffic('all slow at once', 0.2, whole_service_slow_every_s=30.0),
    Traffic('quiet', 0.02),
)
