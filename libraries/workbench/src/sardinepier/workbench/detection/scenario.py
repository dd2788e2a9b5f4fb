"""Parameters of one run of the experiment: service, traffic and fault."""

import dataclasses
import enum
from typing import Final

from sardinepier.workbench.detection.internal import case_tables


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of one of the users, and its group of daemons.

    ``spread`` is the standard deviation of a service time's logarithm.
    ``failure_share`` of the requests fail at a healthy target, which also
    pauses every ``pause_every_s`` on average, for at most
    ``longest_pause_ms``.
    """

    name: str
    targets: int
    slots: int
    daemons: int
    route_ms: tuple[float, ...]
    """Median service time of each route."""

    spread: float
    timeout_ms: float
    failure_share: float
    pause_every_s: float
    longest_pause_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Load as a share of the service's capacity, and how it varies."""

    name: str
    load: float
    bursts: bool = False
    """Load doubles for 2 s, 20 s after the end of the last burst."""

    replaced_every_s: float = 0.0
    """Interval at which a target is replaced by a cold one; 0 for never."""

    whole_service_slow_every_s: float = 0.0
    """Interval at which all targets take 3 times as long for 5 s; 0 for never."""


class Effect(enum.Enum):
    """What a fault changes."""

    SLOW = 'slow'
    FAIL = 'fail'
    WRONG = 'wrong'
    HANG = 'hang'
    CUT = 'cut'
    """Requests from some daemons never reach the target."""

    GRAY_DAEMON = 'gray-daemon'
    """One daemon sees its attempts slowed, and some of them failed."""

    ALL_SLOW = 'all-slow'
    OVERLOAD = 'overload'
    REPLACED = 'replaced'
    CRASHING_REQUEST = 'crashing-request'
    NOTHING = 'nothing'


class Probes(enum.Enum):
    """What the health endpoint of the faulty target answers."""

    HONEST = 'honest'
    ALWAYS_GOOD = 'always-good'
    ALWAYS_BAD = 'always-bad'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault case, which affects the first target or the first daemons."""

    name: str
    effect: Effect
    amount: float = 1.0
    """Factor for SLOW, ALL_SLOW and OVERLOAD; share for FAIL and WRONG."""

    period_s: float = 0.0
    """Flapping: on for the first half of each period; 0 for steady."""

    cut_daemons: int = 0
    probes: Probes = Probes.ALWAYS_GOOD
    load_lag_s: float = 0.0
    """Delay of in-flight counts on the way to peers."""

    sick: bool = True
    """Whether every daemon should eject the first target."""


SERVICES: Final = case_tables.parse(Service, case_tables.SERVICES)
"""Red Tesis's three services, then Kloofnek's."""

LOADS: Final = case_tables.parse(Traffic, case_tables.LOADS)
HEALTHY_TRAFFIC: Final = case_tables.parse(
    Traffic,
    case_tables.HEALTHY_TRAFFIC,
)
FAULTS: Final = case_tables.parse(Fault, case_tables.FAULTS)
SICK_FAULTS: Final = tuple(fault for fault in FAULTS if fault.sick)
"""Faults for which every daemon should eject the first target."""
