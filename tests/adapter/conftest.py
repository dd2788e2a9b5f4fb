"""Fixtures: a stand-in for the platform's store and a client of it."""

import pytest
import store_standin
from sardinepier_adapter import store


@pytest.fixture
async def standin():
    store_server = store_standin.StoreStandin()
    await store_server.start()
    yield store_server
    await store_server.stop()


@pytest.fixture
async def client(standin):
    store_client = store.StoreClient(standin.address)
    yield store_client
    await store_client.close()
