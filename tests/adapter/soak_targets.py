"""Targets in trouble, for the soaks of processes.

They refuse, fail, answer for nobody, cut answers off or fill them up with the
next one, spoil heads, answer before they have read a body, close idle
connections, and end: another incarnation then has the address, and rejects what
was meant for the one before.
"""

import asyncio
import contextlib
import random

import soak

# Run by hand, only ``soak`` finds the folders that these are in.
names = soak.names
support = soak.support

SLOTS = 10
QUEUE = 4
FAULT_SHARE = 0.2
MAX_SILENCE_S = 3
DRAIN_S = 2
IDLE_S = {'i-1': 0.5, 'i-2': 1, 'i-3': 2, 'i-4': 30}
"""When the targets close idle connections; they state whole seconds."""

REFUSALS = ('503 Full', '429 Slow Down')
PROMISES = ('408 Late', '429 Slow', '503 Bad')
FOREIGN = (
    ('503 Full', True),
    ('429 Slow Down', True),
    ('421 Misdirected Request', False),
    ('500 Bad', False),
    ('200 OK', False),
    ('101 Switching Protocols', True),
    ('099 None', True),
    ('000 None', True),
    ('600 None', True),
)
"""The status of an answer without an id, and whether it says that nothing ran."""

FOREIGN_FAULTS = ('foreign before', 'foreign behind', 'spliced')
FAULTS = (
    *FOREIGN_FAULTS,
    'late copy',
    'late refusal',
    'shed',
    'unmarked',
    'failed',
    'reset before',
    'reset after',
    'closing',
    'until-end',
    'until-reset',
    'short',
    'garbage',
    'filled up',
    'spoiled',
    'early',
    'silent',
)


