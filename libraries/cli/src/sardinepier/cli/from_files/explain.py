"""``sardinepier explain``: reconstructs one request from log files."""

import enum
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import msgspec
from sardinepier.cli import context, errors, exit_codes
from sardinepier.cli.from_files import log_files

_REQUEST_ID: Final = 'request_id'
_SENT: Final = 'request-sent'
_FAILED: Final = 'attempt-failed'
_ENDED: Final = 'request-ended'
_STARTED: Final = 'started'
_STOPPED: Final = 'stopped'
_MS_PER_S: Final = 1000

_STATE_EVENTS: Final = (
    _STARTED,
    'configuration-in-force',
    'targets-changed',
    'carrier-changed',
    'zone-handed-over',
    'platform-lost',
    'platform-regained',
    'confirmation-lost',
    'confirmation-regained',
)
"""Events that change the state by which a daemon makes decisions."""


class Cause(enum.Enum):
    """The outcome of a request, as far as the log lines show."""

    ANSWERED = 'answered'
    TARGET_FAILED = 'target_failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ABANDONED = 'abandoned'
    CUT_OFF = 'cut_off'
    LOST_WITH_DAEMON = 'lost_with_daemon'


class UnknownRequestError(errors.CommandError):
    """No line of the files is about the request."""

    exit_code = exit_codes.ExitCode.NEGATIVE


class Step(msgspec.Struct, frozen=True):
    """One line about the request, ``after_ms`` after the first one."""

    after_ms: int
    instance_id: str
    event: str
    fields: dict[str, Any]


class KnownEvent(msgspec.Struct, frozen=True):
    """A daemon's last event of a kind, ``age_ms`` before its first step."""

    instance_id: str
    event: str
    age_ms: int
    fields: dict[str, Any]


class ExplainReport(msgspec.Struct, frozen=True):
    """The cause, the steps, and the state of the daemons before them."""

    request_id: str
    cause: Cause
    because: str
    steps: tuple[Step, ...]
    known: tuple[KnownEvent, ...]
    unsure: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Return the text form."""
        yield f'request {self.request_id}: {self.cause.value}'
        yield f'  {self.because}'
        yield 'steps'
        for step in self.steps:
            yield _entry_text(f'+{step.after_ms} ms', step)
        yield 'what its daemons knew by then'
        for known in self.known:
            yield _entry_text(f'{known.age_ms} ms before', known)

    def diagnostics(self) -> tuple[str, ...]:
        """Return the reasons why the report may be wrong."""
        return self.unsure

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``OK``: the request was found."""
        return exit_codes.ExitCode.OK


async def report(
    request_id: str,
    paths: Sequence[str],
    _: context.Context,
) -> ExplainReport:
    """Explain one request from the lines of the files.

    Raises ``UnknownRequestError`` when no line is about the request, and
    ``UsageError`` when a file can't be read.
    """
    log = log_files.read(paths)
    request_lines = tuple(
        line for line in log.lines if line.fields.get(_REQUEST_ID) == request_id
    )
    if not request_lines:
        raise UnknownRequestError(
            f'No line of the files has the request {request_id!r}',
            'Check the id, and name the logs of all daemons of that time',
        )
    cause, because = _find_cause(request_lines, log.lines)
    return ExplainReport(
        request_id,
        cause,
        because,
        tuple(_step(line, request_lines[0]) for line in request_lines),
        tuple(_known_events(request_lines, log.lines)),
        log.diagnostics(),
    )


def _find_cause(
    request_lines: Sequence[log_files.LogLine],
    all_lines: Sequence[log_files.LogLine],
) -> tuple[Cause, str]:
    """Return the cause and a sentence that explains it."""
    last = request_lines[-1]
    if last.event == _ENDED:
        return Cause(last.fields['outcome']), _end_text(last, request_lines)
    if _died_during_request(last, all_lines):
        return (
            Cause.LOST_WITH_DAEMON,
            f'{last.instance_id} died within the time of the request: it '
            'started again later, without a normal shutdown before. If the '
            'caller got no answer, the request was lost then',
        )
    failed = [line for line in request_lines if line.event == _FAILED]
    if failed and last.event == _FAILED:
        return (
            Cause.UNKNOWN,
            f'The last line is of a failure: {_failure_text(last)}',
        )
    return (
        Cause.ANSWERED,
        'An attempt began and nothing else was written, as is typical for a '
        'request that was answered, unless lines were dropped',
    )


