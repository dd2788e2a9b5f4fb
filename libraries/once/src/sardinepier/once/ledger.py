"""The home's memory of the keys that it granted.

One instance, one memory, one writer: only the process that a ticket names
may run its keys, so no agreement with others is needed. Two rules keep a key
from running twice. A record is opened before the first byte goes out, and no
record is dropped before its ticket has run out on the home's own clock.
"""

import dataclasses
import functools
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.once import answers, errors, records, tickets

RECORD_BYTES: Final = 900
"""About what a record takes without its answer: key, dict entry, objects."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOptions:
    """How long and how much the ledger keeps.

    A ticket of epoch ``n`` is good until epoch ``n + valid_epochs`` ends.
    """

    epoch_s: float
    valid_epochs: int
    capacity: int
    capacity_bytes: int
    answer_limit_bytes: int

    def __post_init__(self) -> None:
        """Refuse figures with which no request could ever be granted."""
        if self.epoch_s <= 0 or self.valid_epochs < 1 or self.capacity < 1:
            raise core_errors.InvalidArgumentError(
                'The ledger needs an epoch above 0 s, at least one valid '
                'epoch and room for at least one record',
                'Correct the figures of the fleet file',
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _Identity:
    """Callers can't see each other's records, not even by one key."""

    key: tickets.RequestKey
    caller: ids.CallerId


@dataclasses.dataclass(slots=True, eq=False)
class _Bucket:
    """The records of all tickets of one epoch, dropped together."""

    by_identity: dict[_Identity, records.Record] = dataclasses.field(
        default_factory=dict,
    )
    kept_bytes: int = 0


class Ledger:
    """Grants each key once, and answers its resends.

    ``epoch_s`` is fixed from the first request on, because it gives the
    epochs their numbers. The other options may be replaced at any time.
    """

    def __init__(
        self,
        home: ids.InstanceId,
        started_at_s: float,
        clock: clocks.Clock,
        options: LedgerOptions,
    ) -> None:
        """Start empty, as the home ``home`` that started at that moment."""
        self._home = home
        self._started_at_s = started_at_s
        self._clock = clock
        self._options = options
        self._buckets: dict[int, _Bucket] = {}
        self._count = 0
        self._kept_bytes = 0
        self._first_valid_epoch = 0
        self._is_used = False

    def __len__(self) -> int:
        """Return the number of live records."""
        return self._count

    @property
    def kept_bytes(self) -> int:
        """About how many bytes the live records take."""
        return self._kept_bytes

    @property
    def epoch_s(self) -> float:
        """The length of this home's epochs."""
        return self._options.epoch_s

    def set_options(self, options: LedgerOptions) -> None:
        """Take new limits; once used, the length of an epoch stays.

        A longer validity never revives a ticket that has already run out,
        because its records are gone.
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
        """Say what may be done for this send of ``key``.

        ``Granted`` only if the key was never granted before, or was released
        as proved not run. Raises ``ForeignHomeError``, ``FutureTicketError``,
        ``TicketExpiredError``, ``KeyConflictError`` or ``LedgerFullError``.
        """
        if key.ticket.home != self._home:
            raise _foreign(key.ticket.home)
        self._is_used = True
        self.expire()
        epoch = key.ticket.epoch
        # One epoch ahead is let through: a ticket is never minted early, but
        # rounding at the border of an epoch is not worth a refusal.
        if epoch > self._epoch() + 1:
            raise _future()
        if epoch < self._first_valid_epoch:
            raise _expired()
        bucket = self._buckets.get(epoch)
        identity = _Identity(key, caller)
        found = bucket.by_identity.get(identity) if bucket else None
        if found is None:
            return records.Granted(self._open(identity, fingerprint))
        return _resend(found, fingerprint)

    def never_granted(
        self,
        key: tickets.RequestKey,
        caller: ids.CallerId,
    ) -> bool:
        """Return whether it is proved that the key has not run.

        False when this is not its home, when its ticket has run out, or when
        there is a record of it.
        """
        if key.ticket.home != self._home:
            return False
        self.expire()
        if key.ticket.epoch < self._first_valid_epoch:
            return False
        bucket = self._buckets.get(key.ticket.epoch)
        identity = _Identity(key, caller)
        return bucket is None or identity not in bucket.by_identity

    def expire(self) -> int:
        """Drop the records whose tickets have run out; return how many."""
        self._first_valid_epoch = max(
            self._first_valid_epoch,
            self._epoch() - self._options.valid_epochs,
        )
        outdated = [
            epoch for epoch in self._buckets if epoch < self._first_valid_epoch
        ]
        before = self._count
        for epoch in outdated:
            bucket = self._buckets.pop(epoch)
            self._count -= len(bucket.by_identity)
            self._kept_bytes -= bucket.kept_bytes
        return before - self._count

    def _epoch(self) -> int:
        age_s = self._clock.monotonic_s() - self._started_at_s
        return int(age_s // self._options.epoch_s)

    def _open(self, identity: _Identity, fingerprint: int) -> records.Record:
        options = self._options
        room_bytes = options.capacity_bytes - self._kept_bytes
        if self._count >= options.capacity or room_bytes < RECORD_BYTES:
            raise errors.LedgerFullError(
                'This daemon keeps as many records of non-idempotent '
                'requests as it may',
                'Send the request again later, or with a ticket of another '
                'address',
                self._next_expiry_s(),
            )
        bucket = self._buckets.setdefault(
            identity.key.ticket.epoch,
            _Bucket(),
        )
        record = records.Record(
            fingerprint,
            self._clock,
            functools.partial(self._settled, bucket, identity),
        )
        bucket.by_identity[identity] = record
        self._count += 1
        self._charge(bucket, RECORD_BYTES)
        return record

    def _settled(
        self,
        bucket: _Bucket,
        identity: _Identity,
        settlement: answers.Settlement,
    ) -> answers.Settlement:
        if self._buckets.get(identity.key.ticket.epoch) is not bucket:
            return settlement
        if isinstance(settlement, answers.Released):
            del bucket.by_identity[identity]
            self._count -= 1
            self._charge(bucket, -RECORD_BYTES)
            return settlement
        if isinstance(settlement, answers.RecordedAnswer):
            return self._keep(bucket, settlement)
        return settlement

    def _keep(
        self,
        bucket: _Bucket,
        answer: answers.RecordedAnswer,
    ) -> answers.RecordedAnswer:
        size_bytes = answer.size_bytes()
        room_bytes = self._options.capacity_bytes - self._kept_bytes
        if size_bytes > min(room_bytes, self._options.answer_limit_bytes):
            return answer.without_content()
        self._charge(bucket, size_bytes)
        return answer

    def _charge(self, bucket: _Bucket, size_bytes: int) -> None:
        bucket.kept_bytes += size_bytes
        self._kept_bytes += size_bytes

    def _next_expiry_s(self) -> float:
        oldest = min(self._buckets, default=self._epoch())
        ends_s = (oldest + self._options.valid_epochs + 1) * self.epoch_s
        age_s = self._clock.monotonic_s() - self._started_at_s
        return max(0.0, ends_s - age_s)


def _resend(record: records.Record, fingerprint: int) -> records.Claim:
    if record.fingerprint != fingerprint:
        raise errors.KeyConflictError(
            'This Idempotency-Key was used before with a different request',
            'Use a new key for a new request, and repeat a request unchanged',
        )
    settlement = record.settlement
    if settlement is None or isinstance(settlement, answers.Released):
        return records.Joined(record)
    return records.Answered(settlement)


def _foreign(home: ids.InstanceId) -> errors.ForeignHomeError:
    return errors.ForeignHomeError(
        f'The ticket names {home} as its home',
        'Send the request to the address that came with the ticket',
    )


def _future() -> errors.FutureTicketError:
    return errors.FutureTicketError(
        'The ticket is from an epoch that this daemon has not reached',
        'Ask /v1/addresses for a ticket and use it unchanged',
    )


def _expired() -> errors.TicketExpiredError:
    return errors.TicketExpiredError(
        'The ticket has run out, and with it what was known of this key',
        'Find out by other means whether the request ran before it is sent '
        'with a new key',
    )
