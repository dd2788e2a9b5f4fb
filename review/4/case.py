"""Rolls daemons by SIGTERM while workers hold long bookings.

A worker takes no further connections while its queue is long. What the daemons
then do to the booking that the worker is running is what this case looks at.
"""

import asyncio
import os
import random
import signal
import time

import bed

SERVICE = 'reserve'
SLOTS = 3
QUEUE = 8
LONG_QUEUE = QUEUE // 2
WORKERS = 6
DAEMONS = 6
AT_ONCE = 2
GRACE_S = 6
ROUNDS = 17
GAP_S = 5
SHORT_PER_S = 26
SHORT_S = 0.42
LONG_S = 4.2
LONGS = 4
ANSWERS_PER_CONNECTION = 8
DEADLINE_MS = 15000
ROUTE_TIMEOUT_S = 8


class Worker:
    """Runs SLOTS requests at once, queues QUEUE, and refuses the others.

    While LONG_QUEUE or more wait, it accepts no further connection: a new one is
    reset, as its port has no listener. Open connections are served on.
    """

    def __init__(self, name, record):
        self.name = name
        self.runs = {}
        self._record = record
        self._running = 0
        self._waiting = []
        self._server = None
        self._port = 0
        self._answers = 0
        self._switching = asyncio.Lock()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f'127.0.0.1:{self._port}'

    async def _open_or_close(self):
        async with self._switching:
            await self._switch()

    async def _switch(self):
        if len(self._waiting) >= LONG_QUEUE and self._server is not None:
            self._server.close()
            self._server = None
            self._record.write(f'{self.name} queue long, no new connections')
        elif len(self._waiting) < LONG_QUEUE and self._server is None:
            await self.start()
            self._record.write(f'{self.name} accepts connections again')

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await bed.read_head(reader)
                await bed.read_body(reader, headers)
                answer = await self._answer(first, headers, reader)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if b'Connection: close' in answer:
                    break
        except bed.LOST:
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers, reader):
        attempt = headers[bed.ATTEMPT]
        if headers.get(bed.EXPECTED, self.name) != self.name:
            return bed.refusal(attempt, '421 Misdirected Request')
        if self._running >= SLOTS:
            if len(self._waiting) >= QUEUE:
                return bed.refusal(attempt, extra=self._load())
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await self._open_or_close()
            await turn
        return await self._run(first, attempt, reader)

    async def _run(self, first, attempt, reader):
        """Run a request, unless its connection closes before it is done."""
        self._running += 1
        work_s = float(first.split()[1].rpartition('/')[2])
        run = {'began': time.monotonic(), 'work': work_s, 'cut': None}
        self.runs[attempt] = run
        self._record.write(f'{self.name} runs {attempt} for {work_s} s')
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=work_s)
        self._running -= 1
        if self._waiting:
            self._waiting.pop(0).set_result(None)
        await self._open_or_close()
        if done:
            run['cut'] = time.monotonic()
            self._record.write(f'{self.name} connection of {attempt} closed')
            return None
        closed.cancel()
        await asyncio.wait({closed})
        self._record.write(f'{self.name} has run {attempt}')
        self._answers += 1
        is_last = self._answers % ANSWERS_PER_CONNECTION == 0
        close = 'Connection: close\r\n' if is_last else ''
        return bed.answer(attempt, b'booked', extra=self._load() + close)

    def _load(self):
        load = f'{self._running},{len(self._waiting)},{SLOTS}'
        return f'X-Sardinepier-Instance-Load: {load}\r\n'


class Booking:
    """A request that is not idempotent, and what became of it."""

    def __init__(self, number, daemon, work_s):
        self.attempt = f'booking-{number}'
        self.daemon = daemon
        self.work_s = work_s
        self.sent = time.monotonic()
        self.term = None
        self.status = 0
        self.is_signed = False
        self.answered = None

    async def send(self, record):
        message = bed.request(
            'POST', f'/book/{self.work_s}', self.attempt, DEADLINE_MS, b'x' * 300
        )
        try:
            reader, writer = await self.daemon.connect()
            writer.write(message)
            record.write(f'{self.attempt} sent to {self.daemon.name}')
            self.status, headers, body = await bed.read_answer(reader)
            self.is_signed = 'x-sardinepier-response-signature' in headers
            writer.close()
        except bed.LOST:
            body = b'connection closed'
        self.answered = time.monotonic()
        text = '' if self.is_signed else body.decode(errors='replace')[:120]
        record.write(f'{self.attempt} answered {self.status} {text}')

    def is_lost(self, runs):
        """Return whether the daemon broke off what its worker was running.

        Not counted is what the rule excuses: at work in the last sixth of the
        grace time, the deadline or the timeout of the route. Nor what the worker
        would not have ended by then.
        """
        run = runs.get(self.attempt)
        if self.term is None or self.is_signed or run is None:
            return False
        last_sixth = self.term + GRACE_S * 5 / 6
        return (
            run['cut'] is not None
            and self.answered < last_sixth
            and run['began'] + run['work'] < last_sixth
            and self.sent <= self.term + 3
            and self.answered - self.sent < ROUTE_TIMEOUT_S - 0.5
        )


