"""A daemon's request path, before the targets that a test starts."""

import random

import entry_support as support
import pytest

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    caller_server,
    context,
    decision_log,
    buffer_budget,
    request_metrics,
    pipeline,
    service_registry,
)
from sardinepier.gateway import client as clients
from sardinepier.gateway import active_requests
from sardinepier.health import failure_estimate
from sardinepier.once import quarantine


@pytest.fixture
async def entry():
    clock = clocks.SystemClock()
    held = service_registry.ServiceRegistry(
        support.ZONE,
        clock,
        random.Random(7),
        50.0,
        failure_estimate.EstimateOptions(),
    )
    shared = context.EntryContext(
        clock=clock,
        names=support.NAMES,
        client=clients.TargetClient(),
        services=held,
        quarantine=quarantine.Quarantine(clock),
        activity=active_requests.ActiveRequests(),
        decision_log=decision_log.DecisionLog(held, clock),
        metrics=request_metrics.RequestMetrics(),
        buffer_budget=buffer_budget.BufferBudget(),
    )
    shared.services.set_retry_burst(10)
    shared.services.offer_configuration(support.configuration())
    answering = pipeline.Pipeline(shared)
    server = caller_server.HttpServer(
        answering.handle,
        lambda: shared.services.configuration.bounds,
        answering.start_pipelined,
    )
    port = await server.start(support.LOOPBACK, 0)
    made = support.Entry(shared, server, port)
    yield made
    await server.close(0.1)
    await shared.client.close()
    for target in made.targets:
        target.server.close()
