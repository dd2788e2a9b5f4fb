"""The objects that the parts of one daemon's request path share."""

import dataclasses

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    decision_log,
    header_names,
    open_exchanges,
    request_metrics,
    service_registry,
)
from sardinepier.gateway import active_requests, client
from sardinepier.gateway import body_budget as body_budgets
from sardinepier.gateway import buffer_budget as buffer_budgets
from sardinepier.once import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """The shared objects of the request path.

    ``services`` holds the configuration in force and the targets in use,
    ``activity`` the number of requests in flight. ``decision_log`` writes the
    log lines and ``metrics`` counts requests and attempts. ``buffer_budget``
    bounds the memory for buffered answers, ``body_budget`` that for the bodies
    of requests. ``exchanges`` are those with
    targets that are open.
    """

    clock: clocks.Clock
    names: header_names.HeaderNames
    client: client.TargetClient
    services: service_registry.ServiceRegistry
    quarantine: quarantine.Quarantine
    activity: active_requests.ActiveRequests
    decision_log: decision_log.DecisionLog
    metrics: request_metrics.RequestMetrics
    buffer_budget: buffer_budgets.BufferBudget
    body_budget: body_budgets.BodyBudget = dataclasses.field(
        default_factory=body_budgets.BodyBudget,
    )
    exchanges: open_exchanges.OpenExchanges = dataclasses.field(
        default_factory=open_exchanges.OpenExchanges,
    )