class FaultyTarget:
    """An address with one incarnation of a target after the other."""

    def __init__(self, name, run):
        self._name = name
        self._run = run
        self._source = random.Random(f'{run.seed} {name}')
        self._incarnation = 1
        self._in_hand = 0
        self._writers = set()
        self._port = 0

    @property
    def target_id(self):
        return f'{self._name}-{self._incarnation}'

    async def start(self):
        server = await asyncio.start_server(self._serve, support.LOOPBACK)
        self._port = server.sockets[0].getsockname()[1]
        self._list()

    async def leave(self):
        """Leave as announced, as a removed entry shows, or at once."""
        how = self._source.choice(('announced', 'removed', 'at once'))
        old_id = self.target_id
        if how == 'announced':
            self._list(state='draining')
        if how == 'removed':
            self._run.unlist_target(old_id)
        if how != 'at once':
            await asyncio.sleep(DRAIN_S)
        self._incarnation += 1
        for writer in tuple(self._writers):
            support.linger_off(writer)
        await asyncio.sleep(self._source.uniform(0, 0.5))
        if how != 'removed' and self._source.random() < 0.5:
            # For a moment, the address is listed twice.
            self._list()
            await asyncio.sleep(self._source.uniform(0, DRAIN_S))
        if how != 'removed':
            self._run.unlist_target(old_id)
        self._list()

    def check(self, head, request_id, body):
        """Record a request that nobody sent so."""
        request = self._run.sent.get(request_id)
        line = head.partition('\r\n')[0]
        if (
            request is None
            or line != f'{request.method} {request.path} HTTP/1.1'
            or body != b'x' * request.length
        ):
            self._run.unasked.append(f'UNASKED: {line}, {len(body)} bytes')

    def _list(self, **fields):
        self._run.list_target(self.target_id, self._port, slots=SLOTS, **fields)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        closed = (ConnectionError, asyncio.IncompleteReadError, TimeoutError)
        with contextlib.suppress(*closed):
            while await self._exchange(reader, writer):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _exchange(self, reader, writer):
        """Answer one request; return whether the connection stays open."""
        async with asyncio.timeout(IDLE_S[self._name]):
            head, fields = await soak.read_head(reader)
        request_id = fields.get(names.HEADERS.attempt_id)
        if request_id is None:
            writer.write(self._health())
            return True
        length = int(fields.get('Content-Length', 0))
        fault = self._choose_fault()
        if fault == 'early':
            # The body is read only after the answer to it.
            writer.write(await self._run_request(head, request_id))
        self.check(head, request_id, await reader.readexactly(length))
        if fault == 'early':
            return True
        expected = fields.get(names.HEADERS.expected_target, self.target_id)
        if expected != self.target_id:
            writer.write(support.ANSWERS['other'](request_id))
            return True
        return await self._answer(fault, head, request_id, writer)

    def _choose_fault(self):
        if self._source.random() >= FAULT_SHARE:
            return ''
        return self._source.choice(self._run.faults)

    async def _answer(self, fault, head, request_id, writer):
        if fault == 'late refusal':
            refusal = self._refusal(request_id)
            writer.write(refusal)
            await self._late(refusal, writer)
            return True
        if fault == 'shed' or self._in_hand >= SLOTS + QUEUE:
            writer.write(self._refusal(request_id))
            return True
        if fault == 'reset before':
            support.linger_off(writer)
            return False
        if fault == 'foreign before':
            writer.write(self._foreign_answer())
        if fault == 'spliced':
            writer.write(self._cut_answer())
        whole = await self._run_request(head, request_id)
        if fault == 'reset after':
            support.linger_off(writer)
            return False
        if fault == 'silent':
            await asyncio.sleep(self._source.uniform(0, MAX_SILENCE_S))
        if fault == 'filled up':
            writer.write(self._broken_off(whole))
            await self._late(self._another_whole(), writer)
            return True
        writer.write(self._bytes_of(fault, head, request_id, whole))
        if fault in {'foreign behind', 'late copy'}:
            is_copy = fault == 'late copy'
            extra = whole if is_copy else self._foreign_answer()
            await self._late(extra, writer)
        if fault == 'until-reset':
            await writer.drain()
            support.linger_off(writer)
        return fault not in support.CLOSING_BEHAVIOURS

    async def _late(self, extra, writer):
        """Send further bytes, often while the next request is on its way."""
        await writer.drain()
        await asyncio.sleep(self._source.uniform(0, 0.2))
        writer.write(extra)

    async def _run_request(self, head, request_id):
        """Run a request, and return the bytes of its answer."""
        self._in_hand += 1
        self._run.runs[request_id] += 1
        await asyncio.sleep(self._source.uniform(0.01, soak.MAX_WORK_S))
        self._in_hand -= 1
        self._run.ended_s[request_id] = self._run.now_s()
        body = soak.body_of(request_id, head)
        idle_s = IDLE_S[self._name]
        stated = f'Keep-Alive: timeout={idle_s}' if idle_s >= 1 else 'Extra: 1'
        return support.answer(request_id, body=body, extra=stated)

    def _bytes_of(self, fault, head, request_id, whole):
        if fault in {'failed', 'unmarked'}:
            status = '500 Bad'
            if fault == 'unmarked':
                status = self._source.choice(PROMISES)
            return support.answer(request_id, status, b'failed')
        if fault in {'until-end', 'until-reset'}:
            body = soak.body_of(request_id, head)
            return support.answer(request_id, body=body, framed=False)
        if fault == 'spoiled':
            spoiled = self._source.choice((0, 1, 11, 31, 127))
            return whole.replace(b'OK', bytes([spoiled]), 1)
        if fault == 'short':
            return whole[:-4]
        return support.ANSWERS['garbage']('') if fault == 'garbage' else whole

    def _health(self):
        extra = f'X-Sardinepier-Instance-Id: {self.target_id}'
        return support.answer('', extra=extra)

    def _refusal(self, request_id):
        return support.answer(
            request_id,
            self._source.choice(REFUSALS),
            signed=False,
            extra=f'{names.HEADERS.not_run}: 1',
        )

    def _broken_off(self, whole):
        """Return an answer that ends within its body."""
        body = whole.partition(b'\r\n\r\n')[2]
        return whole[: -self._source.randint(1, max(1, len(body) // 2))]

    def _another_whole(self):
        """Return an answer to another caller."""
        body = b'of another caller' * self._source.choice((1, 30, 3000))
        return support.answer('another', body=body)

    def _cut_answer(self):
        """Return a foreign answer that is cut off within its head."""
        head = self._foreign_answer().partition(b'\r\n\r\n')[0]
        return head[: self._source.randrange(len(head))]

    def _foreign_answer(self):
        status, is_marked = self._source.choice(FOREIGN)
        extra = names.HEADERS.not_run if is_marked else 'Extra'
        return support.answer(
            '', status, b'of nobody', identified=False, extra=f'{extra}: 1'
        )
