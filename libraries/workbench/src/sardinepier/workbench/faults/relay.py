"""A small TCP relay that can cut a link in one direction only.

Each listener forwards to one process. The source address of a connection
identifies its link, so a listener can drop the bytes of one peer and forward
those of the others.
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

    For example, to forward requests to ``t1`` and drop its answers::

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
        """Apply ``rule`` to present and future connections."""
        self._rules[rule.listener, rule.source_ip] = rule
        for connection in tuple(self._connections):
            current_rule = self._rule(connection.listener, connection.source_ip)
            healed = connection.lost_bytes and (
                current_rule.mode is links.LinkMode.PASS
            )
            if healed or current_rule.mode is links.LinkMode.REFUSE:
                connection.close()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
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
            target_streams = await asyncio.open_connection(plan.ip, plan.port)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(
            plan.name, source_ip, (writer, target_streams[1])
        )
        if mode is links.LinkMode.REFUSE:
            connection.close()
            return
        with self._tracked(connection):
            await self._forward_both(connection, reader, target_streams[0])

    @contextlib.contextmanager
    def _tracked(self, connection: _Connection) -> Iterator[None]:
        self._connections.add(connection)
        try:
            yield
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _forward_both(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
    ) -> None:
        writer, target_writer = connection.writers
        forward = links.Direction.FORWARD
        backward = links.Direction.BACKWARD
        with contextlib.suppress(OSError):
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    self._forward(connection, forward, reader, target_writer),
                )
                tasks.create_task(
                    self._forward(connection, backward, target_reader, writer),
                )

    async def _forward(
        self,
        connection: _Connection,
        direction: links.Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward until the end of the stream or an error of the connection."""
        with contextlib.suppress(OSError):
            chunk = await reader.read(_CHUNK_BYTES)
            while chunk:
                rule = self._rule(connection.listener, connection.source_ip)
                if rule.drops(direction):
                    self._record_loss(connection)
                else:
                    writer.write(chunk)
                    await writer.drain()
                chunk = await reader.read(_CHUNK_BYTES)
        # A half-close closes the connection: the peers of both protocols
        # treat it as the end of the exchange.
        connection.close()

    def _record_loss(self, connection: _Connection) -> None:
        if not connection.lost_bytes:
            connection.lost_bytes = True
            self.cut_connections += 1

    def _rule(self, listener: str, source_ip: str) -> links.LinkRule:
        for source in (source_ip, ''):
            rule = self._rules.get((listener, source))
            if rule is not None:
                return rule
        return links.LinkRule(listener, links.LinkMode.PASS)
