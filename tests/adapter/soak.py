"""Runs daemons as processes under callers of each habit and planned work.

Signals, restarts and configurations come in series and overlap, by a plan that
follows from a seed. Callers go on using their connections until they close.
What became of each request is told from the bytes that its caller received and
from the requests that the targets ran. By hand, for example::

    python tests/adapter/soak.py --first=1 --count=50 --seconds=20
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import enum
import itertools
import json
import math
import pathlib
import random
import signal
import socket
import sys
import tempfile

sys.path += [
    str(pathlib.Path(__file__).parents[2] / folder)
    for folder in ('platform', 'libraries/entry/tests')
]

import entry_support as support  # noqa: E402 - found by the path set above
import instance_process  # noqa: E402
import store_standin  # noqa: E402
from sardinepier_adapter import names  # noqa: E402

DAEMONS = 3
TARGETS = ('i-1', 'i-2', 'i-3', 'i-4')
CALLERS_PER_HABIT = 8
GRACE_S = 6
NOTICE_S = 3
UNANSWERED_FROM_S = GRACE_S * 5 / 6
"""After SIGTERM; what targets still run then may be cut off."""

MAX_WORK_S = 0.9
DEADLINE_MS = 6000
NOT_RUN_STATUSES = (408, 421, 429, 503)
ROUTE_TIMEOUT_S = 5
LARGE_BYTES = 60_000
UPLOAD_BYTES = 20_000
SMALL_BUFFER_BYTES = 4096


class Action(enum.Enum):
    """One step of the plan."""

    TERMINATE = 'terminate'
    TERMINATE_TWICE = 'terminate_twice'
    RELOAD = 'reload'
    CONFIGURE = 'configure'


@dataclasses.dataclass(frozen=True)
class Step:
    at_s: float
    action: Action
    daemon: int


@dataclasses.dataclass
class Request:
    """A request and what its caller received; no status: the connection closed."""

    request_id: str
    habit: str
    is_idempotent: bool
    sent_s: float
    daemon: str
    status: int | None = None
    problem: str = ''
    answered_s: float | None = None
    method: str = 'GET'
    path: str = ''
    length: int = 0


def plan(seed, seconds):
    """Return the steps of a run, in order."""
    source = random.Random(seed)
    steps = []
    at_s = 0.5
    while at_s < seconds:
        steps.append(
            Step(
                at_s,
                source.choice(list(Action)),
                source.randrange(DAEMONS),
            ),
        )
        at_s += source.choice((0.05, 0.5, 2.0)) * source.uniform(0.2, 2)
    return steps


def configuration(version):
    """Return a configuration whose last route is new in each version."""
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1_000_000,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    paths = [
        {
            'name': f'r-{prefix}-{kind}',
            'prefix': f'/{prefix}/',
            'route_type': kind,
            'timeout_s': ROUTE_TIMEOUT_S,
            'target_latency_s': 2,
            'priority': 1,
            'service': 'books',
            'max_attempts': 2,
        }
        for prefix, kind in (
            ('books', 'idempotent'),
            ('once', 'non_idempotent'),
            (f'new{version}', 'idempotent'),
        )
    ]
    hosts = [{'host': 'a.example', 'paths': paths}]
    return store_standin.configuration(version, limits=limits, hosts=hosts)


class Target:
    """A target that takes its time, and knows which requests it ran."""

    def __init__(self, name, run):
        self.name = name
        self._run = run
        self._source = random.Random(f'{run.seed} {name}')

    async def start(self):
        self.server = await asyncio.start_server(self._serve, support.LOOPBACK)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head, fields = await read_request(reader)
                writer.write(await self._answer(head, fields))
                await writer.drain()
        writer.close()

    async def _answer(self, head, fields):
        request_id = fields.get(names.HEADERS.attempt_id)
        if request_id is None:
            return support.answer(
                '', extra=f'X-Sardinepier-Instance-Id: {self.name}'
            )
        self._run.runs[request_id] += 1
        await asyncio.sleep(self._source.uniform(0.01, MAX_WORK_S))
        self._run.ended_s[request_id] = self._run.now_s()
        return support.answer(request_id, body=body_of(request_id, head))


async def read_request(reader):
    """Read a whole request; return its head, and the header fields by name."""
    head, fields = await read_head(reader)
    await reader.readexactly(int(fields.get('Content-Length', 0)))
    return head, fields


async def read_head(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    return head, dict(line.split(': ', 1) for line in head.split('\r\n')[1:-2])


def body_of(request_id, path):
    """Return the body of the answer to a request whose path is in ``path``."""
    size = LARGE_BYTES if '/large' in path else len(support.BODY)
    return (request_id.encode() * size)[:size]


class Daemon:
    """One daemon, which is started again whenever it has ended."""

    def __init__(self, run, instance, folder):
        self.instance = instance
        self.problems = []
        self.late_exits = 0
        self.terminated_s = []
        self._run = run
        self._folder = folder
        self._is_stopping = False

    async def run(self):
        for start in itertools.count():
            path = self._folder / f'{self.instance.path.stem}-{start}.log'
            with path.open('wb') as log:
                self._is_stopping = False
                await self.instance.start(stdout=log)
                code = await self.instance.process.wait()
            if not self._is_stopping:
                self.problems.append(
                    f'{path.name}: ended by itself with {code}'
                )
            await asyncio.sleep(0.3)

    def send(self, sent_signal):
        """Send a signal, and see that a daemon told to stop does so in time."""
        process = self.instance.process
        if process is None or process.returncode is not None:
            return
        if sent_signal is signal.SIGHUP and not self.instance.handles_sighup():
            return
        process.send_signal(sent_signal)
        if sent_signal is signal.SIGKILL:
            self._is_stopping = True
        if sent_signal is signal.SIGTERM and not self._is_stopping:
            self._is_stopping = True
            self.terminated_s.append(self._run.now_s())
            self._run.tasks.create_task(self._end(process))

    async def _end(self, process):
        until_s = self._run.now_s() + GRACE_S
        await process.wait()
        self.late_exits += self._run.now_s() > until_s


class Caller:
    """Sends requests by one habit, and connects again when a connection ends."""

    def __init__(self, run, habit, number):
        self._run = run
        self._habit = habit
        self._source = random.Random(f'{run.seed} {habit} {number}')
        self._reader = None
        self._writer = None
        self._daemon = ''

    async def run(self):
        await asyncio.sleep(self._source.uniform(0, 1))
        while not self._run.is_over:
            if not await self._connect():
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(ConnectionError):
                while await getattr(self, f'_{self._habit}')():
                    if self._run.is_over:
                        break
            self._writer.close()

    async def _connect(self):
        instance = await self._choose_instance()
        self._daemon = instance.path.stem
        caller = socket.socket()
        if self._habit == 'slow':
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        caller.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(
                caller, (instance.ip, instance.ports['front'])
            )
        except OSError:
            caller.close()
            return False
        connection = await asyncio.open_connection(
            sock=caller, limit=SMALL_BUFFER_BYTES
        )
        self._reader = connection[0]
        self._writer = connection[1]
        return True

    async def _choose_instance(self):
        return self._source.choice(self._run.daemons).instance

    async def _pool(self):
        await asyncio.sleep(self._source.uniform(0, 0.3))
        return await self._finish(self._send(self._source.random() < 0.5))

    async def _pipeline(self):
        requests = []
        for _ in range(3):
            requests.append(self._send(is_idempotent=True))
            await asyncio.sleep(0.05)
        return all([await self._finish(request) for request in requests])

    async def _slow(self):
        request = self._send(is_idempotent=False, path='large')
        return await self._finish(request, pause_s=0.02)

    async def _idle(self):
        await asyncio.sleep(self._source.uniform(0.5, GRACE_S))
        return await self._finish(self._send(self._source.random() < 0.5))

    async def _upload(self):
        request = self._send(is_idempotent=False, length=UPLOAD_BYTES)
        for _ in range(10):
            self._writer.write(b'x' * (UPLOAD_BYTES // 10))
            await asyncio.sleep(self._source.uniform(0, 0.4))
        return await self._finish(request)

    def _send(self, is_idempotent, path='1', length=0, method='POST'):
        request = Request(
            f'{self._habit}-{len(self._run.requests)}',
            self._habit,
            is_idempotent,
            self._run.now_s(),
            self._daemon,
            method='GET' if is_idempotent else method,
            length=length,
        )
        self._run.requests.append(request)
        self._run.sent[request.request_id] = request
        prefix = '/books/' if is_idempotent else '/once/'
        # Requests that are alike would be quarantined together.
        request.path = f'{prefix}{path}?{request.request_id}'
        self._write(request)
        return request

    def _write(self, request):
        headers = {
            names.HEADERS.attempt_id: request.request_id,
            names.HEADERS.deadline_ms: str(DEADLINE_MS),
            **self._framing(request),
        }
        self._writer.write(
            support.request(request.path, request.method, **headers)
        )

    def _framing(self, request):
        return {'Content-Length': str(request.length)}

    async def _finish(self, request, pause_s=0):
        """Read the answer; return whether the connection stays open."""
        try:
            head = (await self._reader.readuntil(b'\r\n\r\n')).decode()
            lines = head.split('\r\n')
            fields = dict(line.split(': ', 1) for line in lines[1:-2])
            body = await self._read(int(fields['Content-Length']), pause_s)
        except (ConnectionError, asyncio.IncompleteReadError):
            return False
        request.status = int(lines[0].split()[1])
        request.answered_s = self._run.now_s()
        await asyncio.sleep(float(fields.get('Retry-After', 0)))
        is_own = fields.get(names.HEADERS.attempt_id) == request.request_id
        is_whole = body == body_of(request.request_id, request.path)
        if request.status == 200 and not (is_own and is_whole):
            request.problem = f'MIXED: {head!r}'
        return fields.get('Connection') != 'close'

    async def _read(self, left, pause_s):
        received = bytearray()
        while left > len(received):
            wanted = min(SMALL_BUFFER_BYTES, left - len(received))
            received += await self._reader.readexactly(wanted)
            await asyncio.sleep(pause_s)
        return bytes(received)


HABITS = ('pool', 'pipeline', 'slow', 'idle', 'upload')


class Run:
    """One run of a seed; ``problems`` is empty if no promise was broken."""

    habits = HABITS

    def __init__(self, seed, seconds, folder):
        self.seed = seed
        self.requests = []
        self.sent = {}
        self.daemons = []
        self.runs = collections.Counter()
        self.ended_s = {}
        self.is_over = False
        self.tasks = None
        self._seconds = seconds
        self._folder = folder
        self._store = store_standin.StoreStandin()
        self._started_s = 0.0

    def now_s(self):
        return asyncio.get_running_loop().time() - self._started_s

    async def play(self):
        await self._store.start()
        self._store.put('op/config', configuration(1))
        for name in TARGETS:
            await self._start_target(name)
        async with asyncio.TaskGroup() as tasks:
            self.tasks = tasks
            running = [
                tasks.create_task(daemon.run())
                for daemon in self._make_daemons()
            ]
            for daemon in self.daemons:
                await daemon.instance.until_ready()
            self._started_s = asyncio.get_running_loop().time()
            callers = [
                tasks.create_task(self._make_caller(habit, number).run())
                for number, habit in enumerate(self.habits * CALLERS_PER_HABIT)
            ]
            await self._follow_plan()
            await asyncio.sleep(max(0, self._seconds - self.now_s()))
            self.is_over = True
            await asyncio.wait(callers)
            for task in running:
                task.cancel()
            for daemon in self.daemons:
                with contextlib.suppress(ProcessLookupError):
                    daemon.instance.process.kill()
        # The targets see that the connections of the daemons have ended.
        await asyncio.sleep(0.1)
        await self._store.stop()

    def problems(self):
        """Return what broke a promise, one line each."""
        found = [
            problem for daemon in self.daemons for problem in daemon.problems
        ]
        for request in self.requests:
            problem = request.problem or self._problem_of(request)
            if problem:
                found.append(f'{problem}: {request}')
        return found

    def list_target(self, name, port, **fields):
        entry = store_standin.worker(
            address=f'{support.LOOPBACK}:{port}', **fields
        )
        self._store.put(f'servers/{name}', entry)

    def late_exits(self):
        """Return how many daemons outlived their grace time."""
        return sum(daemon.late_exits for daemon in self.daemons)

    def table(self):
        """Return how many requests of each habit ended how."""
        counts = collections.Counter(
            (request.habit, request.status) for request in self.requests
        )
        return {
            habit: {
                str(status): count
                for (counted, status), count in counts.items()
                if counted == habit
            }
            for habit in self.habits
        }

    async def _start_target(self, name):
        port = await Target(name, self).start()
        self.list_target(name, port, slots=100)

    def _make_caller(self, habit, number):
        return Caller(self, habit, number)

    def _make_daemons(self):
        seeds = ''
        for number in range(DAEMONS):
            instance = self._make_instance(number, seeds)
            seeds = seeds or instance.address('control')
            self.daemons.append(Daemon(self, instance, self._folder))
        return self.daemons

    def _make_instance(self, number, seeds):
        return instance_process.Instance(
            self._folder,
            f'edge-{number + 1}',
            self._store.address,
            seeds=seeds,
            grace_s=GRACE_S,
        )

    async def _follow_plan(self):
        for version, step in enumerate(plan(self.seed, self._seconds), 2):
            await asyncio.sleep(max(0, step.at_s - self.now_s()))
            daemon = self.daemons[step.daemon]
            if step.action is Action.CONFIGURE:
                self._store.put('op/config', configuration(version))
            elif step.action is Action.RELOAD:
                daemon.send(signal.SIGHUP)
            else:
                daemon.send(signal.SIGTERM)
            if step.action is Action.TERMINATE_TWICE:
                later = asyncio.get_running_loop().call_later
                later(0.5, daemon.send, signal.SIGTERM)

    def _problem_of(self, request):
        runs = self.runs[request.request_id]
        if runs > 1 and not request.is_idempotent:
            return 'TWICE'
        if request.status is None:
            return 'LOST' if runs and not self._may_be_lost(request) else ''
        if request.status in NOT_RUN_STATUSES:
            return 'REFUSED, but it ran' if runs else ''
        if request.status == 200 or _is_timed_out(request):
            return ''
        return 'an answer in place of a target'

    def _may_be_lost(self, request):
        """Return whether a target ran the request until the grace time's end.

        Such a request may be cut off if it was sent early enough.
        """
        ended_s = self.ended_s.get(request.request_id, math.inf)
        daemon = next(
            daemon
            for daemon in self.daemons
            if daemon.instance.path.stem == request.daemon
        )
        return any(
            request.sent_s <= terminated_s + NOTICE_S
            and ended_s >= terminated_s + UNANSWERED_FROM_S
            for terminated_s in daemon.terminated_s
            if terminated_s < ended_s
        )


def _is_timed_out(request):
    """Return whether a request used up its route's timeout, as slow uploads do."""
    is_timeout = request.status == 504 and request.answered_s is not None
    return is_timeout and (
        request.answered_s - request.sent_s >= ROUTE_TIMEOUT_S
    )


async def play(seed, seconds, folder, run_type=Run):
    """Play one seed, and return its run."""
    run = run_type(seed, seconds, folder)
    await run.play()
    return run


def main(run_type=Run, description=__doc__):
    """Play seeds one after the other, and print a line for each."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    options = parser.parse_args()
    support.NAMES = names.HEADERS
    failed = 0
    for seed in range(options.first, options.first + options.count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        run = asyncio.run(play(seed, options.seconds, folder, run_type))
        problems = run.problems()
        failed += bool(problems)
        line = {
            'seed': seed,
            'problems': len(problems),
            'late_exits': run.late_exits(),
            **run.table(),
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        for problem in problems:
            sys.stdout.write(f'  {problem}\n')
        if problems:
            sys.stdout.write(f'  logs: {folder}\n')
        sys.stdout.flush()
    sys.exit(bool(failed))


if __name__ == '__main__':
    main()
