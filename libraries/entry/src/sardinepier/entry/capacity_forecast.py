"""When the targets of a service want requests, by what they asked for."""

import math
import random
from collections.abc import Collection, Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record, target_table
from sardinepier.gateway import target_statements
from sardinepier.routing import wait_queue

_RETRY_AFTER_S: Final = 0.2
"""After which slots came free, or a list of targets may have changed."""


def next_accepting_s(
    table: target_table.TargetTable,
    tried: Collection[ids.TargetId],
    now_s: float,
) -> float:
    """Return from when on a target beside ``tried`` wants a request.

    It is infinite when none ever will, as far as this daemon knows.
    """
    opens_at_s = math.inf
    for record in table.records():
        if record.listed.target_id not in tried:
            opens_at_s = min(opens_at_s, record.statements.opens_at_s(now_s))
            if opens_at_s <= now_s:
                # Mostly the first one: few targets ask for anything.
                return now_s
    return opens_at_s


def forecast(
    table: target_table.TargetTable,
    now_s: float,
) -> wait_queue.CapacityForecast:
    """Return when the targets want requests again, and how many."""
    if next_accepting_s(table, (), now_s) <= now_s or not table.records():
        return wait_queue.AVAILABLE_NOW
    # Whoever is closed asked for something.
    return target_statements.forecast(
        (record.statements for record in table.with_statements()),
        now_s,
    )


def retry_after_s(
    records: Iterable[target_record.TargetRecord],
    now_s: float,
    random_source: random.Random,
) -> float:
    """Return when a new try makes sense, at this daemon or another one."""
    return target_statements.retry_after_s(
        (record.statements.wait_s(now_s) for record in records),
        _RETRY_AFTER_S,
        random_source,
    )
