"""``sardinepier check``: every mistake of some settings files at once."""

import dataclasses
import re
from collections.abc import Callable, Iterable
from typing import Final, TypeAlias

import msgspec
from sardinepier.cli import context, exit_codes
from sardinepier.cli.internal import tables
from sardinepier.core import errors as core_errors
from sardinepier.settings import errors as settings_errors
from sardinepier.settings import model, parsing

Checked = model.InstanceSettings | model.FleetSettings | model.ServiceSettings

_Parser: TypeAlias = Callable[[str, str], Checked]
_PARSERS: Final[dict[str, _Parser]] = {
    'instance': parsing.parse_instance,
    'fleet': parsing.parse_fleet,
    'service': parsing.parse_service,
}
_FIRST_SECTION: Final = re.compile(r'^\s*\[([^]\n]*)\]', re.MULTILINE)


class Mistake(msgspec.Struct, frozen=True):
    """One mistake: where it is, what is wrong, and what to write."""

    section: str | None
    key: str | None
    what: str
    remedy: str


class FileReport(msgspec.Struct, frozen=True):
    """One file; ``kind`` is empty when its first section tells none."""

    file: str
    kind: str
    problems: tuple[Mistake, ...]


class CheckReport(msgspec.Struct, frozen=True):
    """All files, and the mistakes that show only between them."""

    files: tuple[FileReport, ...]
    together: tuple[FileReport, ...]

    def lines(self) -> tuple[str, ...]:
        """Return a line for each file and one for each mistake."""
        written = []
        for found in (*self.files, *self.together):
            written.append(_headline(found))
            written.extend(tables.indented(map(_line, found.problems)))
        return tuple(written)

    def diagnostics(self) -> tuple[str, ...]:
        """Mistakes are the result, not trouble on the way to it."""
        return ()

    def exit_code(self) -> exit_codes.ExitCode:
        """A mistake anywhere is a negative result."""
        if any(each.problems for each in (*self.files, *self.together)):
            return exit_codes.ExitCode.NEGATIVE
        return exit_codes.ExitCode.OK


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    report: FileReport
    settings: Checked | None = None


async def report(paths: Iterable[str], _: context.Context) -> CheckReport:
    """Check each file alone, and then those that are right together."""
    read = [_read(path) for path in dict.fromkeys(paths)]
    return CheckReport(
        tuple(each.report for each in read),
        _grouped(_find_between(read)),
    )


def _read(path: str) -> _Read:
    kind = ''
    try:
        text = parsing.read_text(path)
        kind = _kind_of(text, path)
        return _Read(FileReport(path, kind, ()), _PARSERS[kind](text, path))
    except settings_errors.InvalidSettingsError as invalid:
        problems = tuple(map(_mistake, invalid.problems))
        return _Read(FileReport(path, kind, problems))
    except core_errors.SardinepierError as failure:
        mistake = Mistake(None, None, failure.what, failure.remedy)
        return _Read(FileReport(path, kind, (mistake,)))


def _kind_of(text: str, path: str) -> str:
    match = _FIRST_SECTION.search(text)
    title = match.group(1).strip() if match else ''
    if title in _PARSERS:
        return title
    known = ', '.join(f'[{kind}]' for kind in _PARSERS)
    raise settings_errors.InvalidSettingsError(
        (
            settings_errors.Problem(
                path,
                title or None,
                None,
                'the first section does not tell the kind of the file',
                f'Begin the file with one of {known}',
            ),
        )
    )


def _find_between(read: Iterable[_Read]) -> Iterable[settings_errors.Problem]:
    right = [each.settings for each in read]
    fleets = [each for each in right if isinstance(each, model.FleetSettings)]
    services = tuple(
        each for each in right if isinstance(each, model.ServiceSettings)
    )
    if len(fleets) > 1:
        yield settings_errors.Problem(
            'fleet',
            None,
            None,
            'more than one file describes the fleet',
            'Check the files of one fleet at a time',
        )
    for fleet in fleets[:1]:
        yield from parsing.check_across_files(fleet, services)
        for instance in right:
            if isinstance(instance, model.InstanceSettings):
                yield from parsing.check_instance(instance, fleet)


def _grouped(
    problems: Iterable[settings_errors.Problem],
) -> tuple[FileReport, ...]:
    by_source: dict[str, list[Mistake]] = {}
    for problem in problems:
        by_source.setdefault(problem.source, []).append(_mistake(problem))
    return tuple(
        FileReport(source, 'together', tuple(mistakes))
        for source, mistakes in by_source.items()
    )


def _mistake(problem: settings_errors.Problem) -> Mistake:
    return Mistake(
        problem.section,
        problem.key,
        problem.what,
        problem.remedy,
    )


def _headline(found: FileReport) -> str:
    kind = found.kind or 'unknown kind'
    if found.problems:
        return f'{found.file} ({kind}): {len(found.problems)} problem(s)'
    return f'{found.file} ({kind}): ok'


def _line(mistake: Mistake) -> str:
    place = ''
    if mistake.section is not None:
        place = f'[{mistake.section}] '
    if mistake.key is not None:
        place = f'{place}{mistake.key}: '
    return tables.plain(f'{place}{mistake.what}. {mistake.remedy}.')
