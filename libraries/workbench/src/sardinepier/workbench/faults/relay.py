"""A small TCP relay that can cut a link in one direction only.

Each listener stands before one process. The address from which a connection
comes tells links apart, so one listener can be deaf to one peer and hear the
others.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Iterator
from typing import Final

from sardinepier.workbench.faults import links

_CHUNK_BYTES: Final = 65_536
_IP: Final = '127.0.0.1'


@dataclasses.dataclass(eq=False, slots=True)
class _Connection:
    listener: str
    source_ip: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    lost_bytes: bool = False

    def close(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Listens for any number of processes in one event loop.

    For example, to let ``t1`` hear requests while its answers vanish::

        port = await relay.listen(links.ListenerPlan('t1', ip, port))
        relay.apply(links.LinkRule('t1', links.LinkMode.DROP,
                                   direction=links.Direction.BACKWARD))
    """

    def __init__(self) -> None:
        """Start without listeners; all links pass."""
        self.cut_connections = 0
        self._servers: list[asyncio.Server] = []
        self._rules: dict[tuple[str, str], links.LinkRule] = {}
        self._connections: set[_Connection] = set()

    async def listen(self, plan: links.ListenerPlan) -> int:
        """Listen for the process of ``plan`` and return the bound port."""

        async def serve(  # noqa: WPS430 a callback with its plan
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await self._serve(plan, reader, writer)

        server = await asyncio.start_server(serve, _IP, 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def apply(self, rule: links.LinkRule) -> None:
        """Put ``rule`` in force for present and future connections."""
        self._rules[rule.listener, rule.source_ip] = rule
        for connection in tuple(self._connections):
            now = self._rule(connection.listener, connection.source_ip)
            healed = connection.lost_bytes and (now.mode is links.LinkMode.PASS)
            if healed or now.mode is links.LinkMode.REFUSE:
                connection.close()

    async def stop(self) -> None:
        """Stop listening and drop all connections."""
        for server in self._servers:
            server.close()
        for connection in tuple(self._connections):
            connection.close()
        while self._connections:
            await asyncio.sleep(0)

    async def _serve(
        self,
        plan: links.ListenerPlan,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source_ip = str(writer.get_extra_info('peername')[0])
        mode = self._rule(plan.name, source_ip).mode
        try:
            there = await asyncio.open_connection(plan.ip, plan.port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(plan.name, source_ip, (writer, there[1]))
        if mode is links.LinkMode.REFUSE:
            connection.close()
            return
        with self._tracked(connection):
            await self._pass_both(connection, reader, there[0])

    @contextlib.contextmanager
    def _tracked(self, connection: _Connection) -> Iterator[None]:
        self._connections.add(connection)
        try:
            yield
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _pass_both(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        there_reader: asyncio.StreamReader,
    ) -> None:
        writer, there_writer = connection.writers
        forward = links.Direction.FORWARD
        backward = links.Direction.BACKWARD
        with contextlib.suppress(OSError):
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._pump(connection, forward, reader, there_writer),
                )
                tasks.create_task(
                    self._pump(connection, backward, there_reader, writer),
                )

    async def _pump(
        self,
        connection: _Connection,
        direction: links.Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy until the end; errors of a dropped connection end it too."""
        with contextlib.suppress(OSError):
            chunk = await reader.read(_CHUNK_BYTES)
            while chunk:
                rule = self._rule(connection.listener, connection.source_ip)
                if rule.drops(direction):
                    self._lose(connection)
                else:
                    writer.write(chunk)
                    await writer.drain()
                chunk = await reader.read(_CHUNK_BYTES)
        # Half a close is passed on as a whole one: the other side of either
        # protocol here treats it as the end of the exchange.
        connection.close()

    def _lose(self, connection: _Connection) -> None:
        if not connection.lost_bytes:
            connection.lost_bytes = True
            self.cut_connections += 1

    def _rule(self, listener: str, source_ip: str) -> links.LinkRule:
        for source in (source_ip, ''):
            rule = self._rules.get((listener, source))
            if rule is not None:
                return rule
        return links.LinkRule(listener, links.LinkMode.PASS)
