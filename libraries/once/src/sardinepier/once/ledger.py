"""The records of the keys that a home has granted.

Only the instance that a ticket names as its home may run the keys of that
ticket, so daemons need no agreement about them. Two rules keep a key from
running twice: its record is opened before the first byte of the request is
sent, and is not dropped before the ticket has expired on the home's clock.
"""

import dataclasses
import functools
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.once import answers, errors, records, tickets

RECORD_BYTES: Final = 900
"""Approximate memory of a record without its answer.

It covers the key, the dictionary entry and the Python objects.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOptions:
    """How long the ledger keeps records, and how many.

    A ticket of epoch ``n`` is valid until the end of epoch
    ``n + valid_epochs``.
    """

    epoch_s: float
    valid_epochs: int
    capacity: int
    capacity_bytes: int
    answer_limit_bytes: int

    def __post_init__(self) -> None:
        """Reject options with which no request could ever be granted."""
        if self.epoch_s <= 0 or self.valid_epochs < 1 or self.capacity < 1:
            raise core_errors.InvalidArgumentError(
                'The ledger needs an epoch longer than 0 s, at least one '
                'valid epoch and a capacity of at least one record',
                'Correct the ledger settings in the fleet file',
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _Identity:
    """A key and its caller; callers with the same key don't share records."""

    key: tickets.RequestKey
    caller: ids.CallerId


@dataclasses.dataclass(slots=True, eq=False)
class _EpochRecords:
    """The records of all tickets of one epoch, which are dropped together."""

    by_identity: dict[_Identity, records.Record] = dataclasses.field(
        default_factory=dict,
    )
    kept_bytes: int = 0


