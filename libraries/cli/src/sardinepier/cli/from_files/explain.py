"""``sardinepier explain``: the life of one request, from log files."""

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

_BELIEFS: Final = (
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
"""Events after which a daemon decides by something else."""


class Cause(enum.Enum):
    """What became of a request, as far as the lines tell."""

    ANSWERED = 'answered'
    TARGET_FAILED = 'target_failed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ABANDONED = 'abandoned'
    LOST_WITH_DAEMON = 'lost_with_daemon'


class UnknownRequestError(errors.CommandError):
    """No line of the files has the request."""

    exit_code = exit_codes.ExitCode.NEGATIVE


class Step(msgspec.Struct, frozen=True):
    """One line about the request; ``after_ms`` counts from the first one."""

    after_ms: int
    instance_id: str
    event: str
    fields: dict[str, Any]


class Known(msgspec.Struct, frozen=True):
    """What a daemon knew when it first decided, ``age_ms`` old then."""

    instance_id: str
    event: str
    age_ms: int
    fields: dict[str, Any]


class ExplainReport(msgspec.Struct, frozen=True):
    """The request's steps, what its daemons knew, and the cause."""

    request_id: str
    cause: Cause
    because: str
    steps: tuple[Step, ...]
    known: tuple[Known, ...]
    unsure: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Return the form for people."""
        yield f'request {self.request_id}: {self.cause.value}'
        yield f'  {self.because}'
        yield 'steps'
        for step in self.steps:
            yield _text(f'+{step.after_ms} ms', step)
        yield 'what its daemons knew by then'
        for known in self.known:
            yield _text(f'{known.age_ms} ms before', known)

    def diagnostics(self) -> tuple[str, ...]:
        """Return what makes the report unsure."""
        return self.unsure

    def exit_code(self) -> exit_codes.ExitCode:
        """Return that the request was found."""
        return exit_codes.ExitCode.OK


async def report(
    request_id: str,
    paths: Sequence[str],
    _: context.Context,
) -> ExplainReport:
    """Explain one request by the lines of the files.

    Raises ``UnknownRequestError`` and ``UsageError``.
    """
    found = log_files.read(paths)
    own = tuple(
        line
        for line in found.lines
        if line.fields.get(_REQUEST_ID) == request_id
    )
    if not own:
        raise UnknownRequestError(
            f'No line of the files has the request {request_id!r}',
            'Check the id, and name the logs of all daemons of that time',
        )
    cause, because = _cause(own, found.lines)
    return ExplainReport(
        request_id,
        cause,
        because,
        tuple(_step(line, own[0]) for line in own),
        tuple(_known(own, found.lines)),
        found.diagnostics(),
    )


def _cause(
    own: Sequence[log_files.LogLine],
    all_lines: Sequence[log_files.LogLine],
) -> tuple[Cause, str]:
    """Return the cause and a sentence that names it."""
    last = own[-1]
    if last.event == _ENDED:
        return Cause(last.fields['outcome']), _end_text(last, own)
    if _died_within(last, all_lines):
        return (
            Cause.LOST_WITH_DAEMON,
            f'{last.instance_id} died within the time of the request: it '
            'started again later and had not stopped in order. If the caller '
            'got no answer, it was lost then',
        )
    failed = [line for line in own if line.event == _FAILED]
    if failed and last.event == _FAILED:
        return Cause.UNKNOWN, f'The last line is of a failure: {_what(last)}'
    return (
        Cause.ANSWERED,
        'An attempt began and nothing else was written, as is usual for a '
        'request that was answered, unless lines were dropped',
    )


def _end_text(
    last: log_files.LogLine,
    own: Sequence[log_files.LogLine],
) -> str:
    fields = last.fields
    failures = [_what(line) for line in own if line.event == _FAILED]
    room = f'{fields["with_room"]} of {fields["targets"]} targets had room'
    tries = '; '.join(failures) or 'no attempt failed'
    return f'{_said(fields)}. Attempts: {tries}. At the end {room}'


def _said(fields: Mapping[str, Any]) -> str:
    """Return how the request ended, in the words of its last line."""
    if fields['outcome'] == Cause.ABANDONED.value:
        return f'The caller left after {fields["taken_ms"]} ms'
    return fields['what'] or f'Answered with status {fields["status"]}'


def _what(line: log_files.LogLine) -> str:
    choice = line.fields.get('choice', {})
    target = choice.get('target', '?')
    chance = choice.get('chance', '?')
    return (
        f'{target} after {line.fields.get("taken_ms", "?")} ms: '
        f'{line.fields.get("what", "?")} (chosen at a chance of failure of '
        f'{chance}, known for {choice.get("belief_age_ms", "?")} ms)'
    )


def _died_within(
    last: log_files.LogLine,
    all_lines: Sequence[log_files.LogLine],
) -> bool:
    """Tell whether the daemon died while it may have had the request.

    Its next life begins without an end of this one in order, and its last
    sign of life comes before the request's time was over: afterwards there
    would be a line about a failure.
    """
    seen = last.time
    for line in all_lines:
        if line.instance_id != last.instance_id or line.time <= last.time:
            continue
        if line.event == _STOPPED:
            return False
        if line.event == _STARTED:
            lived_ms = (seen - last.time).total_seconds() * _MS_PER_S
            return lived_ms <= float(last.fields.get('left_ms', 0))
        seen = line.time
    return False


def _known(
    own: Sequence[log_files.LogLine],
    all_lines: Sequence[log_files.LogLine],
) -> Iterator[Known]:
    """Return the newest lines of each sort before each daemon's first step."""
    for instance_id in dict.fromkeys(line.instance_id for line in own):
        first = next(one for one in own if one.instance_id == instance_id)
        newest = {
            line.event: line
            for line in all_lines
            if line.instance_id == instance_id and line.time <= first.time
        }
        told = [event for event in _BELIEFS if event in newest]
        for event in told:
            yield _known_line(newest[event], first)


def _known_line(
    line: log_files.LogLine,
    first: log_files.LogLine,
) -> Known:
    return Known(
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


def _text(when: str, told: Step | Known) -> str:
    fields = msgspec.json.encode(told.fields).decode()
    return f'  {when:>14}  {told.instance_id}  {told.event}  {fields}'
