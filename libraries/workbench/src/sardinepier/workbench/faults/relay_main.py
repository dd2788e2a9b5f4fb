"""The relay as a process: ``python -m sardinepier.workbench.faults.relay_main``.

It reads ``relay.json`` in the fleet's directory (a ``links.RelayPlan``),
writes the port of each listener to ``port/<name>-relay`` and that of its
control endpoint to ``port/relay``. ``POST /control/link`` sets a link rule, and
``GET /control/cuts`` returns the number of connections that lost bytes.
"""

import asyncio
import http
import pathlib
import sys
from typing import Final

import msgspec
from aiohttp import web

from sardinepier.workbench.faults import links, relay

_IP: Final = '127.0.0.1'


async def serve(fleet: pathlib.Path) -> None:
    """Relay until the process ends."""
    plan = msgspec.json.decode(
        (fleet / 'relay.json').read_bytes(),
        type=links.RelayPlan,
    )
    running_relay = relay.Relay()
    for listener in plan.listeners:
        port = await running_relay.listen(listener)
        (fleet / 'port' / f'{listener.name}-relay').write_text(f'{port}\n')
    application = web.Application()
    control = _Control(running_relay)
    application.router.add_post('/control/link', control.set_link)
    application.router.add_get('/control/cuts', control.count_cuts)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, _IP, 0).start()
    control_port = runner.addresses[0][1]
    (fleet / 'port' / 'relay').write_text(f'{control_port}\n')
    await asyncio.Event().wait()


class _Control:
    def __init__(self, running_relay: relay.Relay) -> None:
        self._relay = running_relay

    async def set_link(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            rule = msgspec.json.decode(body, type=links.LinkRule)
        except msgspec.DecodeError as error:
            return web.Response(
                text=str(error),
                status=http.HTTPStatus.BAD_REQUEST,
            )
        self._relay.apply(rule)
        return web.Response()

    async def count_cuts(self, request: web.Request) -> web.Response:
        cuts = links.CutCount(self._relay.cut_connections)
        return web.Response(body=msgspec.json.encode(cuts))


if __name__ == '__main__':
    asyncio.run(serve(pathlib.Path(sys.argv[1])))
