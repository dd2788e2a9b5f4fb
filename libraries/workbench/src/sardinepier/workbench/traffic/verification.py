"""Compares what callers were told with what the targets have run.

The targets' own counts are the witness: what a daemon believes is no proof.
"""

import pathlib
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import errors
from sardinepier.standins import target_executions
from sardinepier.workbench.traffic import options, records

_ASK_TIMEOUT: Final = aiohttp.ClientTimeout(total=10)


class WitnessUnavailableError(errors.SardinepierError):
    """A target's counts could not be read, so nothing can be concluded."""


class Verdict(msgspec.Struct, frozen=True):
    """Where callers were told something that the targets contradict.

    ``doubled`` are keys which ran more than once. ``false_not_run`` are keys
    and tags which ran although the last word on them was ``not-run``.
    ``lost`` are those which did not run although they were ``completed``.
    """

    keys_run: int
    executions_by_key_max: int
    doubled: tuple[str, ...]
    false_not_run: tuple[str, ...]
    lost: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether nobody was told anything untrue and no key ran twice."""
        return not (self.doubled or self.false_not_run or self.lost)


class Executions(msgspec.Struct, frozen=True):
    """Executions of all targets together."""

    by_key: dict[str, int]
    by_tag: dict[str, int]


async def ask_targets(targets: Iterable[options.Endpoint]) -> Executions:
    """Add up the counts that live targets report over HTTP."""
    by_key: Counter[str] = Counter()
    by_tag: Counter[str] = Counter()
    async with aiohttp.ClientSession(timeout=_ASK_TIMEOUT) as session:
        for target in targets:
            counts = await _ask_target(session, target)
            by_key.update(counts.by_key)
            by_tag.update(counts.by_tag)
    return Executions(by_key, by_tag)


def read_files(paths: Iterable[pathlib.Path]) -> Executions:
    """Add up the executions files, which also outlive killed targets."""
    by_key: Counter[str] = Counter()
    by_tag: Counter[str] = Counter()
    for path in paths:
        for execution in target_executions.read_executions(path):
            by_key.update([execution.key] if execution.key else [])
            by_tag.update([execution.tag] if execution.tag else [])
    return Executions(by_key, by_tag)


def compare(
    requests: Sequence[records.RequestRecord],
    executions: Executions,
) -> Verdict:
    """Return where the callers' and the targets' stories differ."""
    uses = [use for request in requests for use in request.keys]
    ran = executions.by_key
    return Verdict(
        keys_run=sum(1 for use in uses if use.key in ran),
        executions_by_key_max=max(ran.values(), default=0),
        doubled=tuple(key for key, count in ran.items() if count > 1),
        false_not_run=(
            *_told(uses, records.Kind.NOT_RUN, ran, ran_wanted=True),
            *_tags_told_not_run(requests, executions.by_tag),
        ),
        lost=(
            *_told(uses, records.Kind.COMPLETED, ran, ran_wanted=False),
            *_tags_lost(requests, executions.by_tag),
        ),
    )


def _told(
    uses: Iterable[records.KeyUse],
    last: records.Kind,
    ran: dict[str, int],
    *,
    ran_wanted: bool,
) -> list[str]:
    return [
        use.key
        for use in uses
        if use.last is last and (use.key in ran) == ran_wanted
    ]


def _tags_told_not_run(
    requests: Iterable[records.RequestRecord],
    ran: dict[str, int],
) -> list[str]:
    """Return the tags of which every attempt was refused, and which ran."""
    return [
        request.tag
        for request in requests
        if request.tag in ran and _never_sent(request)
    ]


def _never_sent(request: records.RequestRecord) -> bool:
    proved = {records.Kind.NOT_RUN, records.Kind.NOT_CONNECTED}
    return all(attempt.kind in proved for attempt in request.attempts)


def _tags_lost(
    requests: Iterable[records.RequestRecord],
    ran: dict[str, int],
) -> list[str]:
    return [
        request.tag
        for request in requests
        if request.kind is records.Kind.COMPLETED and request.tag not in ran
    ]


async def _ask_target(
    session: aiohttp.ClientSession,
    target: options.Endpoint,
) -> target_executions.ExecutionCounts:
    url = f'{target.url}/control/executions'
    try:
        async with session.get(url) as reply:
            raw = await reply.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WitnessUnavailableError(
            f'The target at {target.ip}:{target.port} gave no counts: {error}',
            'Start it again with its executions file, or name that file',
        ) from error
    return msgspec.json.decode(raw, type=target_executions.ExecutionCounts)
