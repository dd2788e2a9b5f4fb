"""Generates the operators' reference of all settings files and keys.

``python -m sardinepier.settings.reference > docs/settings.md`` regenerates
the page. Types, ranges, defaults and meanings come from the schema that also
validates the files, so the page can't disagree with the validation.
"""

import dataclasses
import sys
from collections.abc import Iterator, Mapping
from typing import Any, Final

from sardinepier.settings import model
from sardinepier.settings.internal import (
    checking,
    examples,
    kinds,
    layouts,
    reference_text,
    schema,
)


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReference:
    """One key. ``default`` is ``None`` when the key is required.

    ``value_range`` is empty for types without bounds, such as names.
    """

    key: str
    value_type: str
    value_range: str
    default: str | None
    meaning: str


@dataclasses.dataclass(frozen=True, slots=True)
class SectionReference:
    """One section. ``title`` is as in a file, for example ``zone NAME``."""

    title: str
    meaning: str
    keys: tuple[KeyReference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FileReference:
    """One kind of file, with a valid example."""

    title: str
    sections: tuple[SectionReference, ...]
    example: str


_SAME_AS_OWN: Final = 'the same as its own'


def files() -> tuple[FileReference, ...]:
    """Return the reference of all kinds of files."""
    return (
        _file('The file `fleet`', layouts.FLEET, examples.FLEET),
        _file('Files `service/<name>`', layouts.SERVICE, examples.SERVICE),
        _file('The file of a daemon', layouts.INSTANCE, examples.INSTANCE),
    )


def markdown() -> str:
    """Return the whole reference page as Markdown."""
    parts = [reference_text.INTRODUCTION]
    for file in files():
        parts.extend(_file_parts(file))
    parts.append(reference_text.RULES)
    return '\n'.join(parts)


def _file(
    title: str,
    layout: checking.Layout,
    example: str,
) -> FileReference:
    titles: Mapping[str, type[schema.Section]] = {
        **layout.single,
        **{
            f'{kind} NAME': section_kind
            for kind, section_kind in layout.named.items()
        },
    }
    sections = tuple(
        _section(section_title, kind) for section_title, kind in titles.items()
    )
    return FileReference(title, sections, example)


def _section(title: str, kind: type[schema.Section]) -> SectionReference:
    keys = tuple(
        KeyReference(
            key=key,
            value_type=kinds.find_kind(field).phrase,
            value_range=kinds.range_phrase(field),
            default=_default(field),
            meaning=' '.join((field.description or '').split()),
        )
        for key, field in kind.model_fields.items()
    )
    return SectionReference(title, kind.__doc__ or '', keys)


def _default(field: Any) -> str | None:
    if field.is_required():
        return None
    match field.default:
        case ():
            return 'empty'
        case bool():
            return 'yes' if field.default else 'no'
        case model.Priority():
            return field.default.name.lower()
        case float():
            return f'{field.default:g}'
        case schema.OWN_IP | schema.OWN_PORT:
            return _SAME_AS_OWN
    return str(field.default)


def _file_parts(file: FileReference) -> Iterator[str]:
    yield f'\n## {file.title}\n'
    yield f'```ini\n{file.example}```'
    for section in file.sections:
        yield f'\n### `[{section.title}]`\n'
        yield f'{_paragraphs(section.meaning)}\n'
        yield '| key | value | default | meaning |'
        yield '|---|---|---|---|'
        yield from (_row(key) for key in section.keys)


def _paragraphs(text: str) -> str:
    return '\n'.join(line.strip() for line in text.strip().splitlines())


def _row(key: KeyReference) -> str:
    value = f'{key.value_type} {key.value_range}'.rstrip()
    default = 'none: write it' if key.default is None else key.default
    return f'| `{key.key}` | {value} | {default} | {key.meaning} |'


def _main() -> None:
    sys.stdout.write(markdown())


if __name__ == '__main__':
    _main()
