"""Compares the outcomes that callers got with what the targets ran.

The targets' own counts are the evidence; what a daemon reports is none.
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

_REQUEST_TIMEOUT: Final = aiohttp.ClientTimeout(total=10)


class WitnessUnavailableError(errors.SardinepierError):
    """A target's counts could not be read, so there is no verdict."""


class Verdict(msgspec.Struct, frozen=True):
    """Outcomes of callers that the targets' counts contradict.

    ``doubled`` are keys that ran more than once. ``false_not_run`` are keys
    and tags that ran although their last outcome was ``not-run``. ``lost``
    are those that did not run although their outcome was ``completed``.
    """

    keys_run: int
    executions_by_key_max: int
    doubled: tuple[str, ...]
    false_not_run: tuple[str, ...]
    lost: tuple[str, ...]

    @property
    def holds(self) -> bool:
        """Whether no outcome was false and no key ran twice."""
        return not (self.doubled or self.false_not_run or self.lost)


class Executions(msgspec.Struct, frozen=True):
    """Counts of executions over all targets."""

    by_key: dict[str, int]
    by_tag: dict[str, int]


async def fetch_counts(targets: Iterable[options.Endpoint]) -> Executions:
    """Add up the counts that running targets report over HTTP."""
    by_key: Counter[str] = Counter()
    by_tag: Counter[str] = Counter()
    async with aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT) as session:
        for target in targets:
            counts = await _fetch_target_counts(session, target)
            by_key.update(counts.by_key)
            by_tag.update(counts.by_tag)
    return Executions(by_key, by_tag)


def read_files(paths: Iterable[pathlib.Path]) -> Executions:
    """Add up the counts in executions files, which survive killed targets."""
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
    """Return the outcomes of callers that the executions contradict."""
    uses = [use for request in requests for use in request.keys]
    ran = executions.by_key
    return Verdict(
        keys_run=sum(1 for use in uses if use.key in ran),
        executions_by_key_max=max(ran.values(), default=0),
        doubled=tuple(key for key, count in ran.items() if count > 1),
        false_not_run=(
            *_keys_reported(uses, records.Kind.NOT_RUN, ran, ran_wanted=True),
            *_tags_reported_not_run(requests, executions.by_tag),
        ),
        lost=(
            *_keys_reported(
                uses, records.Kind.COMPLETED, ran, ran_wanted=False
            ),
            *_tags_lost(requests, executions.by_tag),
        ),
    )


def _keys_reported(
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


def _tags_reported_not_run(
    requests: Iterable[records.RequestRecord],
    ran: dict[str, int],
) -> list[str]:
    """Return tags that ran although every attempt was refused or not sent."""
    return [
        request.tag
        for request in requests
        if request.tag in ran and _never_sent(request)
    ]


def _never_sent(request: records.RequestRecord) -> bool:
    not_sent_kinds = {records.Kind.NOT_RUN, records.Kind.NOT_CONNECTED}
    return all(attempt.kind in not_sent_kinds for attempt in request.attempts)


def _tags_lost(
    requests: Iterable[records.RequestRecord],
    ran: dict[str, int],
) -> list[str]:
    return [
        request.tag
        for request in requests
        if request.kind is records.Kind.COMPLETED and request.tag not in ran
    ]


async def _fetch_target_counts(
    session: aiohttp.ClientSession,
    target: options.Endpoint,
) -> target_executions.ExecutionCounts:
    url = f'{target.url}/control/executions'
    try:
        async with session.get(url) as response:
            raw = await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WitnessUnavailableError(
            f'The target at {target.ip}:{target.port} returned no counts: {error}',
            'Restart it with its executions file, or pass that file',
        ) from error
    return msgspec.json.decode(raw, type=target_executions.ExecutionCounts)
