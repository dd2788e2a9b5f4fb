"""Fixtures: daemons' request paths, whose targets the test starts."""

import entry_support as support
import pytest


@pytest.fixture
async def entry():
    async with support.running_entry() as running:
        yield running


@pytest.fixture
async def fleet():
    """Return two daemons that relay to each other."""
    async with support.running_fleet(2) as daemons:
        yield daemons


@pytest.fixture
async def large_fleet():
    """Return eight daemons that relay to each other."""
    async with support.running_fleet(8) as daemons:
        yield daemons
