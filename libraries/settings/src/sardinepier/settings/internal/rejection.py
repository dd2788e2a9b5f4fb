"""The error that validators raise to pass a reason through pydantic."""

from sardinepier.core import errors
from sardinepier.settings.internal import display, kinds


class RejectedValueError(errors.SardinepierError, ValueError):
    """A value breaks a rule that a type and its bounds can't express.

    It is a ``ValueError`` because pydantic collects these. ``checking`` turns
    it into a problem, so callers of the library never see it.
    """


def not_of_kind(text: str, kind: kinds.Kind) -> RejectedValueError:
    """Return the error for text that is not a valid value of the kind."""
    return RejectedValueError(
        f'{display.quoted(text)} is not {kind.phrase}',
        f'Write {kind.phrase}, for example `{kind.example}`',
    )
