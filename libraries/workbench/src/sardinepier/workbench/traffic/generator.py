"""Starts requests at a fixed rate, whether or not earlier ones ended."""

import asyncio
import dataclasses
import random
from typing import Final

import aiohttp

from sardinepier.core import clock
from sardinepier.workbench.traffic import caller, exchange, options, records

_HUNDRED: Final = 100.0
_TAG_BITS: Final = 64


@dataclasses.dataclass(slots=True)
class TrafficRun:
    """The requests of one run so far; grows during the run."""

    requests: list[records.RequestRecord] = dataclasses.field(
        default_factory=list,
    )
    not_sent: int = 0


class Generator:
    """One run of requests from several callers.

    ``run`` may be read during ``send_all``; it holds the requests that have
    ended so far.
    """

    def __init__(
        self,
        traffic: options.TrafficOptions,
        time_source: clock.Clock,
    ) -> None:
        """Prepare a run; no request is sent yet."""
        self.run = TrafficRun()
        self._options = traffic
        self._clock = time_source
        self._random = random.Random(traffic.seed)
        # Tags must differ between runs, or a second run against the same
        # targets would find the executions of the first one.
        self._run_tag = f'{random.SystemRandom().getrandbits(_TAG_BITS):x}'
        self._stopped = False

    def stop(self) -> None:
        """Start no more requests."""
        self._stopped = True

    async def send_all(self) -> TrafficRun:
        """Send all requests and return when each has ended."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=4)
        timeout = aiohttp.ClientTimeout(total=self._options.attempt_timeout_s)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
        ) as session:
            callers = self._callers(session)
            async with asyncio.TaskGroup() as tasks:
                await self._start_all(tasks, callers)
        return self.run

    async def _start_all(
        self,
        tasks: asyncio.TaskGroup,
        callers: list[caller.Caller],
    ) -> None:
        interval_s = 1 / self._options.rate_per_s
        count = round(self._options.rate_per_s * self._options.duration_s)
        started_at_s = self._clock.monotonic_s()
        in_flight: set[asyncio.Task[None]] = set()
        for number in range(count):
            due_s = started_at_s + number * interval_s
            await asyncio.sleep(max(0, due_s - self._clock.monotonic_s()))
            if self._stopped:
                break
            if len(in_flight) >= self._options.in_flight_limit:
                self.run.not_sent += 1
                continue
            sender = callers[number % len(callers)]
            task = tasks.create_task(self._call(sender, number))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)

    async def _call(self, sender: caller.Caller, number: int) -> None:
        keyed = self._random.uniform(0, _HUNDRED) < self._options.keyed_percent
        route = (
            self._options.keyed_route
            if keyed
            else self._options.idempotent_route
        )
        tag = f'{self._run_tag}-{number}'
        request = exchange.Request(
            method=route.method,
            path=f'/{self._options.service}{route.path}',
            body=self._body(tag),
            tag=tag,
        )
        self.run.requests.append(await sender.call(request, keyed))

    def _body(self, tag: str) -> bytes:
        """Return a body that is unique to this request."""
        filler = self._random.randbytes(self._options.body_bytes // 2).hex()
        return f'{tag} {self._options.poison} {filler}'.encode()

    def _callers(self, session: aiohttp.ClientSession) -> list[caller.Caller]:
        return [
            caller.Caller(
                f'caller-{number}',
                session,
                self._options,
                self._clock,
                random.Random(self._random.getrandbits(_TAG_BITS)),
            )
            for number in range(self._options.callers)
        ]
