"""Fills the status document out of the daemon's parts."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Final

from sardinepier.configuration import files as configured
from sardinepier.configuration import store as stores
from sardinepier.gateway import context as contexts
from sardinepier.gateway import service_runtime
from sardinepier.health import targets
from sardinepier.membership import members
from sardinepier.telemetry import status, summaries
from sardinepier.wire import counters, zmq_network

_OUTCOMES: Final = 'answers'
_MALFORMED: Final = frozenset(
    (
        counters.DropReason.MALFORMED,
        counters.DropReason.UNKNOWN_KIND,
        counters.DropReason.WRONG_VERSION,
        counters.DropReason.BAD_SENDER,
    ),
)


class DaemonState(enum.Enum):
    """How far this daemon is between its start and its end."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSource:
    """Where the facts of the status document come from."""

    context: contexts.GatewayContext
    store: stores.Store
    network: zmq_network.ZmqNetwork

    async def document(self, state: DaemonState) -> status.DaemonStatus:
        """Return the whole document as of now, letting requests go first."""
        context = self.context
        own = context.view.own
        measured = await context.metrics.snapshot_in_steps()
        age_s = context.clock.monotonic_s() - context.started_at_s
        return status.DaemonStatus(
            instance_id=own.instance_id,
            daemon_id=own.daemon_id,
            zone=own.zone,
            region=own.region,
            state=state.value,
            uptime_s=age_s,
            members=tuple(_member(one) for one in context.view.members()),
            files=tuple(self._files()),
            services=tuple(_service(one) for one in context.services),
            outcomes=summaries.outcomes(measured, _OUTCOMES),
            latencies=summaries.latencies(measured),
            peers=_peers(self.network.counters()),
        )

    def _files(self) -> Iterator[status.FileStatus]:
        for name, known in sorted(self.store.known().items()):
            if not known.is_deleted:
                yield status.FileStatus(
                    name=name,
                    revision=known.in_force_revision,
                    problems=_problems(known),
                )


def _problems(known: configured.KnownFile) -> tuple[str, ...]:
    if known.rejected is None:
        return ()
    return tuple(str(one) for one in known.rejected.problems)


def _member(member: members.Member) -> status.MemberStatus:
    return status.MemberStatus(
        instance_id=member.instance_id,
        daemon_id=member.daemon_id,
        zone=member.zone,
        region=member.region,
        state=member.state.value,
        incarnation=member.incarnation,
    )


def _service(runtime: service_runtime.ServiceRuntime) -> status.ServiceStatus:
    settings = runtime.snapshot.settings
    zones = {one.target_id: one.zone for one in settings.targets}
    return status.ServiceStatus(
        name=settings.name,
        targets=tuple(
            status.TargetStatus(
                target_id=one.target_id,
                zone=zones.get(one.target_id, ''),
                state=one.state.value,
                weight=one.weight,
                reason=_reason(one.reason),
                in_flight=one.in_flight,
                incarnation=one.incarnation,
                evidence=one.score,
                returns_in_s=one.returns_in_s,
            )
            for one in runtime.health.status()
        ),
        queued_requests=len(runtime.queue),
        floor_percent=settings.floor_percent,
    )


def _reason(reason: targets.Reason) -> str:
    return '' if reason is targets.Reason.NONE else reason.value


def _peers(counted: counters.NetworkCounters) -> status.PeerCounters:
    return status.PeerCounters(
        sent_messages=counted.messages_sent,
        received_messages=counted.messages_received,
        dropped_messages=sum(counted.dropped.values()),
        malformed_messages=sum(
            count
            for reason, count in counted.dropped.items()
            if reason in _MALFORMED
        ),
        sent_bytes=counted.bytes_sent,
        received_bytes=counted.bytes_received,
    )
