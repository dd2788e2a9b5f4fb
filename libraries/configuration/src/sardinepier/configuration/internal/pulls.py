"""Which versions are being fetched from peers, each once."""

import dataclasses
import math
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import messages, options, store
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.wire import messages as wire_messages

_MOST_SOURCES: Final = 3
_MOST_TRIES: Final = 4
_MOST_WAITING: Final = 2 * store.MAX_FILES
_MOST_USELESS: Final = 1024
_USELESS_S: Final = 60.0
_PeerAddress = wire_messages.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """What a peer holds; ``is_valid`` if it says that it is in force there."""

    name: ids.FileName
    revision: ids.Revision
    is_valid: bool


@dataclasses.dataclass(slots=True)
class _Pull:
    """The peers that have a version, the next one to ask first."""

    sources: list[_PeerAddress]
    tries: int = 0
    deadline_s: float = 0.0


class Pulls:
    """Fetches each wanted version from one peer at a time.

    Many peers may bring the same news at once: the first is asked, the next
    ones are kept in case it does not answer.
    """

    def __init__(
        self,
        send: Callable[[_PeerAddress, messages.FileRequest], bool],
        file_store: store.Store,
        clock: clocks.Clock,
        limits: options.DistributorOptions,
    ) -> None:
        """Ask by ``send``; ``file_store`` tells what is still wanted."""
        self._send = send
        self._store = file_store
        self._clock = clock
        self._limits = limits
        self._waiting: dict[_Version, _Pull] = {}
        self._in_flight: dict[_Version, _Pull] = {}
        self._useless: dict[_Version, float] = {}

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is awaited."""
        return not (self._waiting or self._in_flight)

    def want(self, entry: messages.KnownRevision, peer: _PeerAddress) -> bool:
        """Fetch from ``peer`` what ``entry`` has over the store.

        Returns whether that is anything.
        """
        missing = self._missing(entry)
        for version in missing:
            self._add_source(version, peer)
        self._start()
        return bool(missing)

    def arrived(self, name: ids.FileName, revision: ids.Revision) -> None:
        """Note an answer, once the store was offered what it brought.

        It may be newer than what was asked for, and end that question too.
        A rejected version never ends the question for a valid one, though
        its revision is higher.
        """
        for version in tuple(self._in_flight):
            if version.name != name:
                continue
            if version.revision == revision:
                self._note_useless(version)
            if self._is_wanted(version):
                self._in_flight[version].deadline_s = self._deadline_s()
            else:
                self._in_flight.pop(version)
        self._start()

    def mark_received(self, name: ids.FileName) -> None:
        """Note that an answer for ``name`` has come and is about to be read.

        Until ``arrived`` follows, nobody else is asked for the file.
        """
        for version, pull in self._in_flight.items():
            if version.name == name:
                pull.deadline_s = math.inf

    def due_s(self) -> tuple[float, ...]:
        """Return until when each answer that has not come is waited for."""
        return tuple(
            pull.deadline_s
            for pull in self._in_flight.values()
            if pull.deadline_s < math.inf
        )

    def expire(self) -> None:
        """Ask again, another peer if there is one, what was not answered.

        After a few tries the version is dropped. Nothing is lost then: the
        mark of whoever has it still differs from ours.
        """
        now_s = self._clock.monotonic_s()
        for version, pull in tuple(self._in_flight.items()):
            if pull.deadline_s > now_s:
                continue
            self._in_flight.pop(version)
            if pull.tries < _MOST_TRIES:
                pull.sources.append(pull.sources.pop(0))
                self._waiting[version] = pull
        self._start()

    def _note_useless(self, version: _Version) -> None:
        """Leave a version alone that came and is wanted all the same.

        It is in force at a peer and invalid here: the peer runs a program
        that reads files otherwise, or another peer's garbled text came first.
        """
        if not self._is_wanted(version):
            return
        if len(self._useless) >= _MOST_USELESS:
            self._useless.clear()
        until_s = self._clock.monotonic_s() + _USELESS_S
        self._useless[version] = until_s

    def _missing(self, entry: messages.KnownRevision) -> tuple[_Version, ...]:
        if not self._store.can_store(entry.name):
            return ()
        offered = [_Version(entry.name, entry.in_force, is_valid=True)]
        if entry.newest > entry.in_force:
            rejected = _Version(entry.name, entry.newest, is_valid=False)
            offered.append(rejected)
        return tuple(version for version in offered if self._is_wanted(version))

    def _add_source(self, version: _Version, peer: _PeerAddress) -> None:
        pull = self._in_flight.get(version) or self._waiting.get(version)
        if pull is None:
            if len(self._waiting) < _MOST_WAITING:
                self._waiting[version] = _Pull([peer])
        elif peer not in pull.sources and len(pull.sources) < _MOST_SOURCES:
            pull.sources.append(peer)

    def _start(self) -> None:
        while self._waiting:
            if len(self._in_flight) >= self._limits.pulls_in_flight:
                return
            version = next(iter(self._waiting))
            pull = self._waiting.pop(version)
            if self._is_wanted(version):
                self._ask(version, pull)

    def _is_wanted(self, version: _Version) -> bool:
        if self._clock.monotonic_s() < self._useless.get(version, 0):
            return False
        known = self._store.find(version.name)
        if version.is_valid:
            return version.revision > known.in_force_revision
        return version.revision > known.newest_revision

    def _ask(self, version: _Version, pull: _Pull) -> None:
        pull.tries += 1
        pull.deadline_s = self._deadline_s()
        self._in_flight[version] = pull
        request = messages.FileRequest(version.name, version.revision)
        self._send(pull.sources[0], request)

    def _deadline_s(self) -> float:
        return self._clock.monotonic_s() + self._limits.answer_timeout_s
