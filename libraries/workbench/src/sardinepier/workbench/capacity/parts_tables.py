"""What a daemon keeps of keys, callers, events and latencies."""

import contextlib
import functools
import itertools
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import answers, ledger, records, tickets
from sardinepier.routing import caller_limits, errors
from sardinepier.settings import parsing
from sardinepier.telemetry import daemon_events, metrics, timeline
from sardinepier.workbench.capacity import parts, texts

_HOME: Final = ids.InstanceId('entry-0001~00c0ffee00c0ffee')
_KEYS: Final = (1000, 5000, 20_000)
_CALLERS: Final = (1000, 8192, 150_000)
_EVENTS: Final = 4096
_HISTOGRAMS: Final = 64
_MOST_MS: Final = 200
_LATENCIES_MS: Final = tuple(map(float, range(1, _MOST_MS)))
_RATE_PER_S: Final = 50.0
_BURST: Final = 100
_START_S: Final = 1000.0
_NONCE_BITS: Final = 64
_KEY_CALLERS: Final = 997
_KEPT_ANSWER_BYTES: Final = 65_536
_STATUS: Final = 200
# More than the default, for the rounds of a measurement add keys as well.
_ROOM_BYTES: Final = 1_000_000_000
_BODY: Final = b'{"handle": "10915/123456", "state": "registered"}'


class Home:
    """A real ledger that is given new keys."""

    def __init__(self, count: int) -> None:
        """Grant and answer ``count`` keys."""
        fleet = parsing.parse_fleet(texts.fleet_text(), 'fleet')
        self._ledger = ledger.Ledger(
            _HOME,
            0.0,
            clocks.ManualClock(),
            ledger.LedgerOptions(
                epoch_s=fleet.ticket_epoch_s,
                valid_epochs=fleet.ticket_valid_epochs,
                capacity=fleet.record_capacity,
                capacity_bytes=_ROOM_BYTES,
                answer_limit_bytes=_KEPT_ANSWER_BYTES,
            ),
        )
        self._numbers = itertools.count()
        self._random = random.Random(1)
        for _ in range(count):
            self.grant()

    def grant(self) -> None:
        """Grant a new key and keep its answer."""
        number = next(self._numbers)
        nonce = f'{self._random.getrandbits(_NONCE_BITS):016x}'
        key = tickets.RequestKey(
            tickets.Ticket(_HOME, 0, nonce),
            f'deposit-{number}',
        )
        caller = ids.CallerId(f'customer-{number % _KEY_CALLERS}')
        claim = self._ledger.begin(key, caller, number)
        if isinstance(claim, records.Granted):
            # A new object for each body, as each answer brings its own.
            body = b'%d %b' % (number, _BODY)
            claim.record.complete(
                answers.RecordedAnswer(
                    _STATUS,
                    (('Content-Type', 'application/json'),),
                    body,
                ),
            )


class Callers:
    """The real limits, with callers that come in turn."""

    def __init__(self, count: int) -> None:
        """Let each of ``count`` callers come once."""
        self._limits = caller_limits.CallerLimits(
            clocks.ManualClock(start_s=_START_S),
            _RATE_PER_S,
            _BURST,
            count,
            random.Random(1),
        )
        self._next = itertools.cycle(range(count))
        for _ in range(count):
            self.admit()

    def admit(self) -> None:
        """Admit the next caller."""
        caller = ids.CallerId(f'customer-{next(self._next)}')
        with contextlib.suppress(errors.CallerLimitError):
            self._limits.admit(caller)


def full_timeline(count: int) -> timeline.Timeline:
    """Return a time line with ``count`` events."""
    ring = timeline.Timeline(_HOME, clocks.SystemClock())
    for number in range(count):
        ring.record(daemon_events.WakeGapSeen(number, number))
    return ring


def full_metrics(count: int) -> metrics.Metrics:
    """Return metrics with ``count`` histograms that have values."""
    kept = metrics.Metrics()
    for number in range(count):
        histogram = kept.histogram('latency_ms', service=f'service-{number}')
        for latency_ms in _LATENCIES_MS:
            histogram.record(latency_ms)
    return kept


def measure(quick: bool) -> parts.Part:
    """Measure the tables that grow with keys, callers and events."""
    part = parts.Part('tables')
    for key_count in _KEYS[: 2 if quick else None]:
        part.held(
            'keys held',
            key_count,
            functools.partial(Home, key_count),
        )
    # The rounds of this add keys too, so it starts with a few.
    part.cost('key granted and answered', _KEYS[0], Home(_KEYS[0]).grant)
    for caller_count in _CALLERS[: 2 if quick else None]:
        callers = part.held(
            'callers remembered',
            caller_count,
            functools.partial(Callers, caller_count),
        )
        part.cost('caller admitted', caller_count, callers.admit)
    part.held(
        'time line',
        _EVENTS,
        functools.partial(full_timeline, _EVENTS),
    )
    part.held(
        'latency histograms',
        _HISTOGRAMS,
        functools.partial(full_metrics, _HISTOGRAMS),
    )
    return part
