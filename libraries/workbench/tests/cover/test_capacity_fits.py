"""Fits give back what made the points, with an error that tells the truth."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.workbench.capacity import linear_fit, roles, samples, sizes

FIGURES = st.floats(min_value=-1000, max_value=1000)
PLACES = (3, 9, 12, 27, 48, 100)


@given(FIGURES, FIGURES, FIGURES)
def test_points_without_noise_give_back_their_slopes(base, first, second):
    others = (24.0, 12.0, 13.0, 36.0, 29.0, 5.0)
    heights = [
        base + first * place + second * other
        for place, other in zip(PLACES, others, strict=True)
    ]
    found = linear_fit.fit({'targets': PLACES, 'messages': others}, heights)
    assert found.slope('targets').figure == pytest.approx(first, abs=1e-6)
    assert found.slope('messages').figure == pytest.approx(second, abs=1e-6)
    expected = base + first * 288 + second * 325
    estimate = found.at(targets=288, messages=325)
    assert estimate.figure == pytest.approx(expected, rel=1e-6, abs=1e-4)
    assert estimate.error == pytest.approx(0, abs=1e-3)


def test_error_covers_the_true_slope_about_as_often_as_it_should():
    noise = random.Random(7)
    covered = 0
    for _ in range(400):
        heights = [5 + 0.5 * place + noise.gauss(0, 3) for place in PLACES]
        slope = linear_fit.fit({'daemons': PLACES}, heights).slope('daemons')
        covered += abs(slope.figure - 0.5) <= 2 * slope.error
    # Two standard errors with four degrees of freedom hold 88 in 100.
    assert 0.82 < covered / 400 < 0.94


@pytest.mark.parametrize(
    ('places', 'heights'),
    [([1, 2], [1, 2]), ([5, 5, 5], [1, 2, 3]), ([], [])],
)
def test_points_that_cannot_tell_a_line_are_refused(places, heights):
    with pytest.raises(linear_fit.TooFewPointsError):
        linear_fit.fit({'daemons': places}, heights)


@pytest.mark.parametrize(
    ('figure', 'error', 'limit', 'verdict'),
    [
        (1.0, 0.1, 1.4, 'OK'),
        (1.4, 0.0, 1.4, 'OK'),
        (1.35, 0.1, 1.4, 'FAILING'),
        (2.0, 0.0, 1.4, 'FAILING'),
        (9.0, 9.0, None, ''),
    ],
)
def test_an_error_counts_against_the_figure(figure, error, limit, verdict):
    line = roles.Line(
        role='gateway',
        what='processor time',
        figure=figure,
        unit='% of a core',
        basis=roles.Basis.MEASURED,
        module='gateway',
        error=error,
        limit=limit,
    )
    assert line.verdict == verdict


def test_samples_come_back_as_they_were_kept(tmp_path):
    kept = [
        samples.PartSample(
            part='health', name='tick', size=size, amount=1.5, unit='us'
        )
        for size in (6, 47)
    ]
    for sample in kept:
        samples.append(tmp_path, samples.PARTS_FILE, sample)
    found = samples.read(tmp_path, samples.PARTS_FILE, samples.PartSample)
    assert found == kept
    assert not samples.read(tmp_path, 'none.jsonl', samples.PartSample)


def test_target_size_is_shared_out_over_its_daemons():
    target = sizes.TARGET
    assert target.observers == 9
    assert target.services_per_daemon == pytest.approx(2.04)
    assert target.targets_per_daemon == pytest.approx(96)
