"""The open exchanges of one daemon, which end when their target is gone.

A target that disappears may leave its connections open: its machine restarted,
or the path drops the segments that would close them. TCP finds that out on each
connection for itself, and the answer of another process at the same address
shows it for all. That a target vanished from the list, is silent, or refuses
another connection shows nothing about the requests that it has: it may be
leaving, or take no connections while its queue is long.
"""

import asyncio
import collections
import enum
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.entry import attempt_trace, caller_request, target_record
from sardinepier.gateway import connections, errors

_REFUSAL_TIME_S: Final = 0.1
"""How long after a 421 the exchanges with that target end. The other process
at its address refuses those that it got itself within this time, so that they
are known not to have run."""

_READING_S: Final = 0.05
"""How long bytes that have arrived may take to be read."""

_MS_PER_S: Final = 1000

_Address = tuple[str, int]


class EndCause(enum.Enum):
    """Why an exchange with a target that is gone ended."""

    UNREACHABLE = 'unreachable'
    """The machine did not answer TCP any more."""

    REPLACED = 'replaced'
    """Another process answered at the address."""


class OpenExchange:
    """One attempt at a target; it can be ended once its first byte is sent."""

    def __init__(self, record: target_record.TargetRecord) -> None:
        """Begin without a connection."""
        self.record = record
        self.began_s = asyncio.get_running_loop().time()
        self.cause: EndCause | None = None
        self.connection = attempt_trace.ConnectionUse.NONE
        self._end_as_gone: connections.EndAsGone | None = None

    def mark_sent(
        self, end_as_gone: connections.EndAsGone, is_reused: bool
    ) -> None:
        """Record that the first byte is sent; ``end_as_gone`` ends it."""
        self.connection = attempt_trace.connection_use(is_reused=is_reused)
        self._end_as_gone = end_as_gone

    def trace(
        self, request: caller_request.CallerRequest, outcome: str
    ) -> None:
        """Add this attempt, which ended with ``outcome``, to the history."""
        taken_s = asyncio.get_running_loop().time() - self.began_s
        request.history.append(
            attempt_trace.AttemptTrace(
                receiver=self.record.listed.target_id,
                connection=self.connection,
                outcome=outcome,
                taken_ms=round(taken_s * _MS_PER_S),
            )
        )

    def record_error(self, error: errors.GatewayError) -> None:
        """Record how the attempt failed; an earlier cause is kept."""
        is_gone = isinstance(error, errors.TargetGoneError)
        if is_gone and self.cause is None:
            self.cause = EndCause.UNREACHABLE

    @property
    def is_sent(self) -> bool:
        """Return whether the first byte was sent and the exchange is open."""
        return self._end_as_gone is not None

    def mark_closed(self) -> None:
        """Record that the exchange is over, so that nothing ends it later."""
        self._end_as_gone = None

    def end(self, cause: EndCause) -> None:
        """End the exchange with a lost connection if it is still open."""
        if self._end_as_gone is None:
            return
        if self._end_as_gone():
            self.cause = cause
            self._end_as_gone = None
            return
        # Bytes that the target sent before it was gone are delivered first.
        asyncio.get_running_loop().call_later(_READING_S, self.end, cause)


class OpenExchanges:
    """All open exchanges of a daemon by address.

    For example::

        exchange = exchanges.begin(record)
        ...
        exchanges.record_other_target(record)  # ends those sent to the target
        exchanges.close(exchange)
    """

    def __init__(self) -> None:
        """Start without exchanges."""
        self._by_address: dict[_Address, list[OpenExchange]] = (
            collections.defaultdict(list)
        )

    def begin(self, record: target_record.TargetRecord) -> OpenExchange:
        """Return a new exchange, which must be closed."""
        exchange = OpenExchange(record)
        self._by_address[_address(record)].append(exchange)
        return exchange

    def close(self, exchange: OpenExchange) -> None:
        """Forget an exchange that is over."""
        exchange.mark_closed()
        address = _address(exchange.record)
        self._by_address[address].remove(exchange)
        if not self._by_address[address]:
            del self._by_address[address]

    def record_other_target(self, record: target_record.TargetRecord) -> None:
        """End the exchanges with a target whose address answered 421."""
        asyncio.get_running_loop().call_later(
            _REFUSAL_TIME_S,
            _end_all,
            self._sent(
                record,
                lambda exchange: (
                    exchange.record.listed.target_id == record.listed.target_id
                ),
            ),
            EndCause.REPLACED,
        )

    def record_answer(self, record: target_record.TargetRecord) -> None:
        """End the exchanges with earlier incarnations at the same address.

        Connections of ``record`` are newer than it is known, so that an answer
        shows that the process which was listed before is gone.
        """
        _end_all(
            self._sent(
                record,
                lambda exchange: _is_earlier(exchange.record, record),
            ),
            EndCause.REPLACED,
        )

    def _sent(
        self,
        record: target_record.TargetRecord,
        matches: Callable[[OpenExchange], bool],
    ) -> list[OpenExchange]:
        """Return the exchanges at the address of ``record`` that match."""
        exchanges = self._by_address.get(_address(record), ())
        return [
            exchange
            for exchange in exchanges
            if exchange.is_sent and matches(exchange)
        ]


def _is_earlier(
    earlier: target_record.TargetRecord,
    later: target_record.TargetRecord,
) -> bool:
    """Return whether ``earlier`` is an earlier incarnation of ``later``.

    Other names may be other services of the same process. An incarnation that
    was not listed for a moment has a new record, and is not another one.
    """
    return (
        earlier.listed.stable_name == later.listed.stable_name
        and earlier.listed.target_id != later.listed.target_id
        and earlier.known_since_s < later.known_since_s
    )


def _end_all(exchanges: Iterable[OpenExchange], cause: EndCause) -> None:
    for exchange in exchanges:
        exchange.end(cause)


def _address(record: target_record.TargetRecord) -> _Address:
    return record.listed.ip, record.listed.port
