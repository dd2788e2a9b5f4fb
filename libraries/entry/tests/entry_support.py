"""Targets on raw sockets with scripted answers, and requests to a daemon."""

import asyncio
import contextlib
import ctypes
import random
import socket
import struct

import yarl

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import (
    caller_server,
    context,
    decision_log,
    header_names,
    model,
    pipeline,
)
from sardinepier.entry import relay_http, relay_service, relaying
from sardinepier.entry import request_metrics, service_pool, service_registry
from sardinepier.gateway import active_requests, buffer_budget
from sardinepier.gateway import client as clients
from sardinepier.health import failure_estimate
from sardinepier.once import quarantine

LOOPBACK = '127.0.0.1'
SERVICE = ids.ServiceName('books')
ZONE = ids.ZoneName('z1')
NAMES = header_names.HeaderNames()
BODY = b'the whole answer'
TIMEOUT_S = 20.0
"""Far longer than any step of a test takes; a test that waits so long fails."""


def route(prefix='/books/', kind=model.RouteKind.IDEMPOTENT, **overrides):
    fields = {
        'timeout_s': 5.0,
        'target_latency_s': 1.0,
        'priority': 1,
        'max_attempts': 2,
        'shares': (model.ServiceShare(SERVICE, 1.0),),
        **overrides,
    }
    return model.Route(
        name=ids.RouteName(prefix),
        host='a.example',
        prefix=prefix,
        kind=kind,
        **fields,
    )


NON_IDEMPOTENT_ROUTE = route('/once/', model.RouteKind.NON_IDEMPOTENT)
IDEMPOTENT_ROUTE = route()


def configuration(
    version=1, routes=(IDEMPOTENT_ROUTE, NON_IDEMPOTENT_ROUTE), **overrides
):
    return model.ServedConfiguration(
        version,
        tuple(routes),
        (model.Service(SERVICE, '/health', 100),),
        **overrides,
    )


def listed(target_id, port=1, **overrides):
    fields = {
        'service': SERVICE,
        'ip': LOOPBACK,
        'port': port,
        'zone': ZONE,
        'slots': 3,
        'state': model.TargetState.READY,
        **overrides,
    }
    return model.ListedTarget(target_id=ids.TargetId(target_id), **fields)


def service_pool_of(clock, seed, zone=ZONE):
    """Return a pool without targets, for a daemon of ``zone``."""
    return service_pool.ServicePool(
        SERVICE,
        zone,
        clock,
        random.Random(seed),
        20.0,
        failure_estimate.EstimateOptions(),
    )


