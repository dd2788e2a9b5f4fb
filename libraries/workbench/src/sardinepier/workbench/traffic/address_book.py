"""The addresses that a caller was given, kept for as long as they are good."""

import dataclasses
import random
from collections.abc import Iterable
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import clock, errors
from sardinepier.workbench.traffic import options

_ASK_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_AVOID_S: Final = 1.0


class NoAddressError(errors.SardinepierError):
    """No daemon answered the question for addresses."""


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
class _Kept:
    addresses: tuple[Address, ...] = ()
    good_until_s: float = 0.0


class AddressBook:
    """One caller's addresses for one service."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        traffic: options.TrafficOptions,
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start with the daemons that the caller knows from elsewhere."""
        self._session = session
        self._options = traffic
        self._clock = time_source
        self._random = random_source
        self._kept = _Kept()
        self._avoided_until_s: dict[options.Endpoint, float] = {}

    async def choose(self, tried: Iterable[options.Endpoint]) -> Address:
        """Return an address, one not yet ``tried`` when there is any.

        Raises ``NoAddressError`` when nobody answers.
        """
        if self._kept.good_until_s <= self._clock.monotonic_s():
            await self._ask()
        addresses = self._kept.addresses
        skipped = set(tried) | self._avoided()
        fresh = [item for item in addresses if item.endpoint not in skipped]
        return self._random.choice(fresh or addresses)

    def avoid(self, endpoint: options.Endpoint) -> None:
        """Keep away from a daemon that could not be reached, and ask anew."""
        until_s = self._clock.monotonic_s() + _AVOID_S
        self._avoided_until_s[endpoint] = until_s
        self._kept.good_until_s = 0.0

    def _avoided(self) -> set[options.Endpoint]:
        now_s = self._clock.monotonic_s()
        return {
            endpoint
            for endpoint, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }

    async def _ask(self) -> None:
        avoided = self._avoided()
        daemons = self._random.sample(
            self._options.daemons,
            len(self._options.daemons),
        )
        for daemon in sorted(daemons, key=avoided.__contains__):
            answer = await self._ask_one(daemon)
            if answer is not None and answer.addresses:
                now_s = self._clock.monotonic_s()
                self._kept = _Kept(answer.addresses, now_s + answer.valid_s)
                return
        if not self._kept.addresses:
            raise NoAddressError(
                'No daemon answered the question for addresses',
                'Check that a daemon runs at one of the addresses given',
            )

    async def _ask_one(self, daemon: options.Endpoint) -> AddressAnswer | None:
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
            timeout=_ASK_TIMEOUT,
        ) as reply:
            if not reply.ok:
                return None
            raw = await reply.read()
        return msgspec.json.decode(raw, type=AddressAnswer)
