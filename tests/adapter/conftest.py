"""The store's stand-in and a client of it."""

import pytest
import store_standin
from sardinepier_adapter import store


@pytest.fixture
async def standin():
    made = store_standin.StoreStandin()
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def client(standin):
    made = store.StoreClient(standin.address)
    yield made
    await made.close()
