"""``sardinepier check``: reports all mistakes of settings files at once."""

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
    """One file; ``kind`` is empty when its first section names no kind."""

    file: str
    kind: str
    problems: tuple[Mistake, ...]


class CheckReport(msgspec.Struct, frozen=True):
    """All files, and in ``together`` the mistakes between files."""

    files: tuple[FileReport, ...]
    together: tuple[FileReport, ...]

    def lines(self) -> tuple[str, ...]:
        """Return a line for each file and one for each mistake."""
        lines = []
        for file_report in (*self.files, *self.together):
            lines.append(_headline(file_report))
            lines.extend(
                tables.indented(map(_mistake_line, file_report.problems))
            )
        return tuple(lines)

    def diagnostics(self) -> tuple[str, ...]:
        """Return nothing: mistakes are the report itself."""
        return ()

    def exit_code(self) -> exit_codes.ExitCode:
        """Return ``NEGATIVE`` when any file has a mistake."""
        if any(
            file_report.problems
            for file_report in (*self.files, *self.together)
        ):
            return exit_codes.ExitCode.NEGATIVE
        return exit_codes.ExitCode.OK


@dataclasses.dataclass(frozen=True, slots=True)
class _CheckedFile:
    report: FileReport
    settings: Checked | None = None


async def report(paths: Iterable[str], _: context.Context) -> CheckReport:
    """Check each file by itself, then the valid files against each other."""
    checked_files = [_check_file(path) for path in dict.fromkeys(paths)]
    return CheckReport(
        tuple(checked_file.report for checked_file in checked_files),
        _group_by_source(_find_cross_file_problems(checked_files)),
    )


def _check_file(path: str) -> _CheckedFile:
    kind = ''
    try:
        text = parsing.read_text(path)
        kind = _kind_of(text, path)
        return _CheckedFile(
            FileReport(path, kind, ()), _PARSERS[kind](text, path)
        )
    except settings_errors.InvalidSettingsError as error:
        problems = tuple(map(_mistake, error.problems))
        return _CheckedFile(FileReport(path, kind, problems))
    except core_errors.SardinepierError as error:
        mistake = Mistake(None, None, error.what, error.remedy)
        return _CheckedFile(FileReport(path, kind, (mistake,)))


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


def _find_cross_file_problems(
    checked_files: Iterable[_CheckedFile],
) -> Iterable[settings_errors.Problem]:
    valid_settings = [checked_file.settings for checked_file in checked_files]
    fleets = [
        settings
        for settings in valid_settings
        if isinstance(settings, model.FleetSettings)
    ]
    services = tuple(
        settings
        for settings in valid_settings
        if isinstance(settings, model.ServiceSettings)
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
        for instance in valid_settings:
            if isinstance(instance, model.InstanceSettings):
                yield from parsing.check_instance(instance, fleet)


def _group_by_source(
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


def _headline(checked: FileReport) -> str:
    kind = checked.kind or 'unknown kind'
    if checked.problems:
        return f'{checked.file} ({kind}): {len(checked.problems)} problem(s)'
    return f'{checked.file} ({kind}): ok'


def _mistake_line(mistake: Mistake) -> str:
    place = ''
    if mistake.section is not None:
        place = f'[{mistake.section}] '
    if mistake.key is not None:
        place = f'{place}{mistake.key}: '
    return tables.plain(f'{place}{mistake.what}. {mistake.remedy}.')
