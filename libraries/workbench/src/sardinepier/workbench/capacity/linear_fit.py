"""Least squares, with the error of what they give."""

from collections.abc import Mapping, Sequence
from typing import Final

import msgspec
import numpy as np

from sardinepier.core import errors

CONSTANT: Final = 'constant'


class TooFewPointsError(errors.SardinepierError):
    """There are too few points for the error of what is fitted."""


class Estimate(msgspec.Struct, frozen=True):
    """A figure with its standard error."""

    figure: float
    error: float


class LinearFit(msgspec.Struct, frozen=True):
    """A constant and a slope for each quantity, with their covariance.

    ``residual_error`` is the standard deviation of the points from the fit.
    """

    names: tuple[str, ...]
    figures: tuple[float, ...]
    covariance: tuple[tuple[float, ...], ...]
    residual_error: float
    points: int

    def slope(self, name: str) -> Estimate:
        """Return the slope of a quantity, or that of ``CONSTANT``."""
        place = self.names.index(name)
        variance = self.covariance[place][place]
        return Estimate(self.figures[place], variance**0.5)

    def at(self, **quantities: float) -> Estimate:
        """Return the fit's value where the quantities are these.

        The error is that of the fit. It says nothing about a bend of the true
        curve beyond the points, so a value far outside of them is marked.
        """
        row = np.array([1.0, *(quantities[name] for name in self.names[1:])])
        variance = row @ np.array(self.covariance) @ row
        return Estimate(
            float(row @ np.array(self.figures)),
            float(variance) ** 0.5,
        )


def fit(
    quantities: Mapping[str, Sequence[float]],
    heights: Sequence[float],
) -> LinearFit:
    """Fit ``heights`` by a constant and a slope for each quantity.

    Raises ``TooFewPointsError`` when the points leave no freedom for an
    error, or don't tell two quantities apart.
    """
    columns = [np.ones(len(heights)), *map(np.array, quantities.values())]
    design = np.column_stack(columns).astype(float)
    freedom = len(heights) - len(columns)
    if freedom < 1 or np.linalg.matrix_rank(design) < len(columns):
        raise TooFewPointsError(
            f'{len(heights)} points do not give {len(columns)} figures with '
            'their errors',
            'Measure at more places that differ in each quantity',
        )
    measured = np.array(heights, float)
    found = np.linalg.lstsq(design, measured, rcond=None)[0]
    left = measured - design @ found
    variance = float(left @ left) / freedom
    covariance = variance * np.linalg.inv(design.T @ design)
    return LinearFit(
        names=(CONSTANT, *quantities),
        figures=tuple(map(float, found)),
        covariance=tuple(tuple(map(float, row)) for row in covariance),
        residual_error=variance**0.5,
        points=len(heights),
    )
