"""Size of the requests and answers exchanged with targets."""

import contextlib
import functools
from collections.abc import Callable, Iterable
from typing import Final

from aiohttp import client_reqrep

from sardinepier.entry import caller_request, request_metrics

_HEADER_LINE_EXTRA_BYTES: Final = 4
"""A colon, a space and the end of the line."""

_START_LINE_EXTRA_BYTES: Final = 15
"""The protocol version, separators, and the empty line after the headers."""

_STATUS_DIGITS: Final = 3
_ADDED_HEADERS_BYTES: Final = 150
"""Estimate of the headers that the daemon and its HTTP client add to each
request: host, attempt, deadline, expected target and content length."""


class AttemptTraffic:
    """Counts what one attempt sends and receives."""

    def __init__(
        self,
        counted: request_metrics.RequestMetrics,
        *,
        crosses_zones: bool,
    ) -> None:
        """Count in ``counted``; ``crosses_zones`` says where the target is."""
        self._counted = counted
        self._crosses_zones = crosses_zones
        self._response: client_reqrep.ClientResponse | None = None

    def sent(self, request: caller_request.CallerRequest) -> None:
        """Count a request when its first byte is sent."""
        self._add(functools.partial(request_bytes, request))

    def opened(self, response: client_reqrep.ClientResponse) -> None:
        """Remember a response whose headers were received."""
        self._response = response

    def ended(self) -> None:
        """Count the response as far as it was received."""
        if self._response is not None:
            self._add(functools.partial(response_bytes, self._response))

    def _add(self, size_bytes: Callable[[], int]) -> None:
        # A fault in the accounting must not fail a request or an answer.
        with contextlib.suppress(Exception):
            self._counted.forwarded(
                size_bytes(),
                crosses_zones=self._crosses_zones,
            )


def request_bytes(request: caller_request.CallerRequest) -> int:
    """Return about how many bytes one attempt of ``request`` sends."""
    return (
        len(request.method)
        + len(request.path)
        + _START_LINE_EXTRA_BYTES
        + _headers_bytes(request.headers)
        + _ADDED_HEADERS_BYTES
        + len(request.body)
    )


def response_bytes(response: client_reqrep.ClientResponse) -> int:
    """Return about how many bytes of ``response`` have been received.

    Those of the framing of a chunked body are not included.
    """
    return (
        _STATUS_DIGITS
        + len(response.reason or '')
        + _START_LINE_EXTRA_BYTES
        + _headers_bytes(response.headers.items())
        + response.content.total_bytes
    )


def _headers_bytes(headers: Iterable[tuple[str, str]]) -> int:
    return sum(
        len(name) + len(value) + _HEADER_LINE_EXTRA_BYTES
        for name, value in headers
    )