class RawTarget:
    """A target that answers one request after another as ``behaviours`` say.

    Each behaviour is a name in ``ANSWERS``, ``hang``, ``reset``, or a function
    from the attempt's ID to the bytes of the answer. The last one is used for
    all further requests. ``received`` holds each received request as request
    line, headers and body. ``run_count`` counts those that the target ran,
    which excludes the behaviours ``shed`` and ``other``.
    """

    def __init__(self, name, behaviours=('ok',)):
        self.name = name
        self.behaviours = list(behaviours)
        self.received = []
        self.run_count = 0
        self.connections = 0
        self.disconnects_while_running = 0
        self.gate = asyncio.Event()
        self.server = None
        self.writers = []

    def vanish(self):
        """Reset all connections and refuse new ones."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def start(self):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                headers = dict(
                    line.split(': ', 1)
                    for line in head.decode().split('\r\n')[1:-2]
                )
                length = int(headers.get('Content-Length', 0))
                body = await reader.readexactly(length)
                self.received.append((head.split(b'\r\n')[0], headers, body))
                behaviour = self.behaviours[0]
                if len(self.behaviours) > 1:
                    self.behaviours.pop(0)
                if not await self._answer(behaviour, headers, reader, writer):
                    break
        writer.close()

    async def _answer(self, behaviour, headers, reader, writer):
        """Follow ``behaviour``; return whether the connection stays open."""
        self.run_count += behaviour not in {'shed', 'other'}
        echo = headers.get(NAMES.attempt_id, '')
        if behaviour == 'hang':
            self.disconnects_while_running += not await reader.read(1)
            return False
        if behaviour == 'gated':
            await self.gate.wait()
        if behaviour == 'reset':
            writer.transport.abort()
            return False
        writer.write(ANSWERS.get(behaviour, behaviour)(echo))
        if behaviour == 'until-reset':
            await writer.drain()
            await asyncio.sleep(0.05)
            linger_off(writer)
        return behaviour not in CLOSING_BEHAVIOURS


def linger_off(writer):
    """Close the connection by a reset instead of a normal end."""
    sock = writer.get_extra_info('socket')
    # The socket may have been closed by the other side's end.
    if sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


_SO_ATTACH_FILTER = 26
_DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)
"""A classic BPF program that accepts no byte of any segment."""


def drop_segments(writer):
    """Drop all segments to a connection, as if its machine were gone."""
    program = ctypes.create_string_buffer(_DROP_ALL)
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack('HL', 1, ctypes.addressof(program)),
    )


def answer(echo, status='200 OK', body=BODY, **options):
    lines = [f'HTTP/1.1 {status}']
    if options.get('identified', True):
        lines.append(f'{NAMES.attempt_id}: {echo}')
    if options.get('signed', True):
        lines.append(f'{NAMES.signature}: proof-of-{echo}')
    if options.get('framed', True):
        lines.append(f'Content-Length: {len(body)}')
    if 'extra' in options:
        lines.append(options.get('extra'))
    head = '\r\n'.join(lines).encode()
    return b'\r\n\r\n'.join((head, body))


ANSWERS = {
    'ok': answer,
    'gated': answer,
    'fail': lambda echo: answer(echo, status='500 Bad', body=b'broken'),
    'shed': lambda echo: answer(echo, '503 Full', extra=f'{NAMES.not_run}: 1'),
    'other': lambda echo: answer(echo, status='421 Misdirected Request'),
    'unsigned': lambda echo: answer(echo, signed=False),
    'short': lambda echo: answer(echo)[:-4],
    'garbage': lambda echo: b'\x00\x01 no answer at all\r\n\r\n',
    'until-end': lambda echo: answer(echo, framed=False),
    'until-reset': lambda echo: answer(echo, framed=False)[:-4],
    'late-extra': lambda echo: b''.join(
        (answer('another', body=b'of another'), answer(echo)),
    ),
    'extra-after': lambda echo: b''.join(
        (answer(echo), answer(echo, body=b'a second one')),
    ),
    'closing': lambda echo: answer(echo, extra='Connection: close'),
}
"""The function that makes the answer of each behaviour."""


def with_body(body):
    """Return a behaviour whose answers have ``body``."""
    return lambda echo: answer(echo, body=body)


def with_headers(*lines, status='200 OK'):
    """Return a behaviour whose answers have ``lines`` as further headers."""
    return lambda echo: answer(echo, status, extra='\r\n'.join(lines))


CLOSING_BEHAVIOURS = frozenset(
    ('short', 'garbage', 'until-end', 'until-reset', 'closing')
)
"""Behaviours after which the target closes the connection."""


async def wait_until(condition):
    """Wait until ``condition`` returns true; fail after ``TIMEOUT_S``."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


