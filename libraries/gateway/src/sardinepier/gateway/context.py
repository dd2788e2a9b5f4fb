"""The collaborators of the request path, assembled once by the daemon."""

import dataclasses
import random
from collections.abc import Callable

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.gateway import (
    activity,
    client,
    refusal_counts,
    service_runtimes,
    wake_guard,
)
from sardinepier.gateway import body_budget as body_budgets
from sardinepier.gateway import buffer_budget as buffer_budgets
from sardinepier.membership import view as views
from sardinepier.once import ledger, quarantine
from sardinepier.settings import model
from sardinepier.telemetry import events, metrics


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayContext:
    """The collaborators of the request path.

    ``configuration`` returns the current configuration, or None before the
    first fleet file. ``started_at_s`` is this process's start on its own clock.
    ``services`` must be updated whenever the configuration changes.
    ``body_budget`` bounds the memory for the bodies of requests, and
    ``buffer_budget`` that for buffered answers.
    """

    own: ids.InstanceId
    zone: ids.ZoneName
    started_at_s: float
    clock: clocks.Clock
    random_source: random.Random
    configuration: Callable[[], model.Configuration | None]
    view: views.View
    ledger: ledger.Ledger
    quarantine: quarantine.Quarantine
    services: service_runtimes.ServiceRuntimes
    client: client.TargetClient
    wake_guard: wake_guard.WakeGuard
    activity: activity.Activity
    refusals: refusal_counts.RefusalCounts
    metrics: metrics.Metrics
    record_event: Callable[[events.Event], object]
    body_budget: body_budgets.BodyBudget = dataclasses.field(
        default_factory=body_budgets.BodyBudget,
    )
    buffer_budget: buffer_budgets.BufferBudget = dataclasses.field(
        default_factory=buffer_budgets.BufferBudget,
    )
