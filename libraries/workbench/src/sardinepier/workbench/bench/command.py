"""The command ``sardinepier-workbench bench``.

``scripts/bench.sh`` starts one target, a platform and one daemon, and runs
this command. The figures depend on the machine and its load; the benchmark
has no pass or fail criterion.
"""

import asyncio
import itertools
import random
import sys
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import clock
from sardinepier.standins import target_answers
from sardinepier.workbench.bench import knee, paired
from sardinepier.workbench.traffic import address_book, options

_BASE_RATE_PER_S: Final = 100.0
_TIMEOUT: Final = aiohttp.ClientTimeout(total=5)
_TAG_BITS: Final = 64
_LOWEST_PER_S: Final = 10.0
_SEARCH_PLAN: Final = paired.Plan(
    pairs=4,
    slice_s=1.0,
    body=b'x' * options.BODY_BYTES,
)


class BenchReport(msgspec.Struct, frozen=True):
    """All measurements of one run."""

    idempotent: paired.PairFigures
    keyed: paired.PairFigures
    knee: knee.Knee


TEXT_OPTIONS: Final = (
    'daemon',
    'target',
    'service',
)
"""Options that fire must not parse as numbers."""


def run(
    daemon: str,
    target: str,
    service: str,
    pairs: int = 8,
    slice_s: float = 1.5,
    highest_per_s: float = 3200,
    halvings: int = 3,
    json: bool = False,
) -> None:
    """Measure the latency that one daemon adds to a request, in paired runs.

    ``pairs`` slices of ``slice_s`` seconds run on each path at 100 requests a
    second, with idempotent and with keyed requests. Then the knee is searched
    up to ``highest_per_s``, with ``halvings`` halvings of the gap. ``json``
    prints the raw figures.
    """
    bench = _Bench(
        options.parse_endpoints(daemon)[0],
        options.parse_endpoints(target)[0],
        service,
        paired.Plan(pairs, slice_s, b'x' * options.BODY_BYTES),
    )
    figures = asyncio.run(bench.measure(highest_per_s, halvings))
    text = msgspec.json.encode(figures).decode() if json else render(figures)
    sys.stdout.write(f'{text}\n')


def render(figures: BenchReport) -> str:
    """Return the figures as a text table."""
    lines = [
        'Added by one daemon, against going straight to the target (ms)',
        _HEADING,
        _row('idempotent', figures.idempotent),
        _row('with a key', figures.keyed),
    ]
    lines.extend(_row('search', step) for step in figures.knee.steps)
    within, beyond = figures.knee.within, figures.knee.beyond
    lines.append(
        f'knee (added p99 passes {knee.ADDED_LIMIT_MS} ms): '
        f'above {_rate(within)} and below {_rate(beyond)} requests/s',
    )
    if within is not None:
        lines.append(_row('at the knee', within))
    return '\n'.join(lines)


_HEADING: Final = (
    f'{"":<12}{"req/s":>8}{"added p50":>11}{"added p99":>11}'
    f'{"direct p50":>12}{"direct p99":>12}{"via p50":>9}{"via p99":>9}'
    f'{"failed %":>10}{"late p99":>10}'
)


def _row(name: str, pair: paired.PairFigures) -> str:
    direct, through = pair.direct.latency, pair.through.latency
    return (
        f'{name:<12}{pair.rate_per_s:>8.0f}'
        f'{pair.added_p50_ms:>11.2f}{pair.added_p99_ms:>11.2f}'
        f'{direct.p50_ms:>12.2f}{direct.p99_ms:>12.2f}'
        f'{through.p50_ms:>9.2f}{through.p99_ms:>9.2f}'
        f'{pair.failed_percent:>10.2f}{pair.through.late.p99_ms:>10.2f}'
    )


def _rate(pair: paired.PairFigures | None) -> str:
    return 'any measured rate' if pair is None else f'{pair.rate_per_s:.0f}'


class _Bench:
    """One run against one daemon and one target."""

    def __init__(
        self,
        daemon: options.Endpoint,
        target: options.Endpoint,
        service: str,
        plan: paired.Plan,
    ) -> None:
        self._daemon = daemon
        self._target = target
        self._service = service
        self._plan = plan
        self._numbers = itertools.count()
        self._tag_prefix = f'{random.SystemRandom().getrandbits(_TAG_BITS):x}'
        self._ticket = ''

    async def measure(
        self,
        highest_per_s: float,
        halvings: int,
    ) -> BenchReport:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=_TIMEOUT,
        ) as session:
            idempotent = self._pair(
                session, '/search', self._idempotent_headers
            )
            keyed = self._pair(session, '/deposits', self._keyed_headers)
            base = await idempotent.measure(_BASE_RATE_PER_S)
            await self._renew_ticket(session)
            base_keyed = await keyed.measure(_BASE_RATE_PER_S)
            return BenchReport(
                base,
                base_keyed,
                await self._search(session, highest_per_s, halvings),
            )

    async def _search(
        self,
        session: aiohttp.ClientSession,
        highest_per_s: float,
        halvings: int,
    ) -> knee.Knee:
        self._plan = _SEARCH_PLAN
        pair = self._pair(session, '/search', self._idempotent_headers)
        search = knee.KneeSearch(pair.measure, _LOWEST_PER_S, highest_per_s)
        return await search.run(_BASE_RATE_PER_S, halvings)

    def _pair(
        self,
        session: aiohttp.ClientSession,
        path: str,
        headers: paired.Headers,
    ) -> paired.PairedRun:
        return paired.PairedRun(
            session,
            paired.RequestPath('direct', f'{self._target.url}{path}', headers),
            paired.RequestPath(
                'through',
                f'{self._daemon.url}/{self._service}{path}',
                headers,
            ),
            self._plan,
            clock.SystemClock(),
        )

    def _idempotent_headers(self) -> dict[str, str]:
        return {target_answers.TAG_HEADER: self._next_tag()}

    def _keyed_headers(self) -> dict[str, str]:
        tag = self._next_tag()
        return {
            target_answers.TAG_HEADER: tag,
            target_answers.KEY_HEADER: f'{self._ticket}.{tag}',
        }

    def _next_tag(self) -> str:
        return f'{self._tag_prefix}-{next(self._numbers)}'

    async def _renew_ticket(self, session: aiohttp.ClientSession) -> None:
        async with session.get(
            f'{self._daemon.url}/v1/addresses',
            params={'service': self._service},
        ) as reply:
            raw = await reply.read()
        answer = msgspec.json.decode(raw, type=address_book.AddressAnswer)
        self._ticket = answer.addresses[0].ticket