def _end_text(
    last: log_files.LogLine,
    request_lines: Sequence[log_files.LogLine],
) -> str:
    fields = last.fields
    failures = [
        _failure_text(line) for line in request_lines if line.event == _FAILED
    ]
    free_slots = (
        f'{fields["with_room"]} of {fields["targets"]} targets had a free slot'
    )
    history = [_trace_text(trace) for trace in fields.get('history', ())]
    attempts = '; '.join(failures or history) or 'no attempt failed'
    return (
        f'{_ending_text(fields)}. Attempts: {attempts}. At the end {free_slots}'
    )


def _ending_text(fields: Mapping[str, Any]) -> str:
    """Return how the request ended, from the fields of its last line."""
    if fields['outcome'] == Cause.ABANDONED.value:
        return f'The caller left after {fields["taken_ms"]} ms'
    if fields['outcome'] == Cause.CUT_OFF.value:
        return f'The daemon cut it off after {fields["taken_ms"]} ms'
    return fields['what'] or f'Answered with status {fields["status"]}'


def _trace_text(trace: Mapping[str, Any]) -> str:
    return (
        f'{trace["receiver"]} ({trace["connection"]}) after '
        f'{trace["taken_ms"]} ms: {trace["outcome"]}'
    )


def _failure_text(line: log_files.LogLine) -> str:
    choice = line.fields.get('choice', {})
    target = choice.get('target', '?')
    failure_probability = choice.get('chance', '?')
    return (
        f'{target} after {line.fields.get("taken_ms", "?")} ms: '
        f'{line.fields.get("what", "?")} (chosen with failure probability '
        f'{failure_probability}, estimated {choice.get("belief_age_ms", "?")} ms '
        'before)'
    )


def _died_during_request(
    last: log_files.LogLine,
    all_lines: Sequence[log_files.LogLine],
) -> bool:
    """Return whether the daemon died while the request may have been in flight.

    That is the case when the daemon's next event ``started`` follows without
    ``stopped``, and its last line before that is within the deadline of the
    request. After the deadline it would have logged a failure.
    """
    last_seen = last.time
    for line in all_lines:
        if line.instance_id != last.instance_id or line.time <= last.time:
            continue
        if line.event == _STOPPED:
            return False
        if line.event == _STARTED:
            alive_ms = (last_seen - last.time).total_seconds() * _MS_PER_S
            return alive_ms <= float(last.fields.get('left_ms', 0))
        last_seen = line.time
    return False


def _known_events(
    request_lines: Sequence[log_files.LogLine],
    all_lines: Sequence[log_files.LogLine],
) -> Iterator[KnownEvent]:
    """Return the newest state events before each daemon's first step."""
    for instance_id in dict.fromkeys(
        line.instance_id for line in request_lines
    ):
        first = next(
            line for line in request_lines if line.instance_id == instance_id
        )
        newest = {
            line.event: line
            for line in all_lines
            if line.instance_id == instance_id and line.time <= first.time
        }
        known_kinds = [event for event in _STATE_EVENTS if event in newest]
        for event in known_kinds:
            yield _known_event(newest[event], first)


def _known_event(
    line: log_files.LogLine,
    first: log_files.LogLine,
) -> KnownEvent:
    return KnownEvent(
        line.instance_id,
        line.event,
        _ms_between(line, first),
        line.fields,
    )


def _step(line: log_files.LogLine, first: log_files.LogLine) -> Step:
    return Step(
        _ms_between(first, line),
        line.instance_id,
        line.event,
        {
            name: line.fields[name]
            for name in line.fields
            if name != _REQUEST_ID
        },
    )


def _ms_between(
    earlier: log_files.LogLine,
    later: log_files.LogLine,
) -> int:
    return round((later.time - earlier.time).total_seconds() * _MS_PER_S)


def _entry_text(when: str, entry: Step | KnownEvent) -> str:
    fields = msgspec.json.encode(entry.fields).decode()
    return f'  {when:>14}  {entry.instance_id}  {entry.event}  {fields}'
