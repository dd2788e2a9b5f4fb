"""The fleets whose traffic is simulated: their daemons, targets and callers."""

import dataclasses
import ipaddress
import random
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.membership import capacity, members
from sardinepier.routing import fleet_bucket
from sardinepier.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The requests of one service, for a fleet of a hundred daemons."""

    name: str
    per_s: float
    work_s: float
    targets: int
    is_repeatable: bool


SERVICES: Final = (
    ServiceLoad('read', 100.0, 0.315, 22, is_repeatable=True),
    ServiceLoad('write', 200.0, 0.242, 32, is_repeatable=False),
    ServiceLoad('pay', 65.0, 0.16, 10, is_repeatable=False),
)
"""In all a request uses about 0.7 of the slots of healthy targets."""

REFERENCE_DAEMONS: Final = 100
CUSTOMERS: Final = 75
SLOTS: Final = 3
REQUEST_BYTES: Final = 700
ANSWER_BYTES: Final = 1500
FAILING_SHARE: Final = 0.3
FAILING_S: Final = 10.0
FAILED_SHARE: Final = 0.8
FAILURE_S: Final = 0.008
LIMIT_FACTOR: Final = 2.0
MIN_BURST: Final = 5.0
MAX_ATTEMPTS: Final = 2
START_SPREAD_S: Final = 0.3
FIRST_REQUEST_S: Final = 1.0
MAX_WAIT_S: Final = 0.5
POLL_S: Final = 0.02
LINK_DELAY_S: Final = 0.0014
_PORT: Final = 7000
_FIRST_ADDRESS: Final = ipaddress.IPv4Address('10.9.0.1')


def _member(
    number: int,
    zone: ids.ZoneName,
    random_source: random.Random,
) -> members.Member:
    ip = str(_FIRST_ADDRESS + number)
    instance_id = f'entry-{number}~{random_source.getrandbits(64):016x}'
    return members.Member(
        instance_id=ids.InstanceId(instance_id),
        daemon_id=ids.DaemonId(f'entry-{number}'),
        zone=zone,
        region=ids.RegionName('region-1'),
        peer_address=messages.PeerAddress(ip, _PORT),
        http_ip=ip,
        http_port=_PORT + 1,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=0.0,
        capacity=capacity.Capacity(
            processor_millis=random_source.randint(430, 2150),
            link_kbit_per_s=1000 * random_source.randint(5, 100),
        ),
    )


def _target_list(scale: float, zones: int) -> model.TargetList:
    return model.TargetList(
        1,
        tuple(
            model.ListedTarget(
                target_id=ids.TargetId(f'{load.name}-{number:04d}'),
                service=ids.ServiceName(load.name),
                ip='127.0.0.1',
                port=1,
                zone=_zone(number, zones),
                slots=SLOTS,
                state=model.TargetState.READY,
            )
            for load in SERVICES
            for number in range(max(zones, round(scale * load.targets)))
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetScenario:
    """The daemons, targets and customers of one fleet.

    ``scale`` is its size relative to a hundred daemons. ``customer_weights``
    are the shares of customers in all requests; few customers are large.
    """

    scale: float
    members: tuple[members.Member, ...]
    targets: model.TargetList
    customer_weights: Mapping[ids.CustomerName, float]

    def limits(self) -> dict[ids.CustomerName, fleet_bucket.Limit]:
        """Return limits of customers, of twice what each of them sends."""
        per_s = self.scale * sum(load.per_s for load in SERVICES)
        return {
            name: fleet_bucket.Limit(
                LIMIT_FACTOR * per_s * weight,
                LIMIT_FACTOR * per_s * weight + MIN_BURST,
            )
            for name, weight in self.customer_weights.items()
        }


def fleet(
    count: int, zones: int, random_source: random.Random
) -> FleetScenario:
    """Return a fleet of ``count`` daemons, spread evenly over the zones."""
    scale = count / REFERENCE_DAEMONS
    return FleetScenario(
        scale,
        tuple(
            _member(number, _zone(number, zones), random_source)
            for number in range(count)
        ),
        _target_list(scale, zones),
        _customer_weights(),
    )


def _zone(number: int, zones: int) -> ids.ZoneName:
    return ids.ZoneName(f'zone-{number % zones + 1}')


def _customer_weights() -> dict[ids.CustomerName, float]:
    weights = {
        ids.CustomerName(f'customer-{number}'): 1 / number
        for number in range(1, CUSTOMERS + 1)
    }
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}
