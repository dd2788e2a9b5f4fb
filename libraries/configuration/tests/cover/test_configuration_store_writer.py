"""Tests that one text at a time is parsed, in a thread, and the newest wins."""

import asyncio
import threading

import pytest

from sardinepier.configuration import files, store
from sardinepier.configuration.internal import file_parsing, store_writer
from sardinepier.core import ids

_NAME = ids.FileName('service/search')
_LIMIT_S = 10


class _ParseGate:
    """Blocks the parsing of texts until it is opened, and counts the texts."""

    def __init__(self, monkeypatch):
        self.events = []
        self.store = store.Store()
        self.writer = store_writer.StoreWriter(self.store, self.events.append)
        self.started = threading.Event()
        self.opened = threading.Event()
        self.parse_count = 0
        self.running = 0
        self.max_running = 0
        self._parse = file_parsing.parse
        monkeypatch.setattr(file_parsing, 'parse', self._wait_and_parse)

    def offer(self, revision, text):
        version = files.FileVersion(ids.Revision(revision), text)
        return asyncio.create_task(self.writer.offer(_NAME, version, 'peer'))

    async def wait_until_parsing(self):
        async with asyncio.timeout(_LIMIT_S):
            while not self.started.is_set():
                await asyncio.sleep(0.001)

    def _wait_and_parse(self, name, text):
        self.parse_count += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.started.set()
        # On the thread of the event loop this would never return.
        assert self.opened.wait(_LIMIT_S)
        self.running -= 1
        return self._parse(name, text)


@pytest.fixture
def gate(monkeypatch):
    """Return a writer whose parsing waits until the test opens the gate."""
    return _ParseGate(monkeypatch)


async def test_loop_is_not_blocked_while_each_text_is_parsed_once(
    gate, support
):
    text = support.service_text('search')
    tasks = [gate.offer(revision, text) for revision in (2, 2, 3, 1)]
    await gate.wait_until_parsing()
    assert gate.store.find(_NAME) == files.KnownFile()
    gate.opened.set()
    results = [await task for task in tasks]
    assert [offer.value for offer in results] == [
        'accepted',
        'stale',
        'accepted',
        'stale',
    ]
    assert (gate.parse_count, gate.max_running) == (2, 1)
    kinds = [type(event).__name__ for event in gate.events]
    assert kinds == ['FileAccepted', 'FileAccepted', 'FileStale']


@pytest.mark.parametrize('is_valid', [True, False])
async def test_version_that_became_stale_while_parsed_is_not_applied(
    gate, support, is_valid
):
    text = support.service_text('search') if is_valid else '<rubbish>'
    late = gate.offer(3, text)
    await gate.wait_until_parsing()
    gate.store.offer_deleted(_NAME, ids.Revision(5))
    gate.opened.set()
    assert await late is files.OfferResult.STALE
    known = gate.store.find(_NAME)
    assert (known.newest_revision, known.is_deleted) == (5, True)
