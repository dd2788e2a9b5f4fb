"""Overrides constants of the decision path for one run.

To disable a mechanism, override a constant such that it never acts, for
example ``entry.exploration._SUSPECTED_IDLE_S=inf``. No production setting
does that.
"""

import contextlib
import importlib
from collections.abc import Iterator, Sequence
from typing import Final

from sardinepier.core import errors

_ROOT: Final = 'sardinepier'


class OverrideError(errors.SardinepierError):
    """An override names no existing constant, or its value is no number."""


@contextlib.contextmanager
def applied(overrides: Sequence[str]) -> Iterator[None]:
    """Apply each ``library.module.NAME=number`` within the context."""
    with contextlib.ExitStack() as stack:
        for override in overrides:
            stack.enter_context(_applied(override))
        yield


@contextlib.contextmanager
def _applied(override: str) -> Iterator[None]:
    path, _, number_text = override.partition('=')
    module_name, _, constant_name = path.rpartition('.')
    try:
        module = importlib.import_module(f'{_ROOT}.{module_name}')
        before = getattr(module, constant_name)
        number = type(before)(float(number_text))
    except (ImportError, AttributeError, ValueError) as error:
        raise OverrideError(
            f'The override {override!r} cannot be used: {error}',
            'Write it as library.module.NAME=number',
        ) from error
    setattr(module, constant_name, number)
    try:
        yield
    finally:
        setattr(module, constant_name, before)
