"""What the answers of a daemon cost that name the fleet."""

import functools
import random
import types
from typing import Any, Final, cast

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.gateway import activity, addresses
from sardinepier.gateway import context as contexts
from sardinepier.settings import parsing
from sardinepier.telemetry import status
from sardinepier.workbench.capacity import parts, parts_membership, texts

_SIZES: Final = (48, 150, 500, 1500)
_EPOCH_S: Final = 30.0
_JUDGED: Final = 6
_FILES: Final = 340


def measure(quick: bool) -> parts.Part:
    """Measure the addresses answer and the status document by size."""
    part = parts.Part('pages')
    fleet = parsing.parse_fleet(texts.fleet_text(), 'fleet')
    service = parsing.parse_service(texts.service_text(0), 'service/service-0')
    for size in _SIZES[: 2 if quick else None]:
        answerer = addresses.Addresses(_context(size))
        choose = functools.partial(
            answerer.choose,
            fleet,
            service,
            texts.ZONES[0],
        )
        part.cost('addresses chosen', size, choose)
        answer = msgspec.json.encode(choose())
        part.amount('addresses answer', size, len(answer), 'bytes')
        document = _status(size)
        part.cost(
            'status encoded',
            size,
            functools.partial(status.encode, document),
        )
        part.amount('status', size, len(status.encode(document)), 'bytes')
    return part


def _context(size: int) -> contexts.GatewayContext:
    """Return as much of a gateway's context as the answer needs."""
    daemon = parts_membership.KnowingDaemon(size)
    needed: Any = types.SimpleNamespace(
        own=daemon.membership.own.instance_id,
        started_at_s=0.0,
        clock=clocks.SystemClock(),
        random_source=random.Random(1),
        view=daemon.membership,
        ledger=types.SimpleNamespace(epoch_s=_EPOCH_S),
        activity=activity.Activity(),
    )
    return cast(contexts.GatewayContext, needed)


def _status(size: int) -> status.DaemonStatus:
    own = parts_membership.member(0, 0.0)
    return status.DaemonStatus(
        instance_id=own.instance_id,
        daemon_id=own.daemon_id,
        zone=own.zone,
        region=own.region,
        state='serving',
        uptime_s=1.0,
        members=tuple(_member(number) for number in range(size)),
        files=tuple(
            status.FileStatus(
                name=f'service/{texts.service_name(number)}',
                revision=number,
            )
            for number in range(_FILES)
        ),
        services=tuple(_service(number) for number in range(_JUDGED)),
    )


def _member(number: int) -> status.MemberStatus:
    member = parts_membership.member(number, 0.0)
    return status.MemberStatus(
        instance_id=member.instance_id,
        daemon_id=member.daemon_id,
        zone=member.zone,
        region=member.region,
        state=member.state.value,
        incarnation=member.incarnation,
    )


def _service(number: int) -> status.ServiceStatus:
    return status.ServiceStatus(
        name=texts.service_name(number),
        targets=tuple(
            status.TargetStatus(
                target_id=f'worker-{place}',
                zone=texts.zone(place),
                state='in-service',
                weight=1.0,
                incarnation=f'i-{place:014x}',
            )
            for place in range(texts.TARGETS)
        ),
    )
