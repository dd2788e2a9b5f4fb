"""Workers break some answers off and then send a second answer.

Half of the workers stop within the body of one answer in twenty, for five
seconds, and send a late copy of their answer to another request on the same
connection. What callers take for the whole answer is what this case looks at.
"""

import asyncio
import os
import random

import bed

SERVICE = 'ledger'
WORKERS = 6
SLOTS = 4
WORK_S = 0.16
DAEMONS = 2
CALLERS = 40
PAUSE_S = 0.2
DEADLINE_MS = 2500
ENTRIES = 20
GARBLE_SHARE = 0.5
GARBLE_X = 0.05
GARBLE_AT_S = 4
GARBLE_FOR_S = 5
LENGTH_S = 12
LATE_S = 0.05


def body_of(attempt):
    """Return the whole body of the answer to a request, some 400 bytes."""
    return f'entry of {attempt};'.encode() * ENTRIES


class Worker:
    """Answers after WORK_S; breaks some answers off while ``garbles``."""

    def __init__(self, name, record):
        self.name = name
        self.garbles = False
        self.broken = 0
        self._record = record
        self._source = random.Random()
        self._earlier = b''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                _, headers = await bed.read_head(reader)
                await bed.read_body(reader, headers)
                attempt = headers[bed.ATTEMPT]
                if headers.get(bed.EXPECTED, self.name) != self.name:
                    writer.write(
                        bed.refusal(attempt, '421 Misdirected Request')
                    )
                    continue
                self._record.write(f'{self.name} runs {attempt}')
                await asyncio.sleep(WORK_S)
                await self._answer(attempt, writer)
        except bed.LOST:
            pass
        finally:
            writer.close()

    async def _answer(self, attempt, writer):
        answer = bed.answer(attempt, body_of(attempt))
        earlier, self._earlier = self._earlier, answer
        if not self.garbles or self._source.random() >= GARBLE_X:
            writer.write(answer)
            await writer.drain()
            return
        self.broken += 1
        missing = self._source.randrange(10, len(body_of(attempt)))
        self._record.write(
            f'{self.name} breaks the answer to {attempt} off, {missing} bytes '
            'before its end, and sends a second answer'
        )
        writer.write(answer[:-missing])
        await writer.drain()
        await asyncio.sleep(LATE_S)
        writer.write(earlier)
        await writer.drain()


async def call(record, daemon, number, until_s, counts):
    """Post until ``until_s`` on a kept connection."""
    source = random.Random()
    connection = None
    sent = 0
    while record.now_s() < until_s:
        await asyncio.sleep(source.uniform(0, 2 * PAUSE_S))
        sent += 1
        attempt = f'posting-{number}-{sent}'
        try:
            if connection is None:
                connection = await daemon.connect()
            reader, writer = connection
            writer.write(
                bed.request(
                    'POST', '/post/x', attempt, DEADLINE_MS, b'debit' * 200
                )
            )
            status, headers, body = await bed.read_answer(reader)
        except bed.LOST:
            record.write(f'{attempt} closed without an answer')
            connection = None
            continue
        record.write(f'{attempt} answered {status}, {len(body)} bytes')
        counts['answered'] += 1
        if status < 300 and body != body_of(attempt):
            counts['mixed'] += 1
            proof = headers.get('x-sardinepier-response-signature')
            record.say(
                f'MIXED {attempt} answered {status} with {proof}; its body '
                f'goes on with {body[_same(body, body_of(attempt)) :][:150]!r}'
            )
        if headers.get('connection') == 'close':
            writer.close()
            connection = None
    if connection is not None:
        connection[1].close()


def _same(left, right):
    """Return how many bytes two texts begin with in common."""
    pairs = enumerate(zip(left, right))
    return next((place for place, (a, b) in pairs if a != b), len(right))


async def case(record, folder, daemons, trouble):
    store = bed.Store()
    await store.start()
    path = {
        'name': 'journal-post',
        'prefix': '/post/',
        'route_type': 'non_idempotent',
        'timeout_s': 1.2,
        'target_latency_s': 0.6,
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
    await asyncio.sleep(2)

    counts = {'answered': 0, 'mixed': 0}
    until_s = record.now_s() + LENGTH_S
    tasks = [
        asyncio.create_task(
            call(record, daemons[number % DAEMONS], number, until_s, counts)
        )
        for number in range(CALLERS)
    ]
    await asyncio.sleep(GARBLE_AT_S)
    garbling = workers[: int(GARBLE_SHARE * WORKERS)] if trouble else []
    for worker in garbling:
        worker.garbles = True
        record.write(f'{worker.name} begins to break answers off')
    await asyncio.sleep(GARBLE_FOR_S)
    for worker in garbling:
        worker.garbles = False
        record.write(f'{worker.name} breaks no more answers off')
    await asyncio.gather(*tasks)

    broken = sum(worker.broken for worker in workers)
    record.say(
        f'{counts["answered"]} answered, {broken} answers broken off, '
        f'{counts["mixed"]} of them taken for whole'
    )
    if counts['answered'] < CALLERS:
        return bed.NOT_RUN
    return bed.BROKEN if counts['mixed'] else bed.HELD


if __name__ == '__main__':
    # TROUBLE=0 leaves the disruption out.
    bed.main(case, trouble=os.environ.get('TROUBLE', '1') != '0')
