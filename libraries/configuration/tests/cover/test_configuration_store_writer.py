"""Texts are read beside the loop, one at a time, and the highest wins."""

import asyncio
import threading

import pytest

from sardinepier.configuration import files, store
from sardinepier.configuration.internal import file_parsing, store_writer
from sardinepier.core import ids

_NAME = ids.FileName('service/search')
_LIMIT_S = 10


class _Gate:
    """Reads texts only while it is open, and counts what it reads."""

    def __init__(self, monkeypatch):
        self.events = []
        self.store = store.Store()
        self.intake = store_writer.StoreWriter(self.store, self.events.append)
        self.began = threading.Event()
        self.opened = threading.Event()
        self.reads = 0
        self.at_once = 0
        self.most_at_once = 0
        self._read = file_parsing.parse
        monkeypatch.setattr(file_parsing, 'parse', self._wait_and_read)

    def offer(self, revision, text):
        version = files.FileVersion(ids.Revision(revision), text)
        return asyncio.create_task(self.intake.offer(_NAME, version, 'peer'))

    async def until_reading(self):
        async with asyncio.timeout(_LIMIT_S):
            while not self.began.is_set():
                await asyncio.sleep(0.001)

    def _wait_and_read(self, name, text):
        self.reads += 1
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        self.began.set()
        # On the loop's own thread nobody could open it.
        assert self.opened.wait(_LIMIT_S)
        self.at_once -= 1
        return self._read(name, text)


@pytest.fixture
def gate(monkeypatch):
    """Return an intake whose readings wait until the test goes on."""
    return _Gate(monkeypatch)


async def test_loop_runs_on_while_texts_are_read_each_once(gate, world):
    text = world.service_text('search')
    tasks = [gate.offer(revision, text) for revision in (2, 2, 3, 1)]
    await gate.until_reading()
    assert gate.store.find(_NAME) == files.KnownFile()
    gate.opened.set()
    results = [await task for task in tasks]
    assert [one.value for one in results] == [
        'accepted',
        'stale',
        'accepted',
        'stale',
    ]
    assert (gate.reads, gate.most_at_once) == (2, 1)
    kinds = [type(event).__name__ for event in gate.events]
    assert kinds == ['FileAccepted', 'FileAccepted', 'FileStale']


@pytest.mark.parametrize('is_valid', [True, False])
async def test_what_became_old_while_it_was_read_is_not_taken(
    gate, world, is_valid
):
    text = world.service_text('search') if is_valid else '<rubbish>'
    late = gate.offer(3, text)
    await gate.until_reading()
    gate.store.offer_deleted(_NAME, ids.Revision(5))
    gate.opened.set()
    assert await late is files.OfferResult.STALE
    known = gate.store.find(_NAME)
    assert (known.newest_revision, known.is_deleted) == (5, True)
