"""The client of one emulated daemon: the wire is a delay."""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, Final

import multidict
import yarl

from sardinepier.core import ids
from sardinepier.entry import dialect
from sardinepier.gateway import errors
from sardinepier.workbench.policy import scenario, targets

WORK_HEADER: Final = 'X-Emulated-Work'
"""Carries the seconds that the request takes, drawn by its caller, so that
all variants meet the same work."""

_NAMES: Final = dialect.HeaderNames()
_BODY: Final = b'an answer'


@dataclasses.dataclass(slots=True)
class _Content:
    """The body of an answer, which comes in one piece."""

    left: bytes = _BODY

    async def readany(self) -> bytes:
        """Return what has come, nothing at its end."""
        piece = self.left
        self.left = b''
        return piece


@dataclasses.dataclass(slots=True)
class Response:
    """As much of an answer as the request path asks for."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    reason: str = ''
    content: _Content = dataclasses.field(default_factory=_Content)

    def close(self) -> None:
        """Do nothing: there is no connection."""


class EmulatedClient:
    """Reaches emulated targets from one zone."""

    def __init__(
        self,
        setup: scenario.Scenario,
        zone: ids.ZoneName,
        found: Sequence[targets.Target],
    ) -> None:
        """Reach the targets that were ``found``."""
        self._setup = setup
        self._zone = zone
        self._by_ip = {target.listed.ip: target for target in found}

    async def close(self) -> None:
        """Do nothing: there is no connection."""

    async def open(
        self,
        method: str,
        url: yarl.URL,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        permit: Callable[[], None],
        **options: Any,
    ) -> Response:
        """Send a request; ``options`` of real connections have no effect."""
        target = self._by_ip[url.host or '']
        delay_s = self._setup.cross_zone_s
        if target.listed.zone == self._zone:
            delay_s = self._setup.in_zone_s
        permit()
        await asyncio.sleep(delay_s)
        work_s = float(dict(headers)[WORK_HEADER])
        try:
            reply = await target.serve(work_s)
        except targets.ResetError as error:
            await asyncio.sleep(delay_s)
            raise errors.ConnectionLostError(
                'The target ended the connection without an answer',
                'Find out whether the request ran before sending it anew',
            ) from error
        await asyncio.sleep(delay_s)
        return Response(reply.status, _headers(reply))


def _headers(reply: targets.Reply) -> multidict.CIMultiDictProxy[str]:
    found = multidict.CIMultiDict(
        {_NAMES.signature: 'emulated', _NAMES.load: reply.load},
    )
    if not reply.has_run:
        found[_NAMES.not_run] = '1'
    return multidict.CIMultiDictProxy(found)