async def case(record, folder, daemons, trouble):
    source = random.Random()
    store = bed.Store()
    await store.start()
    path = {
        'name': 'booking-confirm',
        'prefix': '/book/',
        'route_type': 'non_idempotent',
        'timeout_s': ROUTE_TIMEOUT_S,
        'target_latency_s': 2.5,
        'priority': 1,
        'service': SERVICE,
        'max_attempts': 2,
    }
    store.put('op/config', bed.configuration([path], [SERVICE]))
    workers = [Worker(f'i-{number}', record) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
        store.put(
            f'servers/{worker.name}', bed.entry(SERVICE, worker.address, SLOTS)
        )
    for number in range(1, DAEMONS + 1):
        seed = daemons[0].seed if daemons else None
        daemons.append(bed.Daemon(number, folder, store.address, seed))
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(3)

    bookings = []
    # The share of the callers that have left a daemon.
    leaving = {}
    tasks = set()

    def book(daemon, work_s):
        booking = Booking(len(bookings), daemon, work_s)
        bookings.append(booking)
        task = asyncio.create_task(booking.send(record))
        tasks.add(task)

    async def keep_booking():
        while True:
            await asyncio.sleep(source.expovariate(SHORT_PER_S))
            free = [
                daemon
                for daemon in daemons
                if source.random() >= leaving.get(daemon, 0)
            ]
            book(source.choice(free), SHORT_S)

    async def roll(daemon):
        """Stop a daemon while it has long bookings, and start it again."""
        first = len(bookings)
        for _ in range(LONGS):
            book(daemon, LONG_S)
        await asyncio.sleep(0.3)
        if not trouble:
            return
        term = time.monotonic()
        for booking in bookings:
            if booking.daemon is daemon and booking.answered is None:
                booking.term = term
        daemon.send(signal.SIGTERM)
        record.write(f'SIGTERM to {daemon.name}')
        # Callers use an answer of the directory for a second, some for three.
        await asyncio.sleep(1)
        leaving[daemon] = 0.7
        await asyncio.sleep(1.5)
        leaving[daemon] = 1
        for booking in bookings[first:]:
            if booking.daemon is daemon:
                booking.term = term
        await daemon.process.wait()
        record.write(
            f'{daemon.name} ended {time.monotonic() - term:.2f} s after SIGTERM'
        )
        await daemon.start()
        await asyncio.sleep(2)
        del leaving[daemon]

    load = asyncio.create_task(keep_booking())
    for number in range(ROUNDS):
        for place in range(AT_ONCE):
            daemon = daemons[(number * AT_ONCE + place) % DAEMONS]
            tasks.add(asyncio.create_task(roll(daemon)))
        await asyncio.sleep(GAP_S)
    load.cancel()
    await asyncio.wait(tasks)

    runs = {}
    for worker in workers:
        runs.update(worker.runs)
    lost = [booking for booking in bookings if booking.is_lost(runs)]
    for booking in lost:
        run = runs[booking.attempt]
        record.say(
            f'LOST {booking.attempt} at {booking.daemon.name}: answered '
            f'{booking.status} without a signature '
            f'{booking.answered - booking.term:.2f} s after SIGTERM, while its '
            f'worker had worked {run["cut"] - run["began"]:.2f} of '
            f'{run["work"]} s'
        )
    served = sum(booking.is_signed for booking in bookings)
    record.say(f'{len(bookings)} bookings, {served} served, {len(lost)} lost')
    if served < len(bookings) / 2:
        return bed.NOT_RUN
    return bed.BROKEN if lost else bed.HELD


if __name__ == '__main__':
    # TROUBLE=0 leaves the disruption out.
    bed.main(case, trouble=os.environ.get('TROUBLE', '1') != '0')
