"""From the raw sections of a file to checked ones, all problems collected."""

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
    """The sections of a file: titles alone, and kinds that carry a name.

    ``[fleet]`` stands alone, ``[zone NAME]`` carries a name.
    """

    single: Mapping[str, type[schema.Section]]
    named: Mapping[str, type[schema.Section]]

    def titles(self) -> list[str]:
        """Give all allowed titles as an operator writes them."""
        return [*self.single, *(f'{kind} NAME' for kind in self.named)]


class FileCheck:
    """The check of one file, which collects problems until the end."""

    def __init__(self, text: str, source: str, layout: Layout) -> None:
        """Read the syntax and refuse unknown sections."""
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
        """Check a section that stands alone. ``None`` when it is faulty."""
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
        """Check all sections of a kind. Faulty ones are left out."""
        prefix = _find_title(self._layout.named, kind)
        found: dict[str, SectionT] = {}
        is_present = False
        for section in self._sections:
            word, _, name = section.title.partition(_SEPARATOR)
            if word != prefix:
                continue
            is_present = True
            checked = self._check(section, kind)
            if checked is not None:
                found[name] = checked
        if not is_present:
            self.report(
                None,
                None,
                f'No section `[{prefix} NAME]` is there',
                f'Add at least one `[{prefix} NAME]`',
            )
        return found

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
        """Give the error that carries the problems, up to a bound."""
        shown = self.problems[:MAX_PROBLEMS]
        if len(self.problems) > MAX_PROBLEMS:
            hidden = len(self.problems) - MAX_PROBLEMS
            shown.append(
                errors.Problem(
                    self.source,
                    section=None,
                    key=None,
                    what=f'{hidden} more problem(s) are not listed',
                    remedy='Correct the others first',
                ),
            )
        return errors.InvalidSettingsError(tuple(shown))

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
        near = difflib.get_close_matches(title, known, n=1)
        allowed = [f'[{word}]' for word in near or known]
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
        # Others are only counted, and finding a remedy takes long.
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
    near = difflib.get_close_matches(key.lower(), known, n=1)
    if near:
        return f'Write {display.quoted(near[0])}, or remove the line'
    return f'Remove the line. Known keys are {display.listed(known, "and")}'


def _missing_key_remedy(key: str, kind: type[schema.Section]) -> str:
    field = kind.model_fields[key]
    example = kinds.find_kind(field).example
    return f'Add {kinds.full_phrase(field)}, for example `{key} = {example}`'
