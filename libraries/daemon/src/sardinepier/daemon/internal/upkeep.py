"""Regular work of the request path: judging targets, dropping records."""

import asyncio
from typing import Final

from sardinepier.daemon.internal import groups
from sardinepier.gateway import context as contexts

_TICK_S: Final = 0.1
_EXPIRY_INTERVAL_S: Final = 5.0


async def judge_targets(
    context: contexts.GatewayContext,
    exchange: groups.GroupExchange,
) -> None:
    """Judge the targets of all services and tell the groups, until cancelled.

    One loop does both: a report that follows the judgement at once is as
    fresh as it can be, and each further timer of an idle daemon would cost
    it a part of what control may take of a core.
    """
    while True:
        context.services.tick()
        exchange.tick()
        await asyncio.sleep(_TICK_S)


async def expire_records(context: contexts.GatewayContext) -> None:
    """Drop the records whose tickets have run out, until cancelled."""
    while True:
        context.ledger.expire()
        await asyncio.sleep(_EXPIRY_INTERVAL_S)
