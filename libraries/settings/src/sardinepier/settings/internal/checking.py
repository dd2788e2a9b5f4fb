"""Validates the raw sections of a file and collects all problems."""

import dataclasses
import difflib
from collections.abc import Mapping
from typing import Any, Final, TypeVar

import pydantic

from sardinepier.settings import errors
from sardinepier.settings.internal import (
    display,
    ini,
    kinds,
    rejection,
    schema,
    text_types,
)

SectionT = TypeVar('SectionT', bound=schema.Section)

MAX_PROBLEMS: Final = 200
_NOT_LISTED: Final = 'not listed'
_SEPARATOR: Final = ' '


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The sections that a kind of file may have.

    ``single`` maps titles of sections without a name, such as ``[fleet]``.
    ``named`` maps the first word of titles with a name: ``[zone NAME]``.
    """

    single: Mapping[str, type[schema.Section]]
    named: Mapping[str, type[schema.Section]]

    def titles(self) -> list[str]:
        """Return all allowed titles, such as ``fleet`` and ``zone NAME``."""
        return [*self.single, *(f'{kind} NAME' for kind in self.named)]


class FileCheck:
    """Validates one file and collects its problems."""

    def __init__(self, text: str, source: str, layout: Layout) -> None:
        """Read the sections and report unknown titles.

        Raises ``InvalidSettingsError`` when the file can't be read as INI.
        """
        self.source = source
        self.problems: list[errors.Problem] = []
        self._layout = layout
        document = ini.read(text, source)
        self.problems.extend(document.problems)
        if not document.complete:
            raise self.error()
        self._sections = document.sections
        for section in self._sections:
            self._check_title(section.title)

    def single(self, kind: type[SectionT]) -> SectionT | None:
        """Validate a section without a name; return ``None`` if invalid."""
        title = _find_title(self._layout.single, kind)
        for section in self._sections:
            if section.title == title:
                return self._check(section, kind)
        self.report(
            title,
            None,
            'The section is missing',
            f'Add a section `[{title}]`',
        )
        return None

    def named(self, kind: type[SectionT]) -> dict[str, SectionT]:
        """Validate all sections of a named kind; leave invalid ones out."""
        prefix = _find_title(self._layout.named, kind)
        valid_sections: dict[str, SectionT] = {}
        is_present = False
        for section in self._sections:
            title_kind, _, name = section.title.partition(_SEPARATOR)
            if title_kind != prefix:
                continue
            is_present = True
            valid_section = self._check(section, kind)
            if valid_section is not None:
                valid_sections[name] = valid_section
        if not is_present:
            self.report(
                None,
                None,
                f'No section `[{prefix} NAME]` is there',
                f'Add at least one `[{prefix} NAME]`',
            )
        return valid_sections

    def report(
        self,
        section: str | None,
        key: str | None,
        what: str,
        remedy: str,
    ) -> None:
        """Add a problem."""
        self.problems.append(
            errors.Problem(self.source, section, key, what, remedy),
        )

    def error(self) -> errors.InvalidSettingsError:
        """Return the error with at most ``MAX_PROBLEMS`` problems listed."""
        listed_problems = self.problems[:MAX_PROBLEMS]
        if len(self.problems) > MAX_PROBLEMS:
            hidden = len(self.problems) - MAX_PROBLEMS
            listed_problems.append(
                errors.Problem(
                    self.source,
                    section=None,
                    key=None,
                    what=f'{hidden} more problem(s) are not listed',
                    remedy='Correct the others first',
                ),
            )
        return errors.InvalidSettingsError(tuple(listed_problems))

    def _check_title(self, title: str) -> None:
        if title in self._layout.single:
            return
        kind, _, name = title.partition(_SEPARATOR)
        if kind in self._layout.named:
            self._check_name(title, name)
            return
        self.report(
            display.plain(title),
            None,
            'The section is unknown here',
            self._unknown_title_remedy(title),
        )

    def _unknown_title_remedy(self, title: str) -> str:
        if len(self.problems) >= MAX_PROBLEMS:
            return _NOT_LISTED
        known = self._layout.titles()
        close_matches = difflib.get_close_matches(title, known, n=1)
        allowed = [f'[{near_title}]' for near_title in close_matches or known]
        return f'Write {display.listed(allowed)}'

    def _check_name(self, title: str, name: str) -> None:
        if text_types.is_name(name):
            return
        self.report(
            display.plain(title),
            None,
            f'{display.quoted(name)} is not {text_types.NAME_KIND.phrase}',
            f'Write {text_types.NAME_KIND.phrase} after one blank',
        )

    def _check(
        self,
        section: ini.Section,
        kind: type[SectionT],
    ) -> SectionT | None:
        try:
            return kind.model_validate(section.entries)
        except pydantic.ValidationError as error:
            faults = error.errors(include_url=False)
        for fault in faults:
            self._report_fault(section, kind, fault)
        return None

    def _report_fault(
        self,
        section: ini.Section,
        kind: type[schema.Section],
        fault: Any,
    ) -> None:
        key = str(fault['loc'][0])
        what, remedy = _NOT_LISTED, _NOT_LISTED
        # Later problems are only counted: finding their remedies is slow.
        if len(self.problems) < MAX_PROBLEMS:
            what, remedy = _explain(key, kind, fault)
        self.report(
            display.plain(section.title),
            display.plain(key),
            what,
            remedy,
        )


def _find_title(
    titles: Mapping[str, type[schema.Section]],
    kind: type[schema.Section],
) -> str:
    return next(title for title, known in titles.items() if known is kind)


def _explain(
    key: str,
    kind: type[schema.Section],
    fault: Any,
) -> tuple[str, str]:
    if fault['type'] == 'extra_forbidden':
        return 'The key is unknown here', _unknown_key_remedy(key, kind)
    if fault['type'] == 'missing':
        return 'The key is missing', _missing_key_remedy(key, kind)
    reason = fault.get('ctx', {}).get('error')
    if isinstance(reason, rejection.RejectedValueError):
        return reason.what, reason.remedy
    phrase = kinds.full_phrase(kind.model_fields[key])
    return (
        f'{display.quoted(str(fault["input"]))} is not {phrase}',
        f'Write {phrase}',
    )


def _unknown_key_remedy(key: str, kind: type[schema.Section]) -> str:
    known = list(kind.model_fields)
    close_matches = difflib.get_close_matches(key.lower(), known, n=1)
    if close_matches:
        return f'Write {display.quoted(close_matches[0])}, or remove the line'
    return f'Remove the line. Known keys are {display.listed(known, "and")}'


def _missing_key_remedy(key: str, kind: type[schema.Section]) -> str:
    field = kind.model_fields[key]
    example = kinds.find_kind(field).example
    return f'Add {kinds.full_phrase(field)}, for example `{key} = {example}`'
