"""The error by which a check of one value gives its reason to pydantic."""

from sardinepier.core import errors
from sardinepier.settings.internal import display, kinds


class RejectedValueError(errors.SardinepierError, ValueError):
    """One value breaks a rule that a type and a range cannot express.

    It is a ``ValueError`` because that is what pydantic collects. The reader
    of a file turns it into a problem and never lets it out.
    """


def not_of_kind(text: str, kind: kinds.Kind) -> RejectedValueError:
    """Give the error for text which is not of the kind at all."""
    return RejectedValueError(
        f'{display.quoted(text)} is not {kind.phrase}',
        f'Write {kind.phrase}, for example `{kind.example}`',
    )
