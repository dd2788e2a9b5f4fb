"""Soaks under targets in trouble, kills and pauses of daemons.

Targets send answers that nobody asked for, refuse, reset connections before and
after they run a request, and answer with statuses that promise too much. Some
callers resend as ordinary HTTP libraries do: the same request with the same id,
if a kept connection closes before the first byte of an answer. By hand::

    python tests/adapter/soak_faults.py --first=1 --count=50 --seconds=20
"""

import asyncio
import contextlib
import random
import signal

import soak

# Run by hand, only ``soak`` finds the folders that these are in.
names = soak.names
support = soak.support

KILL = 'kill'
PAUSE = 'pause'
MAX_PAUSE_S = 1.5
MAX_RESENDS = 3

FAULTS = (
    'foreign before',
    'foreign behind',
    'late copy',
    'shed',
    'unmarked',
    'failed',
    'reset before',
    'reset after',
)
FAULT_SHARE = 0.2
FOREIGN = (
    ('503 Full', True),
    ('429 Slow Down', True),
    ('421 Misdirected Request', False),
    ('500 Bad', False),
    ('200 OK', False),
)
"""The status of an answer without an id, and whether it says that nothing ran."""


class FaultyTarget(soak.Target):
    """A target that misbehaves at random, and knows what it ran."""

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._exchange(reader, writer):
                await writer.drain()
        writer.close()

    async def _exchange(self, reader, writer):
        """Answer one request; return whether the connection stays open."""
        head, fields = await soak.read_request(reader)
        request_id = fields.get(names.HEADERS.attempt_id, '')
        fault = ''
        if request_id and self._source.random() < FAULT_SHARE:
            fault = self._source.choice(FAULTS)
        if fault == 'reset before':
            support.linger_off(writer)
            return False
        if fault == 'shed':
            writer.write(self._refusal(request_id))
            return True
        if fault == 'foreign before':
            writer.write(self._foreign_answer())
        whole = await self._answer(head, fields)
        if fault == 'reset after':
            support.linger_off(writer)
            return False
        status = {
            'failed': '500 Bad',
            'unmarked': self._source.choice(
                ('408 Late', '429 Slow', '503 Bad')
            ),
        }.get(fault)
        writer.write(
            support.answer(request_id, status, b'failed') if status else whole
        )
        if fault in {'foreign behind', 'late copy'}:
            await writer.drain()
            await asyncio.sleep(self._source.uniform(0, 0.2))
            is_copy = fault == 'late copy'
            writer.write(whole if is_copy else self._foreign_answer())
        return True

    def _refusal(self, request_id):
        return support.answer(
            request_id,
            self._source.choice(('503 Full', '429 Slow Down')),
            signed=False,
            extra=f'{names.HEADERS.not_run}: 1',
        )

    def _foreign_answer(self):
        status, is_marked = self._source.choice(FOREIGN)
        extra = names.HEADERS.not_run if is_marked else 'Extra'
        return support.answer(
            '', status, b'of nobody', identified=False, extra=f'{extra}: 1'
        )


class ResendingCaller(soak.Caller):
    """Sends DELETE on kept connections, and resends as HTTP libraries do."""

    async def run(self):
        await asyncio.sleep(self._source.uniform(0, 1))
        while not self._run.is_over:
            if await self._connect():
                with contextlib.suppress(ConnectionError):
                    while await self._delete() and not self._run.is_over:
                        await asyncio.sleep(self._source.uniform(0, 0.2))
                self._writer.close()

    async def _delete(self):
        """Send one request until it is answered; return as ``_finish``."""
        request = self._send(is_idempotent=False, method='DELETE')
        for _ in range(MAX_RESENDS):
            is_open = await self._finish(request)
            may_resend = not self._run.was_killed_since(
                request.daemon, request.sent_s
            )
            if request.status is not None or not may_resend:
                return is_open
            if not await self._connect():
                return False
            request.daemon = self._daemon
            path = f'/once/1?{request.request_id}'
            self._write(request, path, 'DELETE', length=0)
        return False


class FaultRun(soak.Run):
    """A run with targets in trouble, and daemons that are killed and paused.

    ``killed_s`` and ``paused_s`` are these events by daemon and time; a pause
    counts at its end.
    """

    habits = (*soak.HABITS, 'resend')
    target_type = FaultyTarget

    def __init__(self, seed, seconds, folder):
        super().__init__(seed, seconds, folder)
        self.killed_s = []
        self.paused_s = []

    def was_killed_since(self, daemon, since_s):
        """Return whether a daemon was killed, by name."""
        return _has_event(self.killed_s, daemon, since_s)

    def _make_caller(self, habit, number):
        kind = ResendingCaller if habit == 'resend' else soak.Caller
        return kind(self, habit, number)

    async def _follow_plan(self):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super()._follow_plan())
            tasks.create_task(self._kill_and_pause())

    async def _kill_and_pause(self):
        source = random.Random(f'{self.seed} kills')
        at_s = 1.0
        while at_s < self._seconds:
            await asyncio.sleep(max(0, at_s - self.now_s()))
            daemon = source.choice(self.daemons)
            if source.choice((KILL, PAUSE)) == KILL:
                self.killed_s.append((daemon.instance.path.stem, self.now_s()))
                daemon.send(signal.SIGKILL)
            else:
                daemon.send(signal.SIGSTOP)
                asyncio.get_running_loop().call_later(
                    source.uniform(0.1, MAX_PAUSE_S), self._go_on, daemon
                )
            at_s += source.uniform(0.5, 4)

    def _go_on(self, daemon):
        self.paused_s.append((daemon.instance.path.stem, self.now_s()))
        daemon.send(signal.SIGCONT)

    def _problem_of(self, request):
        is_lost_by_trouble = request.status is None and _has_event(
            self.killed_s + self.paused_s, request.daemon, request.sent_s
        )
        if is_lost_by_trouble or request.status in {500, 502, 504}:
            runs = self.runs[request.request_id]
            return 'TWICE' if runs > 1 and not request.is_idempotent else ''
        return super()._problem_of(request)


def _has_event(events, daemon, since_s):
    return any(name == daemon and at_s >= since_s for name, at_s in events)


if __name__ == '__main__':
    soak.main(FaultRun, __doc__)
