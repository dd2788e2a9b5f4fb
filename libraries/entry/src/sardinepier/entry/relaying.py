"""Relays requests to daemons that reach the targets, over one hop at most.

A daemon that can't connect to the targets of a service lets a peer make the
attempt. The peer makes one attempt and never relays it on. Retries, their
budget, limits of customers and the deadline stay with the daemon that received
the request, so that each counts once.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import yarl

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    attempt_trace,
    caller_request,
    context,
    relay_messages,
    retries,
    send_checks,
)
from sardinepier.gateway import errors, unsent

_MAX_PEERS: Final = 6
"""Peers that are tried before a request is refused: where half of all daemons are
cut off, one request in 64 meets six of them in a row."""

_AVOIDED_S: Final = 1.0
"""How long a peer is avoided that could not be reached, or reaches no target."""

_HOPELESS_S: Final = 0.25
"""How long requests are refused without asking after no peer reached a target:
the targets are gone, and each request would ask further peers."""

_REPLY_MARGIN_S: Final = 0.01
"""How much earlier the peer's deadline is, so that its reply arrives in time."""

_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A daemon that accepts relayed requests at ``url``."""

    instance_id: ids.InstanceId
    zone: ids.ZoneName
    url: yarl.URL


class PeerSource(Protocol):
    """Names the daemons to which requests may be relayed."""

    @property
    def own_id(self) -> ids.InstanceId:
        """Return the id of this daemon."""
        ...

    def knows_any(self) -> bool:
        """Return whether there is any peer."""
        ...

    def candidates(self) -> Iterable[Peer]:
        """Return the peers, those first that most likely reach the targets."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """A target's answer that came through a peer, with the peer's reply."""

    reply: relay_messages.RelayReply
    answer: answers.Answer


class Transport(Protocol):
    """Sends one relayed attempt to one peer."""

    async def send(
        self,
        peer: Peer,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
        permit: Callable[[], None],
    ) -> RelayedAnswer | relay_messages.RelayReply:
        """Return the peer's reply, with the answer if a target answered.

        ``permit`` is called right before the first byte. Raises
        ``ConnectFailedError`` if nothing was sent, and subclasses of
        ``UnknownFateError`` if the reply was lost.
        """
        ...


class Relaying:
    """Relays the requests of one daemon to its peers."""

    def __init__(
        self,
        shared: context.EntryContext,
        peers: PeerSource,
        transport: Transport,
    ) -> None:
        """Relay to ``peers`` by ``transport``."""
        self._shared = shared
        self._peers = peers
        self._transport = transport
        self._avoided_until_s: dict[
            tuple[ids.InstanceId, ids.ServiceName], float
        ] = {}
        self._hopeless_until_s: dict[ids.ServiceName, float] = {}

    def knows_peers(self) -> bool:
        """Return whether there is any daemon to relay to."""
        return self._peers.knows_any()

    async def attempt(
        self,
        request: caller_request.CallerRequest,
        history: retries.AttemptHistory,
        *,
        is_final: bool,
    ) -> answers.Answer:
        """Let a peer make one attempt, and return the target's answer.

        Another peer is tried as long as nothing was sent to a target. Raises
        ``CutOffError`` if no peer reaches one, and the errors of attempts.
        """
        self._require_hope(request.service)
        request.attempts += 1
        failure: errors.ProvedNotRunError | None = None
        for _ in range(_MAX_PEERS):
            peer = self._choose(request)
            if peer is None:
                break
            request.relayed_to.add(peer.instance_id)
            try:
                return await self._attempt_at(
                    peer, request, history, is_final=is_final
                )
            except (
                relay_messages.CutOffError,
                errors.ConnectFailedError,
                unsent.NoDescriptorError,
            ) as error:
                if not retries.may_send_again(request):
                    raise
                failure = error
                self._avoid(peer, request.service)
        now_s = self._shared.clock.monotonic_s()
        self._hopeless_until_s[request.service] = now_s + _HOPELESS_S
        raise _no_peer_error() from failure

    def _require_hope(self, service: ids.ServiceName) -> None:
        now_s = self._shared.clock.monotonic_s()
        if now_s < self._hopeless_until_s.get(service, now_s):
            raise _no_peer_error()

    async def _attempt_at(
        self,
        peer: Peer,
        request: caller_request.CallerRequest,
        history: retries.AttemptHistory,
        *,
        is_final: bool,
    ) -> answers.Answer:
        began_s = self._shared.clock.monotonic_s()
        outcome = relay_messages.RelayOutcome.ANSWERED.value
        what = ''
        try:
            answer = await self._exchange(
                peer, request, history, is_final=is_final
            )
        except core_errors.SardinepierError as error:
            outcome = type(error).__name__
            what = f': {error.what}'
            raise
        except asyncio.CancelledError:
            outcome = 'cancelled'
            raise
        finally:
            self._record(request, peer, outcome, what, began_s)
        self._shared.metrics.relayed_bytes(
            len(request.body) + answer.length_bytes,
            crosses_zones=peer.zone != self._shared.services.zone,
        )
        return answer

    def _record(
        self,
        request: caller_request.CallerRequest,
        peer: Peer,
        outcome: str,
        what: str,
        began_s: float,
    ) -> None:
        elapsed_s = self._shared.clock.monotonic_s() - began_s
        self._shared.metrics.relayed(request.service, outcome)
        self._shared.decision_log.log_relayed(
            request, peer.instance_id, outcome, elapsed_s
        )
        request.history.append(
            attempt_trace.AttemptTrace(
                receiver=peer.instance_id,
                connection=attempt_trace.ConnectionUse.PEER,
                outcome=f'{outcome}{what}',
                taken_ms=_ms(elapsed_s),
            )
        )

    async def _exchange(
        self,
        peer: Peer,
        request: caller_request.CallerRequest,
        history: retries.AttemptHistory,
        *,
        is_final: bool,
    ) -> answers.Answer:
        sent = _Permit(self._shared, request)
        left_s = request.left_s(self._shared.clock)
        try:
            async with asyncio.timeout(left_s):
                replied = await self._transport.send(
                    peer,
                    request,
                    self._message(request, history, is_final=is_final),
                    sent.require,
                )
        except TimeoutError as error:
            if not sent.was_given:
                request.require_time_left(self._shared.clock)
            raise errors.AnswerOverdueError(
                'The daemon that has the request did not answer in time',
                'Check whether the request ran before sending it again',
            ) from error
        if isinstance(replied, RelayedAnswer):
            _record_tried(request, history, replied.reply)
            return replied.answer
        _record_tried(request, history, replied)
        if replied.outcome in relay_messages.NOT_RUN:
            request.prove_not_run()
        relay_messages.raise_error(replied)
        raise errors.BadAnswerError(
            'The daemon that has the request sent no answer of a target',
            'Check whether the request ran before sending it again',
        )

    def _message(
        self,
        request: caller_request.CallerRequest,
        history: retries.AttemptHistory,
        *,
        is_final: bool,
    ) -> relay_messages.RelayedAttempt:
        now_s = self._shared.clock.monotonic_s()
        return relay_messages.RelayedAttempt(
            self._peers.own_id,
            request.service,
            request.route,
            request.priority,
            _ms(now_s - request.arrived_s),
            _ms(request.caller_deadline_s - now_s - _REPLY_MARGIN_S),
            _ms(request.deadline_s - now_s - _REPLY_MARGIN_S),
            tuple(history.tried - request.unreached),
            is_final,
        )

    def _choose(self, request: caller_request.CallerRequest) -> Peer | None:
        """Return the best peer, rather one that has not had the request."""
        first: Peer | None = None
        for peer in self._available(request.service):
            if peer.instance_id not in request.relayed_to:
                return peer
            first = first or peer
        return first

    def _available(self, service: ids.ServiceName) -> Iterable[Peer]:
        now_s = self._shared.clock.monotonic_s()
        for peer in self._peers.candidates():
            key = (peer.instance_id, service)
            if now_s >= self._avoided_until_s.get(key, now_s):
                yield peer

    def _avoid(self, peer: Peer, service: ids.ServiceName) -> None:
        now_s = self._shared.clock.monotonic_s()
        self._avoided_until_s = {
            key: until_s
            for key, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        self._avoided_until_s[peer.instance_id, service] = now_s + _AVOIDED_S


class _Permit:
    """Marks a request as sent right before its first byte."""

    def __init__(
        self,
        shared: context.EntryContext,
        request: caller_request.CallerRequest,
    ) -> None:
        self.was_given = False
        self._shared = shared
        self._request = request

    def require(self) -> None:
        """Raise if the request must not be sent any more."""
        send_checks.require_sendable(
            self._shared,
            self._request,
            self._shared.services.pool(self._request.service),
        )
        self.was_given = True
        self._request.mark_sent()


def _ms(seconds: float) -> int:
    return max(0, round(seconds * _MS_PER_S))


def _no_peer_error() -> relay_messages.CutOffError:
    return relay_messages.CutOffError(
        'No daemon reaches a target of the service',
        'Send it again after the stated time',
    )


def _record_tried(
    request: caller_request.CallerRequest,
    history: retries.AttemptHistory,
    reply: relay_messages.RelayReply,
) -> None:
    history.tried.update(reply.tried)
    request.unreached.difference_update(reply.tried)
