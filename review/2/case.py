"""Daemons start again while the store turns one machine of each zone away."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import rig as rigs

ZONES = ('isando', 'midrand', 'samrand')
SERVICES = ('tracker', 'ledger')
MACHINES_A_ZONE = 3
ROUNDS = 4
REFUSED_S = 9.0
STABLE_S = 3.0
MIN_REQUESTS = 6
"""One for each machine that is served; a round with fewer shows nothing."""
APPLY_S = 2.0
DRAIN_S = 2.0
SERVES_ON_S = 5.0
"""How long the leaving worker serves after the store has its report."""


def routes(version):
    """Return the routes; each version moves the second one."""
    return (
        ('view', '/view/', 'idempotent', 'tracker'),
        ('sign', '/sign/', 'non_idempotent', SERVICES[version % 2]),
    )


class Round:
    """One restart of all daemons, with what was seen in it."""

    def __init__(self, rig, version, with_trouble):
        self.rig = rig
        self.old = version
        self.new = version + 1
        self.with_trouble = with_trouble
        self.sent = 0
        self.late_config = []
        self.late_drain = []
        self.cut = []
        self.leaver = None

    async def run(self):
        rig = self.rig
        rig.record.say('round with configuration', self.new)
        old_service = SERVICES[self.old % 2]
        self.leaver = await rig.add_worker(
            f'i-9{self.new}', old_service, ZONES[0], work_s=0.4
        )
        await asyncio.sleep(1.5)
        began_s = rig.record.now()
        refused = {
            next(each.name for each in rig.daemons if each.zone == zone)
            for zone in ZONES
        }
        if self.with_trouble:
            rig.store.refuses = refused
            rig.record('store: turns away', ', '.join(sorted(refused)))
        for daemon in rig.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        served = [each for each in rig.daemons if each.name not in refused]

        async def are_ready():
            ready = await asyncio.gather(*(each.is_ready() for each in served))
            return all(ready)

        await rig.until(are_ready, 6, 'the served machines are not ready')
        ready_s = rig.record.now()
        rig.store.put(
            'op/config',
            rigs.configuration(self.new, routes(self.new), SERVICES),
        )
        self.leaver.state = 'draining'
        self.leaver.sequence += 1
        rig.store.put(f'servers/{self.leaver.name}', self.leaver.entry())
        acked_s = rig.record.now()
        leaving = asyncio.create_task(self._leave())
        # They run since before they were ready: in touch from here on.
        from_s = max(acked_s + APPLY_S, ready_s + STABLE_S) + 0.1
        await asyncio.sleep(from_s - rig.record.now())
        asking = [
            asyncio.create_task(
                self._ask(daemon, began_s + REFUSED_S - 0.5, acked_s)
            )
            for daemon in served
        ]
        await asyncio.gather(leaving, *asking)
        await asyncio.sleep(max(0.0, began_s + REFUSED_S - rig.record.now()))
        rig.store.refuses = set()
        rig.record('store: serves all again')
        if self.sent < MIN_REQUESTS:
            raise rigs.CannotRunError(f'{self.sent} requests in a round')
        rig.record.say(
            f'{self.sent} requests to {len(served)} machines that the store',
            f'serves: {len(self.late_config)} ran at the old service,',
            f'{len(self.late_drain)} reached the worker that had left,',
            f'{len(self.cut)} of these were cut by its end',
        )

    async def _leave(self):
        """End the worker as one that has reported that it drains."""
        await asyncio.sleep(SERVES_ON_S)
        self.rig.record('worker', self.leaver.name, 'ends')
        self.leaver.close()
        self.rig.store.remove(f'servers/{self.leaver.name}')

    async def _ask(self, daemon, until_s, acked_s):
        rig = self.rig
        old_service = SERVICES[self.old % 2]
        while rig.record.now() < until_s:
            sent_s = rig.record.now()
            attempt_id, answer = await rig.send(
                daemon, rigs.HOST, '/sign/off', 'POST', b'sign'
            )
            self.sent += 1
            for worker in rig.workers:
                runs = [at_s for ran, at_s in worker.ran if ran == attempt_id]
                if not runs:
                    continue
                if worker.service == old_service:
                    self.late_config.append(attempt_id)
                    rig.record(
                        'CONFIG:',
                        attempt_id,
                        'was sent to',
                        daemon.name,
                        f'{sent_s - acked_s:.2f} s after the acknowledgement',
                        'and ran at the old service',
                        worker.service,
                    )
                if worker is self.leaver and runs[0] - acked_s > DRAIN_S:
                    self.late_drain.append(attempt_id)
                    rig.record(
                        'DRAIN:',
                        attempt_id,
                        'from',
                        daemon.name,
                        'reached',
                        worker.name,
                        f'{runs[0] - acked_s:.2f} s after the',
                        'acknowledgement that it drains',
                    )
                    if answer is None or answer.status >= 500:
                        self.cut.append(attempt_id)
                        rig.record('and was cut by the end of the worker')
            await asyncio.sleep(0.1)


async def case(rig, with_trouble):
    for place, zone in enumerate(ZONES):
        await rig.add_worker(f'i-1{place}', 'tracker', zone)
        await rig.add_worker(f'i-2{place}', 'ledger', zone)
    version = 6
    rig.store.put(
        'op/config', rigs.configuration(version, routes(version), SERVICES)
    )
    await rig.add_daemons(
        [zone for zone in ZONES for _ in range(MACHINES_A_ZONE)]
    )
    for daemon in rig.daemons:
        daemon.start()
    await rig.until_all_ready()
    await asyncio.sleep(2)
    rounds = []
    for _ in range(ROUNDS):
        rounds.append(Round(rig, version, with_trouble))
        await rounds[-1].run()
        version += 1
        await rig.until_all_ready()
        await asyncio.sleep(STABLE_S)
    late_config = sum(len(each.late_config) for each in rounds)
    late_drain = sum(len(each.late_drain) for each in rounds)
    rig.record.say('rule CONFIG:', 'broken' if late_config else 'held')
    rig.record.say('rule DRAIN:', 'broken' if late_drain else 'held')
    return 1 if late_config or late_drain else 0


rigs.main(
    FOLDER,
    case,
    ZONES,
    with_trouble=os.environ.get('TROUBLE', '1') != '0',
)
