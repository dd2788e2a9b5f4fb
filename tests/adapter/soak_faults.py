"""Soaks under targets in trouble, and kills and pauses of daemons.

Targets misbehave as in ``soak_targets`` and are replaced, and the store fails.
Some callers resend as ordinary HTTP libraries do: the same request with the same
id, if a kept connection closes before the first byte of an answer. Others leave,
send bodies in chunks, or ask the directory where to connect. By hand::

    python tests/adapter/soak_faults.py --first=1 --count=50 --seconds=20
"""

import asyncio
import contextlib
import http
import json
import random
import signal

import soak
import soak_targets

# Run by hand, only ``soak`` finds the folders that these are in.
names = soak.names

KILL = 'kill'
PAUSE = 'pause'
MAX_PAUSE_S = 1.5
MAX_RESENDS = 3
MAX_LOOK_UPS = 3
LOOK_UP_S = 1
CHUNK_BYTES = 2000
STORE_FAULTS = ('503', '429', 'silent', 'reset', 'garbage')
MAX_STORE_FAULT_S = 3
LOOK_UP_PATH = f'{names.RESOLVE_PATH}?name=a.example&region=r&zone=z1'


class FaultCaller(soak.Caller):
    """A caller with the habits of callers that make trouble."""

    async def _resend(self):
        """Send DELETE on a kept connection until it is answered."""
        await asyncio.sleep(self._source.uniform(0, 0.2))
        request = self._send(is_idempotent=False, method='DELETE')
        for _ in range(MAX_RESENDS):
            is_open = await self._finish(request)
            may_resend = not self._run.was_killed_since(
                request.daemon, request.sent_s
            )
            if request.status is not None or not may_resend:
                return is_open
            self._writer.close()
            if not await self._connect():
                return False
            request.daemon = self._daemon
            self._write(request)
        return False

    async def _leave(self):
        """Close the connection before the answer."""
        self._send(self._source.random() < 0.5)
        await asyncio.sleep(self._source.uniform(0, 0.5))
        return False

    async def _chunks(self):
        """Send a body whose length is not stated."""
        length = soak.UPLOAD_BYTES
        request = self._send(is_idempotent=False, length=length)
        for _ in range(length // CHUNK_BYTES):
            self._writer.write(b'%x\r\n' % CHUNK_BYTES)
            self._writer.write(b'x' * CHUNK_BYTES)
            self._writer.write(b'\r\n')
            await asyncio.sleep(self._source.uniform(0, 0.1))
        self._writer.write(b'0\r\n\r\n')
        return await self._finish(request)

    async def _directory(self):
        return await self._pool()

    def _framing(self, request):
        if self._habit == 'chunks':
            return {'Transfer-Encoding': 'chunked'}
        return super()._framing(request)

    async def _choose_instance(self):
        """Return a daemon, for some callers one that the directory names."""
        for _ in range(MAX_LOOK_UPS if self._habit == 'directory' else 0):
            asked = await super()._choose_instance()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(LOOK_UP_S):
                    answer = await asked.get('directory', LOOK_UP_PATH)
                if answer[0] == http.HTTPStatus.OK:
                    addresses = json.loads(answer[2])['addresses']
                    return self._run.instance_at(self._source.choice(addresses))
        return await super()._choose_instance()


class FaultRun(soak.Run):
    """A run with targets in trouble, and daemons that are killed and paused.

    ``killed_s`` and ``paused_s`` are these events by daemon and time; a pause
    counts at its end. ``unasked`` describes requests that no caller sent so.
    """

    habits = (*soak.HABITS, 'resend', 'leave', 'chunks', 'directory')
    faults = soak_targets.FAULTS

    def __init__(self, seed, seconds, folder):
        super().__init__(seed, seconds, folder)
        self.killed_s = []
        self.paused_s = []
        self.unasked = []
        self._targets = []
        self._source = random.Random(f'{seed} targets')

    def problems(self):
        return [*super().problems(), *self.unasked]

    def was_killed_since(self, daemon, since_s):
        """Return whether a daemon was killed, by name."""
        return _has_event(self.killed_s, daemon, since_s)

    def instance_at(self, address):
        """Return the daemon that serves callers at an address."""
        return next(
            daemon.instance
            for daemon in self.daemons
            if daemon.instance.address('front') == address
        )

    def unlist_target(self, name):
        self._store.remove(f'servers/{name}')

    async def _start_target(self, name):
        target = soak_targets.FaultyTarget(name, self)
        self._targets.append(target)
        await target.start()

    def _make_caller(self, habit, number):
        return FaultCaller(self, habit, number)

    async def _follow_plan(self):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super()._follow_plan())
            tasks.create_task(self._kill_and_pause())
            tasks.create_task(self._replace_targets())
            tasks.create_task(self._disturb_store())

    async def _replace_targets(self):
        while self.now_s() < self._seconds:
            await asyncio.sleep(self._source.uniform(0.5, 3))
            await self._source.choice(self._targets).leave()

    async def _disturb_store(self):
        source = random.Random(f'{self.seed} store')
        while self.now_s() < self._seconds:
            await asyncio.sleep(source.uniform(1, 6))
            self._store.fault = source.choice(STORE_FAULTS)
            await asyncio.sleep(source.uniform(0, MAX_STORE_FAULT_S))
            self._store.fault = ''

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
        is_unanswered = request.status is None
        is_lost_by_trouble = is_unanswered and _has_event(
            self.killed_s + self.paused_s, request.daemon, request.sent_s
        )
        has_left = is_unanswered and request.habit == 'leave'
        is_failure = request.status in {500, 502, 504}
        if is_lost_by_trouble or has_left or is_failure:
            runs = self.runs[request.request_id]
            return 'TWICE' if runs > 1 and not request.is_idempotent else ''
        return super()._problem_of(request)


def _has_event(events, daemon, since_s):
    return any(name == daemon and at_s >= since_s for name, at_s in events)


if __name__ == '__main__':
    soak.main(FaultRun, __doc__)
