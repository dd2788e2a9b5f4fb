"""When the targets of a service accept requests, by their statements."""

import math
import random
from collections.abc import Collection, Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record, target_table
from sardinepier.gateway import target_statements
from sardinepier.routing import wait_queue

_RETRY_AFTER_S: Final = 0.2
"""By then slots have come free, or the list of targets may have changed."""


def next_accepting_s(
    table: target_table.TargetTable,
    tried: Collection[ids.TargetId],
    now_s: float,
) -> float:
    """Return when the first target that is not in ``tried`` accepts a request.

    It is infinite when none ever will, as far as this daemon knows.
    """
    accepts_from_s = math.inf
    for record in table.records():
        if record.listed.target_id not in tried:
            accepts_from_s = min(
                accepts_from_s, record.statements.accepts_from_s(now_s)
            )
            if accepts_from_s <= now_s:
                # Usually the first target: few targets state anything.
                return now_s
    return accepts_from_s


def forecast(
    table: target_table.TargetTable,
    now_s: float,
) -> wait_queue.CapacityForecast:
    """Return when the targets accept requests again, and how many."""
    if next_accepting_s(table, (), now_s) <= now_s or not table.records():
        return wait_queue.AVAILABLE_NOW
    # None accepts a request, so that each has stated something.
    return target_statements.forecast(
        (record.statements for record in table.with_statements()),
        now_s,
    )


def retry_after_s(
    records: Iterable[target_record.TargetRecord],
    now_s: float,
    random_source: random.Random,
) -> float:
    """Return after how many seconds a caller should try any daemon again."""
    return target_statements.retry_after_s(
        (record.statements.wait_s(now_s) for record in records),
        _RETRY_AFTER_S,
        random_source,
    )
