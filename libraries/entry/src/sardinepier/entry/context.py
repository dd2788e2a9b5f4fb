"""What the parts of one daemon's request path share."""

import dataclasses

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    decision_log,
    header_names,
    buffer_budget,
    request_metrics,
    service_registry,
)
from sardinepier.gateway import client, active_requests
from sardinepier.once import quarantine


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """The collaborators of the request path.

    ``services`` holds the newest configuration with the targets in use,
    ``decision_log`` writes the log lines and ``metrics`` keeps the numbers.
    ``buffer_budget`` bounds what is kept of answers.
    """

    clock: clocks.Clock
    names: header_names.HeaderNames
    client: client.TargetClient
    services: service_registry.ServiceRegistry
    quarantine: quarantine.Quarantine
    activity: active_requests.ActiveRequests
    decision_log: decision_log.DecisionLog
    metrics: request_metrics.RequestMetrics
    buffer_budget: buffer_budget.BufferBudget
