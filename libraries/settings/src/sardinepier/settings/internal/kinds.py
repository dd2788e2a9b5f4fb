"""How a value that a file may hold is named in messages and in the docs."""

import dataclasses
from typing import Any

import annotated_types
from pydantic import fields


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Annotation of a value type: a noun phrase and one good value.

    ``phrase`` fits after "write" and after "is not": ``a whole number``.
    """

    phrase: str
    example: str


def find_kind(field: fields.FieldInfo) -> Kind:
    """Give the kind with which the type of the field is annotated."""
    return next(item for item in field.metadata if isinstance(item, Kind))


def range_phrase(field: fields.FieldInfo) -> str:
    """Give the bounds as words: ``from 1 to 65535``. Empty without bounds."""
    highest = _find_bound(field, annotated_types.Le, 'le')
    if highest is None:
        return ''
    lowest = _find_bound(field, annotated_types.Ge, 'ge')
    if lowest is None:
        above = _find_bound(field, annotated_types.Gt, 'gt')
        return f'above {above} and up to {highest}'
    return f'from {lowest} to {highest}'


def full_phrase(field: fields.FieldInfo) -> str:
    """Give kind and bounds: ``a whole number from 1 to 65535``."""
    phrase = find_kind(field).phrase
    return f'{phrase} {range_phrase(field)}'.rstrip()


def _find_bound(
    field: fields.FieldInfo,
    kind: type,
    attribute: str,
) -> Any:
    for item in field.metadata:
        if isinstance(item, kind):
            return getattr(item, attribute)
    return None
