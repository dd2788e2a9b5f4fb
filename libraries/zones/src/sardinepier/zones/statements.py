"""Exchange of target statements, so that each is received only once."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.gateway import statements
from sardinepier.zones import messages

_Source = target_record.ObservationSource
_MS_PER_S: Final = 1000
_REPEAT_INTERVAL_S: Final = 1.0
"""Interval at which a statement that a target keeps repeating is sent again, so
that it doesn't expire at daemons without requests to the target."""

_MAX_AGE_S: Final = 5.0


class StatementUpdates:
    """Collects the statements that are new to one group of receivers.

    Statements from ``sources`` are sent repeatedly while the target repeats
    them. Of those from ``relayed`` sources only changes are sent: transit time
    is not part of an age, so that repeated ones would circulate for ever.
    """

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        sources: frozenset[target_record.ObservationSource],
        *,
        relayed: frozenset[target_record.ObservationSource],
    ) -> None:
        """Start with nothing sent."""
        self._services = services
        self._clock = clock
        self._sources = sources
        self._relayed = relayed
        self._sent: dict[ids.TargetId, _SentStatement] = {}

    def collect(self) -> tuple[messages.StatementUpdate, ...]:
        """Return the statements that are due, each of them once."""
        now_s = self._clock.monotonic_s()
        before = self._sent
        self._sent = {}
        updates = []
        for record in _with_statements(self._services):
            target_id = record.listed.target_id
            sent = before.get(target_id, _NEVER_SENT)
            if self._is_due(record, sent, now_s):
                sent = _SentStatement(record, now_s)
                updates.append(_update_of(record, now_s))
            self._sent[target_id] = sent
        return tuple(updates)

    def _is_due(
        self,
        record: target_record.TargetRecord,
        sent: '_SentStatement',
        now_s: float,
    ) -> bool:
        if now_s - record.statements.received_s >= _MAX_AGE_S:
            return False
        source = record.statements_source
        if sent.differs_from(record.statements.newest):
            return source in self._sources or source in self._relayed
        if source not in self._sources:
            return False
        if now_s - sent.at_s < _REPEAT_INTERVAL_S:
            return False
        # A leaving target states nothing more, and messages may be lost.
        is_newer = record.statements.received_s > sent.heard_s
        return is_newer or record.statements.newest.is_leaving


class _SentStatement:
    """The newest statement of one target that was sent, and when."""

    __slots__ = ('at_s', 'heard_s', 'statement')

    def __init__(
        self,
        record: target_record.TargetRecord | None,
        at_s: float,
    ) -> None:
        self.at_s = at_s
        self.heard_s = record.statements.received_s if record else at_s
        self.statement = (
            record.statements.newest if record else statements.EMPTY
        )

    def differs_from(self, newest: statements.Statement) -> bool:
        """Return whether receivers would act differently on ``newest``."""
        before = self.statement
        return (
            before.limit_per_s != newest.limit_per_s
            or before.is_leaving != newest.is_leaving
        )


_NEVER_SENT: Final = _SentStatement(None, 0.0)


def for_own_zone(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> StatementUpdates:
    """Return updates for the own zone, including reports of other zones."""
    return StatementUpdates(
        services,
        clock,
        frozenset((_Source.OWN, _Source.OTHER_ZONE)),
        relayed=frozenset((_Source.ZONE,)),
    )


def for_other_zones(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> StatementUpdates:
    """Return updates for other zones, with statements received in this one."""
    sources = frozenset((_Source.OWN, _Source.ZONE))
    return StatementUpdates(services, clock, sources, relayed=frozenset())


def apply_updates(
    services: service_registry.ServiceRegistry,
    clock: clocks.Clock,
    updates: tuple[messages.StatementUpdate, ...],
    source: target_record.ObservationSource,
) -> None:
    """Apply statements that others received later than this daemon."""
    if not updates:
        return
    now_s = clock.monotonic_s()
    tables = {
        record.listed.target_id: pool.targets
        for pool in services.pools()
        for record in pool.targets.records()
    }
    for update in updates:
        table = tables.get(update.target_id)
        record = table.find(update.target_id) if table else None
        age_s = update.age_ms / _MS_PER_S
        if table is None or record is None or age_s > _MAX_AGE_S:
            continue
        if update.is_leaving or now_s - age_s > record.statements.received_s:
            statement = statements.Statement(
                is_leaving=update.is_leaving,
                limit_per_s=update.limit_per_s,
            )
            table.apply_statement(record, statement, now_s - age_s, source)


def _with_statements(
    services: service_registry.ServiceRegistry,
) -> list[target_record.TargetRecord]:
    return [
        record
        for pool in services.pools()
        for record in (
            *pool.targets.with_statements(),
            *pool.targets.departed(),
        )
    ]


def _update_of(
    record: target_record.TargetRecord,
    now_s: float,
) -> messages.StatementUpdate:
    return messages.StatementUpdate(
        record.listed.target_id,
        round((now_s - record.statements.received_s) * _MS_PER_S),
        record.statements.newest.limit_per_s,
        record.statements.newest.is_leaving,
    )
