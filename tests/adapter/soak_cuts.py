"""Soaks in which each daemon loses its paths to targets, beside other faults.

Each daemon has a zone, a store and links to the targets of its own. A link that
is cut refuses connections, and resets or holds those that are open. A daemon
without paths lets another one make its attempts. By hand::

    python tests/adapter/soak_cuts.py --first=1 --count=50 --seconds=20
"""

import asyncio
import random
import socket

import soak
import soak_faults

# Run by hand, only ``soak`` finds the folders that these are in.
store_standin = soak.store_standin
support = soak.support

MAX_CUT_S = 4
READ_BYTES = 65536
ZONES = tuple(f'z{number + 1}' for number in range(soak.DAEMONS))


class Link:
    """The path of one daemon to one address of a target, which may be cut."""

    def __init__(self, port):
        self._target_port = port
        self._writers = set()
        self._is_open = asyncio.Event()
        self._is_open.set()
        listening = socket.create_server((support.LOOPBACK, 0))
        self._address = listening.getsockname()
        self._server = None
        self._starting = asyncio.ensure_future(self._listen(listening))

    @property
    def address(self):
        return f'{support.LOOPBACK}:{self._address[1]}'

    async def cut(self, *, holds):
        """Refuse connections; hold or reset those that are open."""
        await self._starting
        self._is_open.clear()
        self._server.close()
        if not holds:
            for writer in tuple(self._writers):
                support.linger_off(writer)

    async def mend(self):
        self._is_open.set()
        await self._listen(socket.create_server(self._address))

    async def _listen(self, listening):
        self._server = await asyncio.start_server(self._serve, sock=listening)

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                support.LOOPBACK, self._target_port
            )
        except OSError:
            support.linger_off(writer)
            return
        await asyncio.gather(
            self._pass_on(reader, target_writer),
            self._pass_on(target_reader, writer),
        )

    async def _pass_on(self, reader, writer):
        """Pass bytes on until the end, or a reset at either side."""
        self._writers.add(writer)
        try:
            while received := await reader.read(READ_BYTES):
                await self._is_open.wait()
                writer.write(received)
                await writer.drain()
            writer.close()
        except ConnectionError:
            support.linger_off(writer)
        finally:
            self._writers.discard(writer)


class LinkedStores:
    """A store for each daemon, in which the targets have its own links."""

    def __init__(self):
        self.links = [{} for _ in ZONES]
        self.stores = [store_standin.StoreStandin() for _ in ZONES]

    def set_fault(self, fault):
        for store in self.stores:
            store.fault = fault

    fault = property(fset=set_fault)

    async def start(self):
        for store in self.stores:
            await store.start()

    async def stop(self):
        for store in self.stores:
            await store.stop()

    def put(self, key, document):
        for store, links in zip(self.stores, self.links, strict=True):
            address = document.get('address')
            if address is None:
                store.put(key, document)
                continue
            if address not in links:
                links[address] = Link(int(address.rpartition(':')[2]))
            store.put(key, {**document, 'address': links[address].address})

    def remove(self, key):
        for store in self.stores:
            store.remove(key)


class CutRun(soak_faults.FaultRun):
    """A run in which daemons lose some or all of their paths to targets."""

    def __init__(self, seed, seconds, folder):
        super().__init__(seed, seconds, folder)
        self._store = LinkedStores()

    def _make_instance(self, number, seeds):
        return soak.instance_process.Instance(
            self._folder,
            f'edge-{number + 1}',
            self._store.stores[number].address,
            seeds=seeds,
            grace_s=soak.GRACE_S,
            zones=ZONES,
            zone=ZONES[number],
        )

    async def _follow_plan(self):
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(super()._follow_plan())
            tasks.create_task(self._cut_links())

    async def _cut_links(self):
        source = random.Random(f'{self.seed} cuts')
        while self.now_s() < self._seconds:
            await asyncio.sleep(source.uniform(0.5, 3))
            links = list(source.choice(self._store.links).values())
            if source.random() < 0.5:
                links = source.sample(links, source.randrange(1, len(links)))
            holds = source.random() < 0.5
            await asyncio.gather(*(link.cut(holds=holds) for link in links))
            await asyncio.sleep(source.uniform(0.5, MAX_CUT_S))
            await asyncio.gather(*(link.mend() for link in links))


if __name__ == '__main__':
    soak.main(CutRun, __doc__)
