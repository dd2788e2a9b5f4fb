"""A caller that resends a request only where that is safe."""

import asyncio
import dataclasses
import random
from collections.abc import Sequence
from typing import Final

import aiohttp

from sardinepier.core import clock
from sardinepier.standins import target_answers
from sardinepier.workbench.traffic import (
    address_book,
    exchange,
    options,
    records,
)

_MS_PER_S: Final = 1000.0
_MIN_WAIT_S: Final = 0.05


@dataclasses.dataclass(slots=True)
class _Progress:
    """The state of one request between its attempts."""

    record: records.RequestRecord
    address: address_book.Address | None = None
    key: str = ''
    tried: list[options.Endpoint] = dataclasses.field(default_factory=list)


class Caller:
    """One customer with its own addresses.

    A keyed request whose fate is unknown is sent again with the *same* key,
    to another address. It gets a new key and home only after a refusal that
    proves it was not run, or when no connection could be made.
    """

    def __init__(
        self,
        name: str,
        session: aiohttp.ClientSession,
        traffic: options.TrafficOptions,
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start without addresses."""
        self._name = name
        self._session = session
        self._options = traffic
        self._clock = time_source
        self._address_book = address_book.AddressBook(
            session,
            traffic,
            time_source,
            random_source,
        )

    async def call(
        self,
        request: exchange.Request,
        keyed: bool,
    ) -> records.RequestRecord:
        """Send ``request`` until its fate is known or resends run out."""
        started_at_s = self._clock.monotonic_s()
        record = records.RequestRecord(request.tag, keyed, started_at_s)
        progress = _Progress(record)
        for _ in range(self._options.resends + 1):
            attempt = await self._attempt(request, progress)
            record.attempts.append(attempt)
            record.total_ms = self._elapsed_ms(started_at_s)
            if len(record.attempts) == 1:
                record.first_attempt_ms = record.total_ms
            if _is_final(attempt):
                break
            await self._wait(attempt)
        _record_key(progress)
        return record

    async def _attempt(
        self,
        request: exchange.Request,
        progress: _Progress,
    ) -> records.Attempt:
        try:
            address = await self._address_book.choose(progress.tried)
        except address_book.NoAddressError:
            return records.Attempt(records.Kind.NOT_CONNECTED)
        progress.tried.append(address.endpoint)
        headers = {self._options.caller_header: self._name}
        if progress.record.keyed:
            headers[target_answers.KEY_HEADER] = _key_for(progress, address)
        attempt = await exchange.send(
            self._session,
            self._options.detours.get(address.endpoint, address.endpoint),
            request,
            headers,
        )
        if attempt.kind in {records.Kind.NOT_CONNECTED, records.Kind.CUT}:
            self._address_book.avoid(address.endpoint)
        return attempt

    async def _wait(self, attempt: records.Attempt) -> None:
        wait_s = max(attempt.retry_after_s, _MIN_WAIT_S)
        await asyncio.sleep(min(wait_s, self._options.longest_wait_s))

    def _elapsed_ms(self, since_s: float) -> float:
        return (self._clock.monotonic_s() - since_s) * _MS_PER_S


def _key_for(progress: _Progress, address: address_book.Address) -> str:
    """Return the same key while the request may have run, else a new one."""
    if progress.key and _may_have_run(progress.record.attempts):
        return progress.key
    _record_key(progress)
    unique = f'{progress.record.tag}-{len(progress.record.keys)}'
    progress.key = f'{address.ticket}.{unique}'
    return progress.key


def _may_have_run(attempts: Sequence[records.Attempt]) -> bool:
    """Return whether the current key was sent without a proof of not-run.

    An attempt that made no connection says nothing about earlier ones, so
    these decide.
    """
    for attempt in reversed(attempts):
        if attempt.kind is records.Kind.NOT_RUN:
            return False
        if attempt.kind is not records.Kind.NOT_CONNECTED:
            return True
    return False


def _record_key(progress: _Progress) -> None:
    if not progress.key:
        return
    sent = [
        attempt.kind
        for attempt in progress.record.attempts
        if attempt.kind is not records.Kind.NOT_CONNECTED
    ]
    last = sent[-1] if sent else records.Kind.NOT_CONNECTED
    progress.record.keys.append(records.KeyUse(progress.key, last))


def _is_final(attempt: records.Attempt) -> bool:
    if attempt.kind is records.Kind.NOT_RUN:
        return not attempt.retry_allowed
    if attempt.kind is records.Kind.NOT_CONNECTED:
        return False
    return attempt.kind not in records.UNCERTAIN_KINDS
