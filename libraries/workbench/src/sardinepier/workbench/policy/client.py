"""The HTTP client of an emulated daemon: the network is a fixed delay."""

import asyncio
import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import multidict
import yarl

from sardinepier.entry import header_names
from sardinepier.gateway import connections, errors
from sardinepier.gateway import headers as gateway_headers
from sardinepier.membership import members
from sardinepier.workbench.policy import links, scenario, tally, targets

WORK_HEADER: Final = 'X-Emulated-Work'
"""Carries the processing time of the request in seconds. The caller draws it,
so that all variants get the same requests."""

CRASH_HEADER: Final = 'X-Emulated-Crash'
"""Carries the fingerprint of a request that crashes the targets that run it."""

_NAMES: Final = header_names.HeaderNames()
_BODY: Final = b'an answer'


@dataclasses.dataclass(slots=True)
class _Content:
    """The body of an answer, read in one piece."""

    remaining: bytes = _BODY
    total_bytes: int = 0

    async def readany(self) -> bytes:
        """Return the whole body, and no bytes at the end."""
        piece = self.remaining
        self.total_bytes += len(piece)
        self.remaining = b''
        return piece

    def exception(self) -> BaseException | None:
        """Return None: no body is broken."""


@dataclasses.dataclass(slots=True)
class Response:
    """The parts of an HTTP response that the request path uses."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    reason: str = ''
    content: _Content = dataclasses.field(default_factory=_Content)

    def close(self) -> None:
        """Do nothing: there is no connection."""


class EmulatedClient:
    """Sends the requests of one daemon to the emulated targets."""

    def __init__(
        self,
        setup: scenario.Scenario,
        own: members.Member,
        known_targets: Sequence[targets.Target],
        counts: tally.Tally,
    ) -> None:
        """Send to ``known_targets``; ``counts`` records every arrival."""
        self.links = links.TargetLinks()
        self._setup = setup
        self._zone = own.zone
        self._source = str(own.instance_id)
        self._compliance = counts.compliance
        self._crashes = counts.crashes
        self._runs = counts.runs
        self._by_ip = {target.listed.ip: target for target in known_targets}

    async def close(self) -> None:
        """Do nothing: there is no connection."""

    async def open(
        self,
        method: str,
        url: yarl.URL,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        connect_timeout_s: float,
        permit: Callable[[], None],
        expects: connections.Expectation,
        **options: Any,
    ) -> Response:
        """Send a request; ``options`` of real connections have no effect."""
        target = self._by_ip[url.host or '']
        delay_s = self._setup.cross_zone_s
        if target.listed.zone == self._zone:
            delay_s = self._setup.in_zone_s
        is_new = await self.links.connect(
            target.listed.ip,
            delay_s,
            connect_timeout_s,
            is_refusing=target.is_refusing,
        )
        if is_new and expects.on_connected is not None:
            expects.on_connected()
        permit()
        sent = dict(headers)
        async with self.links.exchange():
            reply = await self._exchange(target, sent, delay_s)
        self.links.release(target.listed.ip)
        now_s = asyncio.get_running_loop().time()
        self._record_statements(target, reply, now_s)
        request_id = sent[_NAMES.attempt_id]
        return Response(reply.status, _headers(target, reply, request_id))

    async def check_connection(
        self, ip: str, port: int, timeout_s: float
    ) -> None:
        """Make a connection; raise ``ConnectFailedError``."""
        target = self._by_ip[ip]
        await self.links.make(
            self._setup.cross_zone_s, timeout_s, is_refusing=target.is_refusing
        )

    async def _exchange(
        self,
        target: targets.Target,
        headers: Mapping[str, str],
        delay_s: float,
    ) -> targets.Reply:
        """Return the target's reply once it has arrived."""
        await self.links.transfer(delay_s)
        now_s = asyncio.get_running_loop().time()
        target_id = target.listed.target_id
        self._compliance.record_arrival(target_id, self._source, now_s)
        request_id = headers[_NAMES.attempt_id]
        self._runs.record_start(request_id)
        try:
            reply = await target.serve(self._work(headers))
        except targets.ResetError as error:
            await asyncio.sleep(delay_s)
            raise errors.ConnectionLostError(
                'The target ended the connection without an answer',
                'Check whether the request ran before sending it again',
            ) from error
        if not reply.has_run:
            self._runs.record_not_run(request_id)
        await self.links.transfer(delay_s)
        return reply

    def _work(self, headers: Mapping[str, str]) -> targets.Work:
        """Return what the request means for its target."""
        work_s = float(headers[WORK_HEADER])
        if CRASH_HEADER not in headers:
            return targets.Work(work_s)
        fingerprint = int(headers[CRASH_HEADER])
        now_s = asyncio.get_running_loop().time()
        self._crashes.record_send(fingerprint, now_s)
        return targets.Work(work_s, lambda: self._record_crash(fingerprint))

    def _record_crash(self, fingerprint: int) -> None:
        now_s = asyncio.get_running_loop().time()
        self._crashes.record_crash(fingerprint, now_s)

    def _record_statements(
        self,
        target: targets.Target,
        reply: targets.Reply,
        now_s: float,
    ) -> None:
        """Record what the target stated to this daemon."""
        target_id = target.listed.target_id
        source = self._source
        if target.limit_per_s is None:
            self._compliance.clear_limit(target_id)
        else:
            self._compliance.record_limit(
                target_id, source, now_s, target.limit_per_s
            )
        if target.is_leaving:
            self._compliance.record_leaving(target_id, source, now_s)
        if reply.retry_after_s:
            self._compliance.record_backoff(
                target_id, source, now_s, reply.retry_after_s
            )


def _headers(
    target: targets.Target,
    reply: targets.Reply,
    request_id: str,
) -> multidict.CIMultiDictProxy[str]:
    fields = multidict.CIMultiDict(
        {
            _NAMES.attempt_id: request_id,
            _NAMES.signature: 'emulated',
            _NAMES.load: reply.load,
        },
    )
    if not reply.has_run:
        fields[_NAMES.not_run] = '1'
    if reply.retry_after_s:
        fields[gateway_headers.RETRY_AFTER] = str(reply.retry_after_s)
    if target.is_leaving:
        fields[_NAMES.leaving] = '1'
    if target.limit_per_s is not None:
        fields[_NAMES.limit] = str(target.limit_per_s)
    return multidict.CIMultiDictProxy(fields)
