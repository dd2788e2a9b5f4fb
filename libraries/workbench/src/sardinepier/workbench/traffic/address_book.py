"""A caller's cache of daemon addresses, for as long as they are valid."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import clock, errors
from sardinepier.workbench.traffic import options

_REQUEST_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_AVOID_DURATION_S: Final = 1.0


class NoAddressError(errors.SardinepierError):
    """No daemon answered the request for addresses."""


class Address(msgspec.Struct, frozen=True):
    """A daemon to connect to, with a ticket that names it as home."""

    ip: str
    port: int
    ticket: str
    zone: str = ''

    @property
    def endpoint(self) -> options.Endpoint:
        """The daemon's address without its ticket."""
        return options.Endpoint(self.ip, self.port)


class AddressAnswer(msgspec.Struct, frozen=True):
    """The JSON answer to ``GET /v1/addresses``."""

    addresses: tuple[Address, ...]
    valid_s: float


@dataclasses.dataclass(slots=True)
class _CachedAddresses:
    addresses: tuple[Address, ...] = ()
    valid_until_s: float = 0.0


class AddressBook:
    """One caller's addresses for one service."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        traffic: options.TrafficOptions,
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start without addresses; the daemons in ``traffic`` provide them."""
        self._session = session
        self._options = traffic
        self._clock = time_source
        self._random = random_source
        self._cached = _CachedAddresses()
        self._avoided_until_s: dict[options.Endpoint, float] = {}

    async def choose(self, tried: Iterable[options.Endpoint]) -> Address:
        """Return an address, if possible one not yet ``tried``.

        Raises ``NoAddressError`` when there is no address and no daemon
        answers.
        """
        if self._cached.valid_until_s <= self._clock.monotonic_s():
            await self._refresh()
        addresses = self._cached.addresses
        skipped = set(tried) | self._avoided()
        preferred = [item for item in addresses if item.endpoint not in skipped]
        return self._random.choice(preferred or addresses)

    def avoid(self, endpoint: options.Endpoint) -> None:
        """Avoid an unreachable daemon for a while, and request addresses anew."""
        until_s = self._clock.monotonic_s() + _AVOID_DURATION_S
        self._avoided_until_s[endpoint] = until_s
        self._cached.valid_until_s = 0.0

    def _avoided(self) -> set[options.Endpoint]:
        now_s = self._clock.monotonic_s()
        return {
            endpoint
            for endpoint, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    async def _refresh(self) -> None:
        avoided = self._avoided()
        daemons = self._random.sample(
            self._options.daemons,
            len(self._options.daemons),
        )
        for daemon in sorted(daemons, key=avoided.__contains__):
            answer = await self._request_addresses(daemon)
            if answer is not None and answer.addresses:
                now_s = self._clock.monotonic_s()
                self._cached = _CachedAddresses(
                    answer.addresses, now_s + answer.valid_s
                )
                return
        if not self._cached.addresses:
            raise NoAddressError(
                'No daemon answered the request for addresses',
                'Check that a daemon runs at one of the given addresses',
            )

    async def _request_addresses(
        self, daemon: options.Endpoint
    ) -> AddressAnswer | None:
        query = {'service': self._options.service}
        if self._options.zone:
            query['zone'] = self._options.zone
        try:
            return await self._fetch(f'{daemon.url}/v1/addresses', query)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    async def _fetch(
        self,
        url: str,
        query: dict[str, str],
    ) -> AddressAnswer | None:
        async with self._session.get(
            url,
            params=query,
            timeout=_REQUEST_TIMEOUT,
        ) as response:
            if not response.ok:
                return None
            raw = await response.read()
        return msgspec.json.decode(raw, type=AddressAnswer)