class Entry:
    """One daemon's request path, with targets that the test starts.

    ``set_targets`` starts targets and publishes them as the target list.
    ``send`` sends a request. ``run_count`` counts the requests that these
    targets ran.
    """

    def __init__(self, shared, server, port):
        self.shared = shared
        self.server = server
        self.port = port
        self.targets = []
        self.list_revision = 0

    async def lose_path_to(self, *targets):
        """List targets at addresses where nothing listens."""
        self.list_revision += 1
        self.shared.services.offer_targets(
            model.TargetList(
                self.list_revision,
                tuple(listed(target.name, closed_port()) for target in targets),
            ),
        )

    async def set_targets(self, *targets):
        self.list_revision += 1
        for target in targets:
            if target.server is None:
                await target.start()
        self.targets = list(targets)
        self.shared.services.offer_targets(
            model.TargetList(
                self.list_revision,
                tuple(
                    listed(started.name, started.port) for started in targets
                ),
            ),
        )

    async def send(self, path='/books/1', method='GET', body=b'', **headers):
        """Send one request; return the status, headers and body of the answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        writer.write(request(path, method, body, **headers))
        reply = await read_answer(reader)
        writer.close()
        return reply

    @property
    def run_count(self):
        return sum(target.run_count for target in self.targets)


class Peers:
    """The daemons of a test, which know each other by their ids."""

    def __init__(self):
        self.urls = {}

    def is_member(self, instance_id):
        return instance_id in self.urls

    def source_for(self, own_id):
        return PeersOf(self, own_id)


class PeersOf:
    """What one of the daemons knows of the others."""

    def __init__(self, peers, own_id):
        self.own_id = own_id
        self.peers = peers

    def knows_any(self):
        return bool(self.candidates())

    def candidates(self):
        return [
            relaying.Peer(instance_id, ZONE, url)
            for instance_id, url in self.peers.urls.items()
            if instance_id != self.own_id
        ]


def closed_port():
    """Return a port where nothing listens."""
    with socket.socket() as unused:
        unused.bind((LOOPBACK, 0))
        return unused.getsockname()[1]


def shared_context():
    clock = clocks.SystemClock()
    registry = service_registry.ServiceRegistry(
        ZONE,
        clock,
        random.Random(7),
        50.0,
        failure_estimate.EstimateOptions(),
    )
    registry.set_retry_burst(10)
    registry.offer_configuration(configuration())
    return context.EntryContext(
        clock=clock,
        names=NAMES,
        client=clients.TargetClient(),
        services=registry,
        quarantine=quarantine.Quarantine(clock),
        activity=active_requests.ActiveRequests(),
        decision_log=decision_log.DecisionLog(registry, clock),
        metrics=request_metrics.RequestMetrics(),
        buffer_budget=buffer_budget.BufferBudget(),
    )


@contextlib.asynccontextmanager
async def running_entry(peers=None):
    """Run one daemon's request path, which relays if it has ``peers``."""
    shared = shared_context()
    relay = None
    relay_server = None
    own_id = None
    if peers is not None:
        own_id = ids.InstanceId(f'd~{len(peers.urls):016x}')
        relay = relaying.Relaying(
            shared, peers.source_for(own_id), relay_http.HttpTransport(shared)
        )
        handler = relay_http.RelayHandler(
            shared, relay_service.RelayService(shared), peers.is_member
        )
        relay_server = caller_server.HttpServer(handler.handle, handler.bounds)
        relay_port = await relay_server.start(LOOPBACK, 0)
        peers.urls[own_id] = yarl.URL(f'http://{LOOPBACK}:{relay_port}')
    request_pipeline = pipeline.Pipeline(shared, relay)
    server = caller_server.HttpServer(
        request_pipeline.handle,
        lambda: shared.services.configuration.bounds,
        request_pipeline.start_pipelined,
    )
    port = await server.start(LOOPBACK, 0)
    entry = Entry(shared, server, port)
    entry.relay_server = relay_server
    entry.own_id = own_id
    entry.peers = peers
    yield entry
    await server.close(0.1)
    if relay_server is not None:
        await relay_server.close(0.1)
    await shared.client.close()
    for target in entry.targets:
        target.server.close()


@contextlib.asynccontextmanager
async def running_fleet(count):
    """Run the request paths of daemons that know each other."""
    async with contextlib.AsyncExitStack() as stack:
        peers = Peers()
        yield [
            await stack.enter_async_context(running_entry(peers))
            for _ in range(count)
        ]


def request(path='/books/1', method='GET', body=b'', **headers):
    all_headers = {
        'Host': 'a.example',
        NAMES.attempt_id: 'id-1',
        NAMES.deadline_ms: '2000',
        **headers,
    }
    if body:
        all_headers['Content-Length'] = str(len(body))
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in all_headers.items())
    head = '\r\n'.join(lines).encode()
    return b'\r\n\r\n'.join((head, body))


async def read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    headers = dict(line.split(': ', 1) for line in head[1:-2])
    body = await reader.readexactly(int(headers.get('Content-Length', 0)))
    return int(head[0].split()[1]), headers, body
