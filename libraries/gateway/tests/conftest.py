"""Targets with configurable faults, and gateways in front of them."""

import asyncio
import collections
import contextlib
import dataclasses
import random

import pytest
from aiohttp import client, cookiejar

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import (
    activity,
    context,
    refusal_counts,
    server,
    service_runtime,
    service_runtimes,
    wake_guard,
)
from sardinepier.gateway import client as clients
from sardinepier.health import options, service_health
from sardinepier.membership import members
from sardinepier.once import ledger, quarantine
from sardinepier.routing import choice
from sardinepier.settings import model
from sardinepier.telemetry import metrics
from sardinepier.wire import messages

LOOPBACK = '127.0.0.1'
SERVICE = ids.ServiceName('books')
ZONE = ids.ZoneName('z1')


@dataclasses.dataclass
class ReceivedRequest:
    """A request as a target received it."""

    line: str
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name):
        return dict(self.headers).get(name.lower())


class RawTarget:
    """A target on a raw socket; ``behaviour`` selects a fault.

    It counts each completely received request as run, by its key or else by
    its request line.
    """

    def __init__(self, name):
        self.name = ids.TargetId(name)
        self.behaviour = 'ok'
        self.endless_bytes = 0
        self.content = f'whole answer of {name}'.encode()
        self.is_echoing = False
        self.seen = []
        self.ran = collections.Counter()
        self.connections = 0
        self.released = asyncio.Event()
        self.closed = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self.released.set()
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            is_kept = True
            while is_kept:
                is_kept = await self._exchange(reader, writer)
        self.closed += 1
        writer.close()

    async def _exchange(self, reader, writer):
        if self.behaviour == 'drop before reading':
            writer.transport.abort()
            return False
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        if self.behaviour == 'drop while reading':
            writer.transport.abort()
            return False
        line, *lines = head.strip().split('\r\n')
        pairs = [header.split(': ', 1) for header in lines]
        seen = ReceivedRequest(
            line, [(name.lower(), text) for name, text in pairs], b''
        )
        seen.body = await reader.readexactly(
            int(seen.header('content-length') or 0),
        )
        self.seen.append(seen)
        return await self._respond(seen, reader, writer)

    async def _respond(self, seen, reader, writer):
        behaviour = self.behaviour
        if behaviour == 'shed':
            writer.write(_head(503, 0, 'Not-Run: shed'))
            return True
        if behaviour == 'shed with backoff':
            writer.write(_head(503, 0, 'Not-Run: shed', 'Retry-After: 4'))
            return True
        self.ran[seen.header('idempotency-key') or seen.line] += 1
        if behaviour == 'endless':
            writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
            while not writer.is_closing():
                writer.write(bytes(4096))
                await writer.drain()
                self.endless_bytes += 4096
        if behaviour == 'hang':
            await _wait_for_first(self.released.wait(), reader.read(1))
            if not self.released.is_set():
                return False
            behaviour = 'ok'
        if behaviour == 'drop after running' or 'poison' in seen.line:
            return False
        content = self.content
        if self.is_echoing:
            content = f'{seen.line} {seen.header("x-id")}'.encode()
        parts, keep = ANSWERS[behaviour](content)
        for part in parts:
            writer.write(part)
            await writer.drain()
            if len(parts) > 1:
                await asyncio.sleep(0.02)
        return keep


def _head(status, length, *more):
    lines = (f'HTTP/1.1 {status} Text', f'Content-Length: {length}', *more)
    return '\r\n'.join((*lines, '', '')).encode()


def _whole(content, status=200, *, more=()):
    return _head(status, len(content), *more) + content


async def _wait_for_first(*waits):
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    # A stream can have one reader only, and cancelling takes effect later.
    await asyncio.gather(*tasks, return_exceptions=True)


CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

