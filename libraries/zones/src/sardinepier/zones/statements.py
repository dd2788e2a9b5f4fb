"""Passing on what targets say of themselves, so that it need not be met twice."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.gateway import statements
from sardinepier.zones import messages

_Source = target_record.ObservationSource
_MS_PER_S: Final = 1000
_AGAIN_S: Final = 1.0
"""Pace at which a statement that goes on is passed on again: it must not lapse
where nobody hears the target itself."""

_OLDEST_NEWS_S: Final = 5.0


class StatementUpdates:
    """Tells what targets said since it last told, to one audience.

    What came from one of the ``sources`` is told, again and again while it goes
    on. Of others only changes are told, when they are ``relayed``: as news seems
    younger on its way, it would else go round in circles for ever.
    """

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        clock: clocks.Clock,
        sources: frozenset[target_record.ObservationSource],
        *,
        relayed: frozenset[target_record.ObservationSource],
    ) -> None:
        """Start without having told anything."""
        self._held = held
        self._clock = clock
        self._sources = sources
        self._relayed = relayed
        self._told: dict[ids.TargetId, _Told] = {}

    def take(self) -> tuple[messages.StatementUpdate, ...]:
        """Return the news; each is returned once."""
        now_s = self._clock.monotonic_s()
        before = self._told
        self._told = {}
        news = []
        for record in _with_statements(self._held):
            target_id = record.listed.target_id
            told = before.get(target_id, _NEVER)
            if self._is_due(record, told, now_s):
                told = _Told(record, now_s)
                news.append(_news_of(record, now_s))
            self._told[target_id] = told
        return tuple(news)

    def _is_due(
        self,
        record: target_record.TargetRecord,
        told: '_Told',
        now_s: float,
    ) -> bool:
        if now_s - record.statements.received_s >= _OLDEST_NEWS_S:
            return False
        source = record.statements_source
        if told.differs_from(record.statements.newest):
            return source in self._sources or source in self._relayed
        if source not in self._sources:
            return False
        if now_s - told.at_s < _AGAIN_S:
            return False
        # A target that leaves is not heard again, and news may be lost.
        is_newer = record.statements.received_s > told.heard_s
        return is_newer or record.statements.newest.is_leaving


class _Told:
    """What was told of one target, and when."""

    __slots__ = ('at_s', 'heard_s', 'statement')

    def __init__(
        self,
        record: target_record.TargetRecord | None,
        at_s: float,
    ) -> None:
        self.at_s = at_s
        self.heard_s = record.statements.received_s if record else at_s
        self.statement = (
            record.statements.newest if record else statements.SILENT
        )

    def differs_from(self, newest: statements.Statement) -> bool:
        """Tell whether others would go by something else now."""
        before = self.statement
        return (
            before.limit_per_s != newest.limit_per_s
            or before.is_leaving != newest.is_leaving
        )


_NEVER: Final = _Told(None, 0.0)


def for_own_zone(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> StatementUpdates:
    """Return news for the own zone, also what others reported here."""
    return StatementUpdates(
        held,
        clock,
        frozenset((_Source.OWN, _Source.OTHER_ZONE)),
        relayed=frozenset((_Source.ZONE,)),
    )


def for_other_zones(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
) -> StatementUpdates:
    """Return news for other zones of what was heard in this one."""
    sources = frozenset((_Source.OWN, _Source.ZONE))
    return StatementUpdates(held, clock, sources, relayed=frozenset())


def take_in(
    held: service_registry.ServiceRegistry,
    clock: clocks.Clock,
    news: tuple[messages.StatementUpdate, ...],
    source: target_record.ObservationSource,
) -> None:
    """Go by what others heard later than this daemon."""
    if not news:
        return
    now_s = clock.monotonic_s()
    tables = {
        record.listed.target_id: pool.targets
        for pool in held.pools()
        for record in pool.targets.records()
    }
    for one in news:
        table = tables.get(one.target_id)
        record = table.find(one.target_id) if table else None
        age_s = one.age_ms / _MS_PER_S
        if table is None or record is None or age_s > _OLDEST_NEWS_S:
            continue
        if one.is_leaving or now_s - age_s > record.statements.received_s:
            told = statements.Statement(
                is_leaving=one.is_leaving,
                limit_per_s=one.limit_per_s,
            )
            table.apply_statement(record, told, now_s - age_s, source)


def _with_statements(
    held: service_registry.ServiceRegistry,
) -> list[target_record.TargetRecord]:
    return [
        record
        for pool in held.pools()
        for record in (
            *pool.targets.with_statements(),
            *pool.targets.departed(),
        )
    ]


def _news_of(
    record: target_record.TargetRecord,
    now_s: float,
) -> messages.StatementUpdate:
    return messages.StatementUpdate(
        record.listed.target_id,
        round((now_s - record.statements.received_s) * _MS_PER_S),
        record.statements.newest.limit_per_s,
        record.statements.newest.is_leaving,
    )
