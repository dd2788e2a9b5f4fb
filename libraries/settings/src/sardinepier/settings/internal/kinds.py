"""Descriptions of value types, for messages and the reference."""

import dataclasses
from typing import Any

import annotated_types
from pydantic import fields


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Annotation of a field type: a noun phrase and a valid example.

    ``phrase`` fits after "write" and after "is not": ``a whole number``.
    """

    phrase: str
    example: str


def find_kind(field: fields.FieldInfo) -> Kind:
    """Return the ``Kind`` with which the field's type is annotated."""
    return next(
        annotation
        for annotation in field.metadata
        if isinstance(annotation, Kind)
    )


def range_phrase(field: fields.FieldInfo) -> str:
    """Return the bounds: ``from 1 to 65535``. Empty without bounds."""
    highest = _find_bound(field, annotated_types.Le, 'le')
    if highest is None:
        return ''
    lowest = _find_bound(field, annotated_types.Ge, 'ge')
    if lowest is None:
        above = _find_bound(field, annotated_types.Gt, 'gt')
        return f'above {above} and up to {highest}'
    return f'from {lowest} to {highest}'


def full_phrase(field: fields.FieldInfo) -> str:
    """Return kind and bounds: ``a whole number from 1 to 65535``."""
    phrase = find_kind(field).phrase
    return f'{phrase} {range_phrase(field)}'.rstrip()


def _find_bound(
    field: fields.FieldInfo,
    kind: type,
    attribute: str,
) -> Any:
    for annotation in field.metadata:
        if isinstance(annotation, kind):
            return getattr(annotation, attribute)
    return None