class Ledger:
    """Grants each key once, and gives resends the recorded outcome.

    ``epoch_s`` is fixed from the first request on, because the numbers of the
    epochs depend on it. The other options may be replaced at any time.
    """

    def __init__(
        self,
        home: ids.InstanceId,
        started_at_s: float,
        clock: clocks.Clock,
        options: LedgerOptions,
    ) -> None:
        """Create the empty ledger of ``home``, which started at that time."""
        self._home = home
        self._started_at_s = started_at_s
        self._clock = clock
        self._options = options
        self._epochs: dict[int, _EpochRecords] = {}
        self._count = 0
        self._kept_bytes = 0
        self._first_valid_epoch = 0
        self._is_used = False

    def __len__(self) -> int:
        """Return the number of live records."""
        return self._count

    @property
    def kept_bytes(self) -> int:
        """The approximate memory of the live records in bytes."""
        return self._kept_bytes

    @property
    def epoch_s(self) -> float:
        """The length of this home's epochs."""
        return self._options.epoch_s

    def set_options(self, options: LedgerOptions) -> None:
        """Apply new options; the epoch length stays once the ledger was used.

        A longer validity never revives a ticket that has already expired,
        because its records have been dropped.
        """
        if self._is_used:
            options = dataclasses.replace(options, epoch_s=self.epoch_s)
        else:
            self._first_valid_epoch = 0
        self._options = options

    def begin(
        self,
        key: tickets.RequestKey,
        caller: ids.CallerId,
        fingerprint: int,
    ) -> records.Claim:
        """Return whether to run the request, to wait or to repeat its outcome.

        The claim is ``Granted`` only if the key was never granted before, or
        was released because it provably did not run. Raises
        ``ForeignHomeError``, ``FutureTicketError``, ``TicketExpiredError``,
        ``KeyConflictError`` or ``LedgerFullError``.
        """
        if key.ticket.home != self._home:
            raise _foreign_home(key.ticket.home)
        self._is_used = True
        self.expire()
        epoch = key.ticket.epoch
        # The next epoch is accepted: tickets are never minted early, but
        # rounding errors at the boundary of an epoch must not cause a refusal.
        if epoch > self._epoch() + 1:
            raise _future_ticket()
        if epoch < self._first_valid_epoch:
            raise _expired_ticket()
        epoch_records = self._epochs.get(epoch)
        identity = _Identity(key, caller)
        record = (
            epoch_records.by_identity.get(identity) if epoch_records else None
        )
        if record is None:
            return records.Granted(self._open(identity, fingerprint))
        return _claim_of_resend(record, fingerprint)

    def never_granted(
        self,
        key: tickets.RequestKey,
        caller: ids.CallerId,
    ) -> bool:
        """Return whether the request with this key provably has not run.

        False if this is not the home of the key, if its ticket has expired or
        if there is a record of the key.
        """
        if key.ticket.home != self._home:
            return False
        self.expire()
        if key.ticket.epoch < self._first_valid_epoch:
            return False
        epoch_records = self._epochs.get(key.ticket.epoch)
        identity = _Identity(key, caller)
        return (
            epoch_records is None or identity not in epoch_records.by_identity
        )

    def expire(self) -> int:
        """Drop the records whose tickets have expired; return their number."""
        self._first_valid_epoch = max(
            self._first_valid_epoch,
            self._epoch() - self._options.valid_epochs,
        )
        expired = [
            epoch for epoch in self._epochs if epoch < self._first_valid_epoch
        ]
        count_before = self._count
        for epoch in expired:
            epoch_records = self._epochs.pop(epoch)
            self._count -= len(epoch_records.by_identity)
            self._kept_bytes -= epoch_records.kept_bytes
        return count_before - self._count

    def _epoch(self) -> int:
        age_s = self._clock.monotonic_s() - self._started_at_s
        return int(age_s // self._options.epoch_s)

    def _open(self, identity: _Identity, fingerprint: int) -> records.Record:
        options = self._options
        free_bytes = options.capacity_bytes - self._kept_bytes
        if self._count >= options.capacity or free_bytes < RECORD_BYTES:
            raise errors.LedgerFullError(
                'This daemon has reached its limit of records of '
                'non-idempotent requests',
                'Send the request again later, or with a ticket of another '
                'address',
                self._next_expiry_s(),
            )
        epoch_records = self._epochs.setdefault(
            identity.key.ticket.epoch,
            _EpochRecords(),
        )
        record = records.Record(
            fingerprint,
            self._clock,
            functools.partial(self._on_settled, epoch_records, identity),
        )
        epoch_records.by_identity[identity] = record
        self._count += 1
        self._add_bytes(epoch_records, RECORD_BYTES)
        return record

    def _on_settled(
        self,
        epoch_records: _EpochRecords,
        identity: _Identity,
        settlement: answers.Settlement,
    ) -> answers.Settlement:
        if self._epochs.get(identity.key.ticket.epoch) is not epoch_records:
            return settlement
        if isinstance(settlement, answers.Released):
            del epoch_records.by_identity[identity]
            self._count -= 1
            self._add_bytes(epoch_records, -RECORD_BYTES)
            return settlement
        if isinstance(settlement, answers.RecordedAnswer):
            return self._store_answer(epoch_records, settlement)
        return settlement

    def _store_answer(
        self,
        epoch_records: _EpochRecords,
        answer: answers.RecordedAnswer,
    ) -> answers.RecordedAnswer:
        size_bytes = answer.size_bytes()
        free_bytes = self._options.capacity_bytes - self._kept_bytes
        if size_bytes > min(free_bytes, self._options.answer_limit_bytes):
            return answer.without_content()
        self._add_bytes(epoch_records, size_bytes)
        return answer

    def _add_bytes(
        self,
        epoch_records: _EpochRecords,
        size_bytes: int,
    ) -> None:
        epoch_records.kept_bytes += size_bytes
        self._kept_bytes += size_bytes

    def _next_expiry_s(self) -> float:
        oldest_epoch = min(self._epochs, default=self._epoch())
        expiry_s = (
            oldest_epoch + self._options.valid_epochs + 1
        ) * self.epoch_s
        age_s = self._clock.monotonic_s() - self._started_at_s
        return max(0.0, expiry_s - age_s)


def _claim_of_resend(record: records.Record, fingerprint: int) -> records.Claim:
    if record.fingerprint != fingerprint:
        raise errors.KeyConflictError(
            'This Idempotency-Key was used before with a different request',
            'Use a new key for each new request, and resend a request unchanged',
        )
    settlement = record.settlement
    if settlement is None or isinstance(settlement, answers.Released):
        return records.Joined(record)
    return records.Answered(settlement)


def _foreign_home(home: ids.InstanceId) -> errors.ForeignHomeError:
    return errors.ForeignHomeError(
        f'The home of the ticket is {home}, not this daemon',
        'Send the request to the address that came with the ticket',
    )


def _future_ticket() -> errors.FutureTicketError:
    return errors.FutureTicketError(
        'The ticket is from an epoch that this daemon has not reached',
        'Ask /v1/addresses for a ticket and use it unchanged',
    )


def _expired_ticket() -> errors.TicketExpiredError:
    return errors.TicketExpiredError(
        'The ticket has expired, and the record of this key is gone',
        'Check by other means whether the request ran before sending it '
        'with a new key',
    )
