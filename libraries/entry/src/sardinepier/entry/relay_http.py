"""Relayed requests between daemons over HTTP, on an address of their own.

Callers can't reach that address, and their requests can't carry the header of a
relayed attempt: it is read only there, and never forwarded.
"""

import contextlib
import http
from collections.abc import Callable
from typing import Final

from aiohttp import client_reqrep, web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    body_memory,
    answers,
    caller_request,
    context,
    model,
    own_answer,
    path_check,
    relay_messages,
)
from sardinepier.entry import relay_service as services
from sardinepier.entry import relaying, request_reader, responses
from sardinepier.gateway import errors, headers, request_body

_MS_PER_S: Final = 1000
_HEADER_BYTES: Final = 16384
"""Room for the message beside the headers of the caller."""

_IDLE_TIMEOUT_S: Final = 60.0
"""Longer than the client keeps a connection, so that a request never meets one
that is being closed."""

IsMember = Callable[[ids.InstanceId], bool]


class HttpTransport:
    """Sends relayed attempts with the HTTP client of the daemon."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Use the client and the limits of ``shared``."""
        self._shared = shared

    async def send(
        self,
        peer: relaying.Peer,
        request: caller_request.CallerRequest,
        attempt: relay_messages.RelayedAttempt,
        permit: Callable[[], None],
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        """Return the peer's reply; see :class:`relaying.Transport`."""
        names = self._shared.names
        response = await self._shared.client.open(
            request.method,
            peer.url,
            [
                *request.headers,
                (names.attempt_id, request.request_id),
                (headers.RELAYED, relay_messages.encode(attempt)),
            ],
            request.body,
            fresh=request.needs_new_connection(peer.url),
            connect_timeout_s=path_check.CONNECT_TIMEOUT_S,
            permit=permit,
            path=request.path,
        )
        try:
            return await self._read(response, request)
        except BaseException:
            response.close()
            raise

    async def _read(
        self,
        response: client_reqrep.ClientResponse,
        request: caller_request.CallerRequest,
    ) -> relaying.RelayedAnswer | relay_messages.RelayReply:
        names = self._shared.names
        own = own_answer.identify(response, names, request.request_id)
        try:
            reply = relay_messages.decode_reply(
                response.headers.get(headers.OUTCOME, '')
            )
        except relay_messages.MessageError as error:
            raise errors.BadAnswerError(error.what, error.remedy) from error
        if reply.outcome is not relay_messages.RelayOutcome.ANSWERED:
            await response.content.readany()
            response.release()
            return reply
        answer = await answers.read(
            own,
            names,
            self._shared.buffer_budget,
            request.caller_loop_deadline_s(self._shared.clock),
        )
        return relaying.RelayedAnswer(reply, answer)


class RelayHandler:
    """Answers relayed requests of other daemons.

    ``is_member`` returns whether a daemon belongs to the fleet.
    """

    def __init__(
        self,
        shared: context.EntryContext,
        service: services.RelayService,
        is_member: IsMember,
    ) -> None:
        """Make the attempts by ``service``."""
        self._shared = shared
        self._service = service
        self._is_member = is_member

    async def handle(
        self, http_request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        """Return the response to a relayed request.

        A daemon that is about to exit makes no new attempts for others.
        """
        if self._shared.activity.is_draining:
            response = self._reply_response(
                http_request,
                relay_messages.reply_of(relay_messages.cut_off_error(), ()),
            )
            response.force_close()
            return response
        with self._shared.activity:
            return await self._answer(http_request)

    def bounds(self) -> model.CallerBounds:
        """Return the limits of requests that other daemons relay."""
        configuration = self._shared.services.configuration
        bounds = configuration.bounds if configuration else model.CallerBounds()
        return model.CallerBounds(
            bounds.header_bytes + _HEADER_BYTES,
            bounds.body_bytes,
            bounds.header_timeout_s,
            _IDLE_TIMEOUT_S,
        )

    async def _answer(
        self, http_request: web_request.BaseRequest
    ) -> web_response.StreamResponse:
        try:
            attempt = self._attempt_of(http_request)
            request = await self._read(http_request, attempt)
        except core_errors.SardinepierError as error:
            return self._reply_response(
                http_request, relay_messages.reply_of(error, ())
            )
        body_bytes = len(request.body)
        with contextlib.closing(request):
            replied = await self._service.attempt(request, attempt)
        if isinstance(replied, relay_messages.RelayReply):
            return self._reply_response(http_request, replied)
        self._shared.activity.forwarded_bytes += (
            body_bytes + replied.answer.length_bytes
        )
        response = responses.from_target(replied.answer)
        response.headers[headers.OUTCOME] = relay_messages.encode(replied.reply)
        return response

    def _reply_response(
        self,
        http_request: web_request.BaseRequest,
        reply: relay_messages.RelayReply,
    ) -> web_response.Response:
        names = self._shared.names
        return web_response.Response(
            status=http.HTTPStatus.BAD_GATEWAY,
            headers={
                headers.OUTCOME: relay_messages.encode(reply),
                names.attempt_id: http_request.headers.get(
                    names.attempt_id, ''
                ),
            },
        )

    def _attempt_of(
        self, http_request: web_request.BaseRequest
    ) -> relay_messages.RelayedAttempt:
        attempt = relay_messages.decode_attempt(
            http_request.headers.get(headers.RELAYED, '')
        )
        if not self._is_member(attempt.sender):
            raise relay_messages.CutOffError(
                f'{attempt.sender} is no known daemon',
                'Let a daemon that knows this one make the attempt',
            )
        return attempt

    async def _read(
        self,
        http_request: web_request.BaseRequest,
        attempt: relay_messages.RelayedAttempt,
    ) -> caller_request.CallerRequest:
        now_s = self._shared.clock.monotonic_s()
        caller_deadline_s = now_s + attempt.caller_left_ms / _MS_PER_S
        content = request_body.EMPTY
        reservation = self._shared.body_budget.reservation(
            http_request.content_length
        )
        if http_request.body_exists:
            content = await body_memory.read(
                http_request,
                self.bounds().body_bytes,
                self._shared.clock,
                caller_deadline_s,
                reservation,
            )
        request = _request_of(
            http_request, attempt, content, self._shared, now_s
        )
        request.reservation = reservation
        return request


def _request_of(
    http_request: web_request.BaseRequest,
    attempt: relay_messages.RelayedAttempt,
    content: request_body.RequestBody,
    shared: context.EntryContext,
    now_s: float,
) -> caller_request.CallerRequest:
    """Return a request with the times of its first daemon."""
    names = shared.names
    return caller_request.CallerRequest(
        request_id=http_request.headers.get(names.attempt_id, ''),
        method=http_request.method,
        path=http_request.raw_path,
        headers=[
            pair
            for pair in headers.for_target(http_request.headers)
            if pair[0].lower() != names.attempt_id.lower()
        ],
        body=content,
        route=attempt.route,
        service=attempt.service,
        arrived_s=now_s - attempt.elapsed_ms / _MS_PER_S,
        caller_deadline_s=now_s + attempt.caller_left_ms / _MS_PER_S,
        deadline_s=now_s + attempt.left_ms / _MS_PER_S,
        fingerprint=request_reader.fingerprint(http_request, content),
        priority=attempt.priority,
    )
