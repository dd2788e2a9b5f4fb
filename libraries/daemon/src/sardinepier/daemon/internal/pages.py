"""The daemon's pages for operators: status, metrics and timeline."""

import dataclasses
from collections.abc import Callable

import msgspec
from aiohttp import web_request, web_response

from sardinepier.daemon.internal import status_document
from sardinepier.gateway import server
from sardinepier.telemetry import metrics, stamps, status, timeline

_JSON = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class Pages:
    """Read-only handlers of the pages."""

    source: status_document.StatusSource
    state: Callable[[], status_document.DaemonState]
    metrics: metrics.Metrics
    timeline: timeline.Timeline

    def add_to(self, caller_server: server.CallerServer) -> None:
        """Register all pages."""
        caller_server.add_page('/v1/status', self.show_status)
        caller_server.add_page('/v1/metrics', self.show_metrics)
        caller_server.add_page('/v1/timeline', self.show_timeline)

    async def show_status(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Respond with the status document."""
        document = await self.source.document(self.state())
        return _json(status.encode(document))

    async def show_metrics(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Respond with a snapshot of all metrics."""
        snapshot = await self.metrics.snapshot_in_steps()
        return _json(msgspec.json.encode(snapshot))

    async def show_timeline(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Respond with all events, or those after ``since`` if it is given.

        Raises ``BadStampError``, which becomes a problem document.
        """
        since = request.query.get('since')
        stamp = stamps.parse_stamp(since) if since else None
        return _json(timeline.encode(self.timeline.document(stamp)))


def _json(body: bytes) -> web_response.Response:
    return web_response.Response(body=body, content_type=_JSON)
