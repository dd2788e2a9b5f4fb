"""Checks of arguments, so that an invalid option fails at the start."""

from sardinepier.routing import errors


def positive(name: str, number: float) -> None:
    """Raise :class:`errors.RoutingOptionError` unless ``number`` > 0."""
    if number <= 0:
        raise errors.RoutingOptionError(
            f'{name} is {number}',
            'Pass a number greater than 0',
        )


def not_negative(name: str, number: float) -> None:
    """Raise :class:`errors.RoutingOptionError` if ``number`` < 0."""
    if number < 0:
        raise errors.RoutingOptionError(
            f'{name} is {number}',
            'Pass 0 or a greater number',
        )


def percentage(name: str, number: float) -> None:
    """Raise :class:`errors.RoutingOptionError` unless it is 0 to 100."""
    if not 0 <= number <= 100:
        raise errors.RoutingOptionError(
            f'{name} is {number}',
            'Pass a percentage between 0 and 100',
        )


def share(name: str, number: float) -> None:
    """Raise :class:`errors.RoutingOptionError` unless it is 0 to 1."""
    if not 0 <= number <= 1:
        raise errors.RoutingOptionError(
            f'{name} is {number}',
            'Pass a number between 0 and 1',
        )