# Each returns the parts to write and whether the connection stays open.
ANSWERS = {
    'ok': lambda content: ([_whole(content)], True),
    'failing': lambda content: ([_whole(content, 500)], True),
    'draining': lambda content: (
        [_whole(content, more=['Draining: yes'])],
        True,
    ),
    'limited': lambda content: (
        [_whole(content, more=['Request-Limit: 0.2'])],
        True,
    ),
    'truncated': lambda content: ([_whole(content)[:-1]], False),
    'chunked': lambda content: (
        [CHUNKED, b'%x\r\n%s\r\n0\r\n\r\n' % (len(content), content)],
        True,
    ),
    'chunked and cut': lambda content: (
        [CHUNKED, b'%x\r\n%s\r\n' % (len(content), content)],
        False,
    ),
    'status 000': lambda content: ([_whole(content, '000')], True),
    'status 600': lambda content: ([_whole(content, 600)], True),
    # The next answer on the connection fills up a body that was broken off.
    'filled up': lambda content: (
        [_whole(content)[:-9], _whole(b'for another')],
        True,
    ),
    'chunked and filled up': lambda content: (
        [
            CHUNKED,
            (b'%x\r\n%s' % (len(content), content))[:-9],
            _whole(b'for another'),
        ],
        True,
    ),
    'not framed': lambda content: (
        [b'HTTP/1.1 200 OK\r\n\r\n', content],
        False,
    ),
    'not HTTP': lambda _: ([b'SSH-2.0-OpenSSH\r\n\r\n'], False),
    'header not UTF-8': lambda content: (
        [_head(200, len(content), 'A: x').replace(b'x', b'\xe9'), content],
        True,
    ),
    'closed after the answer': lambda content: ([_whole(content)], False),
    'sends an unsolicited answer': lambda content: (
        [_whole(content), _whole(b'for nobody')],
        True,
    ),
    'sends part of an unsolicited answer': lambda content: (
        [_whole(content), b'HTTP/1.1 200 OK\r\nContent-Le'],
        True,
    ),
}


class FakeView:
    """A view of the fleet with the members that a test sets."""

    version = 1

    def __init__(self):
        self.current_members = []
        self.own = None

    def members(self):
        return tuple(self.current_members)

    def serving(self):
        alive = members.MemberState.ALIVE
        return tuple(
            member for member in self.current_members if member.state is alive
        )

    def find(self, instance_id):
        matching = [
            member
            for member in self.current_members
            if member.instance_id == instance_id
        ]
        return matching[0] if matching else None


FLEET = model.FleetSettings(
    name='fleet',
    zones=(model.ZoneSettings(ZONE, ids.RegionName('r1')),),
    caller_header='Caller',
    addresses_per_answer=3,
    addresses_valid_s=30.0,
    ticket_epoch_s=3600.0,
    ticket_valid_epochs=2,
    record_capacity=1000,
    record_capacity_bytes=10**7,
    heartbeat_interval_ms=500,
    monitored_peers=3,
    suspicion_timeout_ms=3000,
    wake_gap_ms=30_000,
    configuration_watchers_per_zone=2,
    platform_reads_per_s=5.0,
    shutdown_grace_s=30.0,
)


def make_route(method, path, *, idempotent=True, hedged=False, **more):
    fields = {'deadline_ms': 20_000, 'priority': model.Priority.NORMAL, **more}
    name = ids.RouteName(f'{method} {path}')
    return model.RouteSettings(
        name=name,
        method=method,
        path=path,
        idempotent=idempotent,
        hedged=hedged,
        **fields,
    )


ROUTES = (
    make_route('GET', '/books/{id}'),
    make_route('GET', '/hedged/{id}', hedged=True),
    make_route('PUT', '/books/{id}'),
    make_route('GET', '/'),
    make_route('POST', '/postings', idempotent=False),
    make_route('PUT', '/postings/{id}', idempotent=False),
    make_route('DELETE', '/postings/{id}', idempotent=False),
    make_route('PATCH', '/postings/{id}', idempotent=False),
)


def make_service(targets, *, slots=50, **more):
    fields = {
        'name': SERVICE,
        'targets': tuple(
            model.TargetSettings(
                target.name, LOOPBACK, target.port, ZONE, slots
            )
            for target in targets
        ),
        'routes': ROUTES,
        'shed_reply': model.ShedReply(503, 'Not-Run', 'shed'),
        'draining_header': 'Draining',
        'limit_header': 'Request-Limit',
        'health_path': '/health',
        'probe_interval_ms': 1000,
        'floor_percent': 50.0,
        'false_ejections_per_target_day': 0.1,
        'group_daemons_per_zone': 3,
        'queue_length': 10,
        'connections_per_target': 50,
        'connect_timeout_ms': 5000,
        'retry_budget_percent': 100.0,
        'hedge_budget_percent': 100.0,
        'caller_requests_per_s': 10_000.0,
        'caller_burst_requests': 10_000,
        'request_body_limit_bytes': 10_000,
        'answer_buffer_limit_bytes': 10_000,
        **more,
    }
    return model.ServiceSettings(**fields)


