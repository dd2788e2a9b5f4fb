"""Relays a request to the home daemon of its key, over one hop at most.

Any failure of the relay yields the outcome ``unknown``: even if nothing was
sent now, an earlier send of the same key may have run.
"""

import asyncio
from typing import Final

import yarl
from aiohttp import client_reqrep, web_request, web_response

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    answer_reader,
    caller_request,
    delivery,
    errors,
    headers,
    snapshots,
)
from sardinepier.membership import members

_CONNECT_TIMEOUT_S: Final = 1.0


class Relaying:
    """Relays requests to the home daemons of their keys."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context

    async def relay(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        home: ids.InstanceId,
    ) -> web_response.StreamResponse:
        """Return the home's answer; raise ``HomeUnreachableError``."""
        member = self._find(home)
        left_s = request.deadline_s - self._context.clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                response = await self._open(http_request, request, member)
                outcome = _outcome(response)
                answer = await answer_reader.read(
                    response, request, self._context.buffer_budget, _ignore
                )
        except (errors.GatewayError, TimeoutError) as error:
            raise _unreachable(home, 'did not answer') from error
        if answer.remainder is None:
            return delivery.whole_response(answer, outcome)
        stream = delivery.Stream(
            self._context,
            http_request,
            answer,
            request.deadline_s,
            outcome,
        )
        await stream.send(answer.remainder)
        return stream.response

    def _find(self, home: ids.InstanceId) -> members.Member:
        member = self._context.view.find(home)
        if member is None or home == self._context.own:
            raise _unreachable(home, 'is not known here')
        if member.state is members.MemberState.DEAD:
            raise _unreachable(home, 'is gone')
        return member

    async def _open(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        member: members.Member,
    ) -> client_reqrep.ClientResponse:
        origin = snapshots.origin(member.http_ip, member.http_port)
        pairs = request.target_headers(self._context.clock)
        return await self._context.client.open(
            request.method,
            yarl.URL(origin, encoded=True),
            [*pairs, (headers.RELAYED, self._context.own)],
            request.body,
            fresh=False,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            permit=self._context.wake_guard.require,
            path=http_request.raw_path,
        )


def _outcome(response: client_reqrep.ClientResponse) -> str:
    outcome = response.headers.get(headers.OUTCOME)
    if outcome is None:
        response.close()
        raise errors.BadAnswerError(
            'The process at the address of the home is not a daemon',
            'Check the addresses of the daemons',
        )
    return outcome


def _unreachable(
    home: ids.InstanceId,
    problem: str,
) -> errors.HomeUnreachableError:
    return errors.HomeUnreachableError(
        f'{home}, the home of the key, {problem}',
        'Send the same request with the same key to the address that came '
        'with the ticket, or check by other means whether it ran',
    )


def _ignore(error: BaseException | None) -> None:
    """Do nothing: the home itself records the outcome for its target."""
