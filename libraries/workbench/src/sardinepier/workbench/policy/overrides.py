"""Figures of the decision path that are set otherwise for one run.

A mechanism is taken out by a figure that keeps it from ever acting, for
example ``entry.exploration._SUSPECTED_IDLE_S=inf``. No production setting does that.
"""

import contextlib
import importlib
from collections.abc import Iterator, Sequence
from typing import Final

from sardinepier.core import errors

_ROOT: Final = 'sardinepier'


class OverrideError(errors.SardinepierError):
    """An override names nothing, or gives no number."""


@contextlib.contextmanager
def applied(overrides: Sequence[str]) -> Iterator[None]:
    """Set each ``library.module.NAME=number`` within the context."""
    with contextlib.ExitStack() as stack:
        for text in overrides:
            stack.enter_context(_applied(text))
        yield


@contextlib.contextmanager
def _applied(text: str) -> Iterator[None]:
    place, _, number_text = text.partition('=')
    path, _, name = place.rpartition('.')
    try:
        module = importlib.import_module(f'{_ROOT}.{path}')
        before = getattr(module, name)
        number = type(before)(float(number_text))
    except (ImportError, AttributeError, ValueError) as error:
        raise OverrideError(
            f'The override {text!r} can not be used: {error}',
            'Write it as library.module.NAME=number',
        ) from error
    setattr(module, name, number)
    try:
        yield
    finally:
        setattr(module, name, before)
