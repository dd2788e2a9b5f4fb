"""The targets of one service that may get requests, by their ids."""

import random
from collections.abc import Collection, Iterable
from typing import Final

import yarl

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, stated_load, target_record
from sardinepier.gateway import errors, statements
from sardinepier.health import failure_estimate

_MAX_DEPARTED: Final = 4096
"""Incarnations remembered that announced their leaving: more than a service
replaces within the greatest age of a list of targets."""


class TargetTable:
    """Keeps the record of each target while it is listed.

    A target that announced its leaving is not used again, even if it is in a
    list that is older or was kept while the platform is unavailable. Its next
    incarnation has another id.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
        options: failure_estimate.EstimateOptions,
    ) -> None:
        """Start without targets."""
        self.load_meaning = stated_load.LoadMeaning()
        self._clock = clock
        self._random = random_source
        self._options = options
        self._records: dict[ids.TargetId, target_record.TargetRecord] = {}
        self._with_statements: dict[
            ids.TargetId, target_record.TargetRecord
        ] = {}
        self._used: set[target_record.TargetRecord] = set()
        self._departed: dict[ids.TargetId, target_record.TargetRecord] = {}

    def set(self, listed: Iterable[model.ListedTarget]) -> None:
        """Replace the targets; those that stay keep their records.

        Draining targets are left out: they get no new requests. Targets of
        the first list count as used, so that not all of them are explored.
        """
        now_s = self._clock.monotonic_s()
        is_first = not self._records
        current: dict[ids.TargetId, target_record.TargetRecord] = {}
        for target in listed:
            is_ready = target.state is model.TargetState.READY
            if is_ready and target.target_id not in self._departed:
                record = self._record(target, now_s)
                record.warm_from_s = now_s + target.warm_in_s
                record.was_used |= is_first
                current[target.target_id] = record
        self._records = current
        self.in_use()
        for target_id in self._with_statements.keys() - current.keys():
            del self._with_statements[target_id]

    def find(
        self,
        target_id: ids.TargetId,
    ) -> target_record.TargetRecord | None:
        """Return the record of a target, None if it is not in use."""
        return self._records.get(target_id)

    def require_accepting(self, record: target_record.TargetRecord) -> None:
        """Raise unless this incarnation still accepts a request.

        Raises ``TargetLeftError`` when it is not in use any more and
        ``TargetRestsError`` while it is backing off.
        """
        if self._records.get(record.listed.target_id) is not record:
            raise errors.TargetLeftError(
                f'The target {record.listed.target_id} has just left',
                'Send the request to another target',
            )
        if record.statements.is_backing_off(self._clock.monotonic_s()):
            raise errors.TargetRestsError(
                f'The target {record.listed.target_id} asked for a backoff',
                'Send the request to another target',
            )

    def records(self) -> Collection[target_record.TargetRecord]:
        """Return all targets in use."""
        return self._records.values()

    def mark_used(self, record: target_record.TargetRecord) -> None:
        """Record that a request reserves a slot of the target."""
        self._used.add(record)

    def in_use(self) -> Collection[target_record.TargetRecord]:
        """Return the targets at which this daemon has requests in flight.

        The others are forgotten.
        """
        self._used = {record for record in self._used if record.own_in_flight()}
        return self._used

    def apply_statement(
        self,
        record: target_record.TargetRecord,
        statement: statements.Statement,
        received_s: float,
        source: target_record.ObservationSource,
    ) -> bool:
        """Apply a statement that ``source`` received; return if it is new."""
        is_new = record.statements.apply(statement, received_s)
        record.statements_source = source
        if statement != statements.EMPTY:
            self._with_statements[record.listed.target_id] = record
        if statement.is_leaving:
            self._leave(record)
        return is_new

    def with_statements(self) -> Iterable[target_record.TargetRecord]:
        """Return the targets in use that ever stated anything."""
        return self._with_statements.values()

    def not_accepting(self) -> Collection[target_record.TargetRecord]:
        """Return the targets in use that accept no request from here now."""
        now_s = self._clock.monotonic_s()
        return {
            record
            for record in self._with_statements.values()
            if record.statements.accepts_from_s(now_s) > now_s
        }

    def departed(self) -> Collection[target_record.TargetRecord]:
        """Return the targets that announced their leaving, oldest first."""
        return self._departed.values()

    def remove(self, target_id: ids.TargetId) -> None:
        """Stop using a target that is leaving or gone."""
        self._records.pop(target_id, None)
        self._with_statements.pop(target_id, None)

    def _leave(self, record: target_record.TargetRecord) -> None:
        """Stop using a target for good, as it announced its leaving."""
        target_id = record.listed.target_id
        self._departed.setdefault(target_id, record)
        if len(self._departed) > _MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))
        self.remove(target_id)

    def _record(
        self,
        listed: model.ListedTarget,
        now_s: float,
    ) -> target_record.TargetRecord:
        record = self._records.get(listed.target_id)
        if record is not None and _is_at_same_address(record.listed, listed):
            record.listed = listed
            return record
        return target_record.TargetRecord(
            listed,
            failure_estimate.FailureEstimate(self._options, now_s),
            yarl.URL.build(scheme='http', host=listed.ip, port=listed.port),
            known_since_s=now_s,
            preference_offset=self._random.random(),
            stated_load=stated_load.StatedLoad(self.load_meaning),
        )


def _is_at_same_address(
    known: model.ListedTarget, listed: model.ListedTarget
) -> bool:
    return (known.ip, known.port) == (listed.ip, listed.port)
