"""Fetches versions from peers, each from one peer at a time."""

import dataclasses
import math
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import messages, options, store
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.wire import messages as wire_messages

_MAX_SOURCES: Final = 3
_MAX_ATTEMPTS: Final = 4
_MAX_WAITING: Final = 2 * store.MAX_FILES
_MAX_SKIPPED: Final = 1024
_SKIP_S: Final = 60.0
_PeerAddress = wire_messages.PeerAddress


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    """A version that a peer has; ``is_valid`` if it is in force there."""

    name: ids.FileName
    revision: ids.Revision
    is_valid: bool


@dataclasses.dataclass(slots=True)
class _Pull:
    """The peers that have a version; the next one to try comes first."""

    sources: list[_PeerAddress]
    attempts: int = 0
    deadline_s: float = 0.0


class Pulls:
    """Fetches each needed version from one peer at a time.

    Many peers may announce the same version: the first is sent a request,
    the next ones are alternatives in case it does not answer.
    """

    def __init__(
        self,
        send: Callable[[_PeerAddress, messages.FileRequest], bool],
        file_store: store.Store,
        clock: clocks.Clock,
        limits: options.DistributorOptions,
    ) -> None:
        """Send requests by ``send``; ``file_store`` decides what is needed."""
        self._send = send
        self._store = file_store
        self._clock = clock
        self._limits = limits
        self._waiting: dict[_Version, _Pull] = {}
        self._in_flight: dict[_Version, _Pull] = {}
        self._skipped_until_s: dict[_Version, float] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether no version is waiting or in flight."""
        return not (self._waiting or self._in_flight)

    def request(
        self, entry: messages.KnownRevision, peer: _PeerAddress
    ) -> bool:
        """Fetch from ``peer`` the versions of ``entry`` missing in the store.

        Returns whether there are any.
        """
        missing = self._missing_versions(entry)
        for version in missing:
            self._add_source(version, peer)
        self._send_waiting()
        return bool(missing)

    def record_offered(
        self, name: ids.FileName, revision: ids.Revision
    ) -> None:
        """Record that a received version was offered to the store.

        An answer newer than the requested version also completes the request.
        A rejected version never completes the request for a valid one, even
        if its revision is higher.
        """
        for version in tuple(self._in_flight):
            if version.name != name:
                continue
            if version.revision == revision:
                self._skip_if_still_needed(version)
            if self._is_needed(version):
                self._in_flight[version].deadline_s = self._new_deadline_s()
            else:
                self._in_flight.pop(version)
        self._send_waiting()

    def mark_received(self, name: ids.FileName) -> None:
        """Record that an answer for ``name`` came and waits for parsing.

        Until ``record_offered`` follows, no other peer is sent a request.
        """
        for version, pull in self._in_flight.items():
            if version.name == name:
                pull.deadline_s = math.inf

    def deadlines_s(self) -> tuple[float, ...]:
        """Return the deadlines of the requests without an answer."""
        return tuple(
            pull.deadline_s
            for pull in self._in_flight.values()
            if pull.deadline_s < math.inf
        )

    def expire(self) -> None:
        """Retry requests without an answer, at the next peer if there is one.

        After a few attempts the version is dropped. A later comparison finds
        it again, because the marks of its holders still differ.
        """
        now_s = self._clock.monotonic_s()
        for version, pull in tuple(self._in_flight.items()):
            if pull.deadline_s > now_s:
                continue
            self._in_flight.pop(version)
            if pull.attempts < _MAX_ATTEMPTS:
                pull.sources.append(pull.sources.pop(0))
                self._waiting[version] = pull
        self._send_waiting()

    def _skip_if_still_needed(self, version: _Version) -> None:
        """Skip a received version for a while if it is still needed.

        It is in force at a peer but invalid here: the peer runs a release
        with another parser, or another peer sent a garbled text first.
        """
        if not self._is_needed(version):
            return
        if len(self._skipped_until_s) >= _MAX_SKIPPED:
            self._skipped_until_s.clear()
        until_s = self._clock.monotonic_s() + _SKIP_S
        self._skipped_until_s[version] = until_s

    def _missing_versions(
        self, entry: messages.KnownRevision
    ) -> tuple[_Version, ...]:
        if not self._store.can_store(entry.name):
            return ()
        offered = [_Version(entry.name, entry.in_force, is_valid=True)]
        if entry.newest > entry.in_force:
            rejected = _Version(entry.name, entry.newest, is_valid=False)
            offered.append(rejected)
        return tuple(version for version in offered if self._is_needed(version))

    def _add_source(self, version: _Version, peer: _PeerAddress) -> None:
        pull = self._in_flight.get(version) or self._waiting.get(version)
        if pull is None:
            if len(self._waiting) < _MAX_WAITING:
                self._waiting[version] = _Pull([peer])
        elif peer not in pull.sources and len(pull.sources) < _MAX_SOURCES:
            pull.sources.append(peer)

    def _send_waiting(self) -> None:
        while self._waiting:
            if len(self._in_flight) >= self._limits.pulls_in_flight:
                return
            version = next(iter(self._waiting))
            pull = self._waiting.pop(version)
            if self._is_needed(version):
                self._send_request(version, pull)

    def _is_needed(self, version: _Version) -> bool:
        if self._clock.monotonic_s() < self._skipped_until_s.get(version, 0):
            return False
        known = self._store.find(version.name)
        if version.is_valid:
            return version.revision > known.in_force_revision
        return version.revision > known.newest_revision

    def _send_request(self, version: _Version, pull: _Pull) -> None:
        pull.attempts += 1
        pull.deadline_s = self._new_deadline_s()
        self._in_flight[version] = pull
        request = messages.FileRequest(version.name, version.revision)
        self._send(pull.sources[0], request)

    def _new_deadline_s(self) -> float:
        return self._clock.monotonic_s() + self._limits.answer_timeout_s
