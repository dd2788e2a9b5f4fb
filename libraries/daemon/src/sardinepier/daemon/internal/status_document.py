"""Builds the status document from the daemon's parts."""

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

_OUTCOME_METRIC: Final = 'answers'
_MALFORMED: Final = frozenset(
    (
        counters.DropReason.MALFORMED,
        counters.DropReason.UNKNOWN_KIND,
        counters.DropReason.WRONG_VERSION,
        counters.DropReason.BAD_SENDER,
    ),
)


class DaemonState(enum.Enum):
    """The lifecycle state of the daemon."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSource:
    """Collects the content of the status document."""

    context: contexts.GatewayContext
    store: stores.Store
    network: zmq_network.ZmqNetwork

    async def document(self, state: DaemonState) -> status.DaemonStatus:
        """Return the current document, in steps between which requests run."""
        context = self.context
        own = context.view.own
        snapshot = await context.metrics.snapshot_in_steps()
        uptime_s = context.clock.monotonic_s() - context.started_at_s
        return status.DaemonStatus(
            instance_id=own.instance_id,
            daemon_id=own.daemon_id,
            zone=own.zone,
            region=own.region,
            state=state.value,
            uptime_s=uptime_s,
            members=tuple(_member(member) for member in context.view.members()),
            files=tuple(self._files()),
            services=tuple(_service(runtime) for runtime in context.services),
            outcomes=summaries.outcomes(snapshot, _OUTCOME_METRIC),
            latencies=summaries.latencies(snapshot),
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
    return tuple(str(problem) for problem in known.rejected.problems)


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
    zones = {target.target_id: target.zone for target in settings.targets}
    return status.ServiceStatus(
        name=settings.name,
        targets=tuple(
            status.TargetStatus(
                target_id=target_status.target_id,
                zone=zones.get(target_status.target_id, ''),
                state=target_status.state.value,
                weight=target_status.weight,
                reason=_reason(target_status.reason),
                in_flight=target_status.in_flight,
                incarnation=target_status.incarnation,
                evidence=target_status.score,
                returns_in_s=target_status.returns_in_s,
            )
            for target_status in runtime.health.status()
        ),
        queued_requests=len(runtime.queue),
        floor_percent=settings.floor_percent,
    )


def _reason(reason: targets.Reason) -> str:
    return '' if reason is targets.Reason.NONE else reason.value


def _peers(network_counters: counters.NetworkCounters) -> status.PeerCounters:
    return status.PeerCounters(
        sent_messages=network_counters.messages_sent,
        received_messages=network_counters.messages_received,
        dropped_messages=sum(network_counters.dropped.values()),
        malformed_messages=sum(
            count
            for reason, count in network_counters.dropped.items()
            if reason in _MALFORMED
        ),
        sent_bytes=network_counters.bytes_sent,
        received_bytes=network_counters.bytes_received,
    )
