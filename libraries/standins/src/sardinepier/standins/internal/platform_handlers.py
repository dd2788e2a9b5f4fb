"""The HTTP interface of a stand-in platform."""

from collections.abc import Mapping
from typing import Final

import msgspec
from aiohttp import web

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.platform import shares
from sardinepier.standins.internal import (
    platform_counts,
    platform_faults,
    platform_served,
)

_NOT_MODIFIED: Final = 304
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404


class ModeRequest(msgspec.Struct):
    """The body of ``POST /control/mode``."""

    mode: platform_faults.PlatformMode
    changes_back: int = 1


class PlatformHandlers:
    """Handles requests with the served state and counts them."""

    def __init__(
        self,
        state: platform_served.ServedState,
        counts: platform_counts.CallCounts,
    ) -> None:
        """Serve ``state`` and count into ``counts``."""
        self._state = state
        self._counts = counts

    def application(self) -> web.Application:
        """Return a new aiohttp application with all routes."""
        application = web.Application()
        application.add_routes(
            (
                web.get('/v1/files', self._handle_listing),
                web.get('/v1/files/{name:.+}', self._handle_file),
                web.get('/v1/instances', self._handle_instances),
                web.post('/control/mode', self._handle_mode),
                web.get('/control/counts', self._handle_counts),
            ),
        )
        return application

    async def _fault_response(
        self,
        request: web.Request,
    ) -> web.StreamResponse | None:
        """Return the faulty response of the mode, ``None`` if it has none."""
        while self._state.mode is platform_faults.PlatformMode.HANGING:
            await self._state.wait_change()
        if self._state.mode in platform_faults.WELL_FORMED_MODES:
            return None
        return await platform_faults.respond_with_fault(
            request, self._state.mode
        )

    async def _handle_listing(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        if 'after' not in request.query:
            self._counts.lists += 1
            return await self._respond_with_listing(request)
        self._counts.watches += 1
        try:
            after = int(request.query['after'])
            timeout_ms = int(request.query.get('timeout_ms', '0'))
        except ValueError:
            return web.Response(status=_BAD_REQUEST)
        await self._state.wait_newer(after, timeout_ms)
        return await self._respond_with_listing(request)

    async def _respond_with_listing(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        fault_response = await self._fault_response(request)
        if fault_response is not None:
            return fault_response
        return _json_response(self._state.served.listing())

    async def _handle_file(self, request: web.Request) -> web.StreamResponse:
        self._counts.files += 1
        fault_response = await self._fault_response(request)
        if fault_response is not None:
            return fault_response
        name = ids.FileName(request.match_info['name'])
        published_file = self._state.read(name)
        if published_file is None:
            return web.Response(status=_NOT_FOUND)
        return web.Response(
            text=published_file.text,
            headers={'Revision': str(published_file.revision)},
        )

    async def _handle_instances(
        self,
        request: web.Request,
    ) -> web.StreamResponse:
        self._counts.instances += 1
        fault_response = await self._fault_response(request)
        if fault_response is not None:
            return fault_response
        query = {name: request.query.getall(name) for name in request.query}
        try:
            share = shares.parse_query(query)
        except core_errors.InvalidArgumentError as error:
            return web.Response(status=_BAD_REQUEST, text=str(error))
        served = self._state.instances(share)
        tag = {'ETag': served.tag}
        if request.headers.get('If-None-Match') == served.tag:
            return web.Response(status=_NOT_MODIFIED, headers=tag)
        return _json_body_response(served.body, tag)

    async def _handle_mode(self, request: web.Request) -> web.Response:
        try:
            mode_request = msgspec.json.decode(
                await request.read(),
                type=ModeRequest,
            )
        except msgspec.DecodeError as error:
            return web.Response(status=_BAD_REQUEST, text=str(error))
        self._state.set_mode(mode_request.mode, mode_request.changes_back)
        return _json_response(mode_request)

    async def _handle_counts(self, request: web.Request) -> web.Response:
        return _json_response(self._counts)


def _json_response(content: msgspec.Struct) -> web.Response:
    return _json_body_response(msgspec.json.encode(content), {})


def _json_body_response(
    body: bytes, headers: Mapping[str, str]
) -> web.Response:
    """Return a response, compressed if the client accepts that."""
    response = web.Response(
        body=body,
        content_type='application/json',
        headers=headers,
    )
    response.enable_compression()
    return response
