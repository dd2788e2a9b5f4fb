"""Fixtures: a daemon's request path, whose targets the test starts."""

import random

import entry_support as support
import pytest

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    buffer_budget,
    caller_server,
    context,
    decision_log,
    pipeline,
    request_metrics,
    service_registry,
)
from sardinepier.gateway import active_requests
from sardinepier.gateway import client as clients
from sardinepier.health import failure_estimate
from sardinepier.once import quarantine


@pytest.fixture
async def entry():
    clock = clocks.SystemClock()
    registry = service_registry.ServiceRegistry(
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
        services=registry,
        quarantine=quarantine.Quarantine(clock),
        activity=active_requests.ActiveRequests(),
        decision_log=decision_log.DecisionLog(registry, clock),
        metrics=request_metrics.RequestMetrics(),
        buffer_budget=buffer_budget.BufferBudget(),
    )
    shared.services.set_retry_burst(10)
    shared.services.offer_configuration(support.configuration())
    request_pipeline = pipeline.Pipeline(shared)
    server = caller_server.HttpServer(
        request_pipeline.handle,
        lambda: shared.services.configuration.bounds,
        request_pipeline.start_pipelined,
    )
    port = await server.start(support.LOOPBACK, 0)
    running_entry = support.Entry(shared, server, port)
    yield running_entry
    await server.close(0.1)
    await shared.client.close()
    for target in running_entry.targets:
        target.server.close()
