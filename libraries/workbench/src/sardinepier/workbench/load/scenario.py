"""Scenarios of the load experiment."""

import dataclasses
import enum
from typing import Final

from sardinepier.routing import in_flight

ZONES: Final = ('z1', 'z2', 'z3')


class Policy(enum.Enum):
    """How a daemon chooses among the targets with a free slot."""

    LEAST_LOADED_OF_TWO = 'least loaded of two'
    ROUND_ROBIN = 'round robin'
    RANDOM = 'random'
    LOCAL_FIRST_PAPER = 'local first, alpha/gamma'
    LOCAL_FIRST_FREE = 'local first if free'


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, at the size of one deployment.

    ``zone_latency_ms`` is the one-way latency between two zones; within a zone
    it is a tenth of that. Service times are exponential with the given mean.
    """

    name: str
    targets: int
    slots: int
    service_ms: float
    zone_latency_ms: float

    @property
    def slots_total(self) -> int:
        """Return the slots of all targets."""
        return self.targets * self.slots

    def requests_per_s(self, load_percent: float) -> float:
        """Return the arrival rate that uses that share of the slots."""
        return load_percent * 10 * self.slots_total / self.service_ms


# Targets and slots are those of the deployments; the service times are assumed
# to be between 20 ms and 200 ms.
SEARCH: Final = Service(
    'Red Tesis search',
    targets=6,
    slots=3,
    service_ms=50,  # noqa: WPS432 - a size of a deployment
    zone_latency_ms=1,
)
DEPOSIT: Final = Service(
    'Red Tesis deposit',
    targets=14,  # noqa: WPS432 - a size of a deployment
    slots=3,
    service_ms=100,
    zone_latency_ms=1,
)
EMBARGO: Final = Service(
    'Red Tesis embargo',
    targets=16,  # noqa: WPS432 - a size of a deployment
    slots=3,
    service_ms=50,  # noqa: WPS432 - a size of a deployment
    zone_latency_ms=1,
)
CHECKLIST: Final = Service(
    'Kloofnek checklist',
    targets=6,
    slots=2,
    service_ms=20,  # noqa: WPS432 - a size of a deployment
    zone_latency_ms=0.5,
)
POSTING: Final = Service(
    'Kloofnek posting',
    targets=14,  # noqa: WPS432 - a size of a deployment
    slots=2,
    service_ms=100,
    zone_latency_ms=0.5,
)
REPORTING: Final = Service(
    'Kloofnek reporting',
    targets=14,  # noqa: WPS432 - a size of a deployment
    slots=2,
    service_ms=200,  # noqa: WPS432 - a size of a deployment
    zone_latency_ms=0.5,
)

SERVICES: Final = (SEARCH, DEPOSIT, EMBARGO, CHECKLIST, POSTING, REPORTING)


@dataclasses.dataclass(frozen=True)
class CallerClass:
    """A class of requests, with its share of the arrivals in percent."""

    name: str
    priority: int
    percent: float = 100
    deadline_ms: float = 2000
    callers: int = 100


@dataclasses.dataclass(frozen=True)
class Phase:
    """A period with a constant load and a constant rate of failing attempts."""

    duration_s: float
    load_percent: float
    failing_percent: float = 0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run: a service, its daemons, their policy and the arrivals."""

    service: Service
    phases: tuple[Phase, ...]
    policy: Policy = Policy.LEAST_LOADED_OF_TWO
    pooled: bool = True
    home_slots: bool = True
    daemons: int = 9
    classes: tuple[CallerClass, ...] = (CallerClass('all', 1),)
    report_interval_ms: float = 100
    first_daemon_weight: float = 1
    slot_options: in_flight.SlotOptions = in_flight.SlotOptions()
    queue_length: int = 100
    retry_budget_percent: float = 10
    shed_waits: bool = True
    caller_requests_per_s: float = 0
    caller_burst: int = 20
    ejected_targets: int = 0
    seed: int = 1

    @property
    def duration_s(self) -> float:
        """Return the time in which requests arrive, in seconds."""
        return sum(phase.duration_s for phase in self.phases)