class Gateway:
    """The request path of one daemon, on its own port."""

    def __init__(self, number, view, services, clock=None):
        self.instance = ids.InstanceId(f'd{number}~{number:016x}')
        self.clock = clock or clocks.SystemClock()
        self.events = []
        self.pauses = []
        self.is_confirmed = True
        self.configuration = None
        source = random.Random(number)
        started_s = self.clock.monotonic_s()
        self.runtimes = service_runtimes.ServiceRuntimes(
            service_runtime.RuntimeParts(
                self.clock,
                source,
                self._make_health,
                lambda health, settings, group_size: None,
                lambda: choice.RoundRobin(),
            ),
        )
        self.guard = wake_guard.WakeGuard(
            self.clock,
            FLEET.wake_gap_ms,
            [lambda resumed_s: self.is_confirmed],
            lambda *pause: self.pauses.append(pause),
            wait_limit_s=0.0,
        )
        self.context = context.GatewayContext(
            own=self.instance,
            zone=ZONE,
            started_at_s=started_s,
            clock=self.clock,
            random_source=source,
            configuration=lambda: self.configuration,
            view=view,
            ledger=ledger.Ledger(
                self.instance,
                started_s,
                self.clock,
                ledger.LedgerOptions(3600.0, 2, 1000, 10**7, 10_000),
            ),
            quarantine=quarantine.Quarantine(self.clock),
            services=self.runtimes,
            client=clients.TargetClient(),
            wake_guard=self.guard,
            activity=activity.Activity(),
            refusals=refusal_counts.RefusalCounts(self.events.append),
            metrics=metrics.Metrics(),
            record_event=self.events.append,
        )
        self.server = server.CallerServer(self.context)
        self.configure(*services)

    def configure(self, *services, fleet=FLEET):
        by_name = {service.name: service for service in services}
        self.configuration = model.Configuration(fleet, by_name, {})
        self.runtimes.update(self.configuration)

    def runtime(self):
        return self.runtimes.get(SERVICE)

    async def start(self):
        self.port = await self.server.start(LOOPBACK, 0)

    async def stop(self):
        await self.server.close(0)
        await self.context.client.close()

    def member(self, state=members.MemberState.ALIVE):
        return members.Member(
            instance_id=self.instance,
            daemon_id=members.daemon_of(self.instance),
            zone=ZONE,
            region=ids.RegionName('r1'),
            peer_address=messages.PeerAddress(LOOPBACK, 1),
            http_ip=LOOPBACK,
            http_port=self.port,
            incarnation=0,
            state=state,
            started_at_s=self.context.started_at_s,
        )

    def _make_health(self, settings):
        return service_health.ServiceHealth(
            settings.name,
            self.instance,
            options.HealthOptions(cold_start_s=0.001, ramp_s=0.001),
            self.clock,
            random.Random(1),
            lambda event: None,
        )


class Harness:
    """Runs targets, gateways and a caller in this process."""

    def __init__(self, stack):
        self.stack = stack
        self.view = FakeView()
        self.targets = []
        self.gateways = []

    async def add_targets(self, *behaviours):
        for behaviour in behaviours:
            target = RawTarget(f't{len(self.targets)}')
            target.behaviour = behaviour
            await target.start()
            self.stack.push_async_callback(target.stop)
            self.targets.append(target)
        return self.targets

    async def add_target(self, behaviour='ok'):
        await self.add_targets(behaviour)
        return self.targets[-1]

    async def add_gateway(self, *, clock=None, **service_fields):
        gateway = Gateway(
            len(self.gateways),
            self.view,
            [make_service(self.targets, **service_fields)],
            clock,
        )
        await gateway.start()
        self.stack.push_async_callback(gateway.stop)
        self.gateways.append(gateway)
        self.view.current_members.append(gateway.member())
        self.view.own = self.view.current_members[0]
        return gateway

    async def send(self, method, path, *, at=0, **more):
        """Return the answer and its complete body."""
        port = more.pop('port', None) or self.gateways[at].port
        url = f'http://{LOOPBACK}:{port}{path}'
        async with self.caller.request(method, url, **more) as answer:
            return answer, await answer.read()

    def service(self, targets, **fields):
        return make_service(targets, **fields)

    async def ticket(self, at=0):
        answer, _ = await self.send('GET', f'/v1/addresses?service={SERVICE}')
        own = self.gateways[at].instance
        addresses = (await answer.json())['addresses']
        return next(
            address['ticket']
            for address in addresses
            if address['ticket'].startswith(own)
        )

    def runs_by_line(self):
        """Return how often targets received each request line."""
        return collections.Counter(
            seen.line for target in self.targets for seen in target.seen
        )

    def runs(self):
        return sum(
            (target.ran for target in self.targets), collections.Counter()
        )


@contextlib.asynccontextmanager
async def open_harness():
    async with contextlib.AsyncExitStack() as stack:
        harness = Harness(stack)
        harness.caller = client.ClientSession(
            cookie_jar=cookiejar.DummyCookieJar(),
            auto_decompress=False,
            timeout=client.ClientTimeout(total=30),
        )
        stack.push_async_callback(harness.caller.close)
        yield harness


@pytest.fixture
async def harness():
    """Return a harness without targets and gateways."""
    async with open_harness() as harness:
        yield harness


@pytest.fixture
def make_harness():
    """Return the function that opens a harness, for tests with own loops."""
    return open_harness
