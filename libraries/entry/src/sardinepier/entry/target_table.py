"""The targets of one service that may get work, by their names."""

import random
from collections.abc import Collection, Iterable
from typing import Final

import yarl

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, target_record
from sardinepier.gateway import errors, statements
from sardinepier.health import failure_estimate


_MOST_LEFT: Final = 4096
"""Starts of targets remembered that said they leave: more than a service replaces
within the time that any list of targets may be old."""


class TargetTable:
    """Keeps what is known of each target while it is listed.

    A target that said that it leaves is out of use for good, whatever a list says
    that is older or was kept while the platform is away. Another start of it has
    another name here.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        random_source: random.Random,
        options: failure_estimate.EstimateOptions,
    ) -> None:
        """Start without targets."""
        self._clock = clock
        self._random = random_source
        self._options = options
        self._records: dict[ids.TargetId, target_record.TargetRecord] = {}
        self._asking: dict[ids.TargetId, target_record.TargetRecord] = {}
        self._left: dict[ids.TargetId, target_record.TargetRecord] = {}

    def set(self, listed: Iterable[model.ListedTarget]) -> None:
        """Replace the targets; those that stay keep what is known of them.

        Targets that drain are left out: they get nothing new. Of the first
        list none has to be tried just because it is new.
        """
        now_s = self._clock.monotonic_s()
        is_first = not self._records
        kept: dict[ids.TargetId, target_record.TargetRecord] = {}
        for one in listed:
            is_ready = one.state is model.TargetState.READY
            if is_ready and one.target_id not in self._left:
                record = self._record(one, now_s)
                record.warm_from_s = now_s + one.warm_in_s
                record.was_used |= is_first
                kept[one.target_id] = record
        self._records = kept
        for gone in self._asking.keys() - kept.keys():
            del self._asking[gone]

    def find(
        self,
        target_id: ids.TargetId,
    ) -> target_record.TargetRecord | None:
        """Return what is known of a target that is in use."""
        return self._records.get(target_id)

    def require_accepting(self, record: target_record.TargetRecord) -> None:
        """Raise unless this start still wants a request.

        Raises ``TargetLeftError`` when it is out of use and
        ``TargetRestsError`` when it asked for rest.
        """
        if self._records.get(record.listed.target_id) is not record:
            raise errors.TargetLeftError(
                f'The target {record.listed.target_id} has just left',
                'Send the request to another one',
            )
        if record.statements.is_backing_off(self._clock.monotonic_s()):
            raise errors.TargetRestsError(
                f'The target {record.listed.target_id} asked for rest',
                'Send the request to another one',
            )

    def records(self) -> Collection[target_record.TargetRecord]:
        """Return all targets in use."""
        return self._records.values()

    def apply_statement(
        self,
        record: target_record.TargetRecord,
        statement: statements.Statement,
        received_s: float,
        source: target_record.ObservationSource,
    ) -> bool:
        """Go by what a target told ``source``; tell whether that is new."""
        is_new = record.statements.apply(statement, received_s)
        record.statements_source = source
        if statement != statements.SILENT:
            self._asking[record.listed.target_id] = record
        if statement.is_leaving:
            self._leave(record)
        return is_new

    def with_statements(self) -> Iterable[target_record.TargetRecord]:
        """Return the targets in use that ever asked for anything."""
        return self._asking.values()

    def not_accepting(self) -> Collection[target_record.TargetRecord]:
        """Return the targets in use that want no request of this daemon now."""
        now_s = self._clock.monotonic_s()
        return {
            record
            for record in self._asking.values()
            if record.statements.opens_at_s(now_s) > now_s
        }

    def departed(self) -> Collection[target_record.TargetRecord]:
        """Return the targets that said that they leave, oldest first."""
        return self._left.values()

    def remove(self, target_id: ids.TargetId) -> None:
        """Give nothing more to a target that is leaving or gone."""
        self._records.pop(target_id, None)
        self._asking.pop(target_id, None)

    def _leave(self, record: target_record.TargetRecord) -> None:
        """Give nothing more to a target that said that it leaves."""
        target_id = record.listed.target_id
        self._left.setdefault(target_id, record)
        if len(self._left) > _MOST_LEFT:
            self._left.pop(next(iter(self._left)))
        self.remove(target_id)

    def _record(
        self,
        listed: model.ListedTarget,
        now_s: float,
    ) -> target_record.TargetRecord:
        record = self._records.get(listed.target_id)
        if record is not None:
            record.listed = listed
            return record
        return target_record.TargetRecord(
            listed,
            failure_estimate.FailureEstimate(self._options, now_s),
            yarl.URL.build(scheme='http', host=listed.ip, port=listed.port),
            known_since_s=now_s,
            preference_offset=self._random.random(),
        )
