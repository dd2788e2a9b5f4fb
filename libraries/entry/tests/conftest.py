"""Fixtures: daemons' request paths, whose targets the test starts."""

import contextlib

import entry_support as support
import pytest


@pytest.fixture
async def entry():
    async with support.running_entry() as running:
        yield running


@pytest.fixture
async def fleet():
    """Return two daemons that relay to each other."""
    async with contextlib.AsyncExitStack() as stack:
        peers = support.Peers()
        yield [
            await stack.enter_async_context(support.running_entry(peers))
            for _ in range(2)
        ]
