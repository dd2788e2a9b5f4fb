"""One entry of the store that can't be read, beside the sound ones."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

import rig as rigs

ZONES = ('isando', 'midrand', 'samrand')
UNREADABLE = b'{"x":' + b'[' * 4000
STEADY_S = 6
TROUBLE_S = 30


async def traffic(rig, until_s, served):
    """Send a lookup and a posting to each daemon in turn."""
    place = 0
    while rig.record.now() < until_s:
        daemon = rig.daemons[place % len(rig.daemons)]
        place += 1
        for path, method in (('/view/1', 'GET'), ('/post/1', 'POST')):
            body = b'entry' if method == 'POST' else b''
            _, answer = await rig.send(daemon, rigs.HOST, path, method, body)
            is_good = answer is not None and answer.status == 200
            served.append((rig.record.now(), is_good))
        await asyncio.sleep(0.1)


async def case(rig, with_trouble):
    services = ('tracker', 'ledger')
    for place, zone in enumerate(ZONES):
        await rig.add_worker(f'i-1{place}', 'tracker', zone)
        await rig.add_worker(f'i-2{place}', 'ledger', zone)
    routes = (
        ('view', '/view/', 'idempotent', 'tracker'),
        ('post', '/post/', 'non_idempotent', 'ledger'),
    )
    rig.store.put('op/config', rigs.configuration(7, routes, services))
    await rig.add_daemons(ZONES * 2)
    for daemon in rig.daemons:
        daemon.start()
    await rig.until_all_ready()
    steady = []
    await traffic(rig, rig.record.now() + STEADY_S, steady)
    good = sum(is_good for _, is_good in steady)
    rig.record.say(f'before: {good} of {len(steady)} requests served')
    if good < 0.9 * len(steady) or any(each.ends for each in rig.daemons):
        raise rigs.CannotRunError('not steady')
    began_s = rig.record.now()
    if with_trouble:
        rig.store.put('servers/i-another-writer', UNREADABLE)
    later = []
    await traffic(rig, began_s + TROUBLE_S, later)
    good = sum(is_good for _, is_good in later)
    rig.record.say(f'after: {good} of {len(later)} requests served')
    half_s = began_s + TROUBLE_S / 2
    last = [is_good for moment_s, is_good in later if moment_s > half_s]
    rig.record.say(f'in the last half: {sum(last)} of {len(last)} served')
    for daemon in rig.daemons:
        moments = ', '.join(f'{moment_s:.1f}' for moment_s in daemon.ends)
        rig.record.say(
            f'{daemon.name} ended by itself at: {moments or "never"}'
        )
    often = sum(len(daemon.ends) >= 3 for daemon in rig.daemons)
    rig.record.say(
        f'{often} of {len(rig.daemons)} daemons ended by themselves three times'
    )
    is_broken = often >= max(2, len(rig.daemons) / 10)
    rig.record.say('rule Fault:', 'broken' if is_broken else 'held')
    return 1 if is_broken else 0


rigs.main(
    FOLDER,
    case,
    ZONES,
    with_trouble=os.environ.get('TROUBLE', '1') != '0',
)
