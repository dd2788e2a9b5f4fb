"""The text of the metrics, read back by the library that everybody uses."""

import pytest
from hypothesis import given, strategies
from prometheus_client import parser
from sardinepier.telemetry import exposition, metrics

HELP_TEXTS = {
    'requests': 'Requests by outcome.',
    'duration_ms': 'How long they took.',
    'age_s': 'How old it is.',
}


def families(measured, *gauges):
    text = exposition.text(measured.snapshot(), gauges, HELP_TEXTS)
    return {
        family.name: family
        for family in parser.text_string_to_metric_families(text)
    }


def test_counters_gauges_and_summaries_are_read_back():
    measured = metrics.Metrics()
    measured.counter('requests', outcome='good').add(3)
    measured.counter('requests', outcome='bad').add(1)
    for duration_ms in range(1, 101):
        measured.histogram('duration_ms', service='a').record(duration_ms)
    found = families(measured, exposition.Gauge('age_s', 1.5))
    counts = {
        sample.labels['outcome']: sample.value
        for sample in found['sardinepier_requests'].samples
    }
    assert counts == {'good': 3, 'bad': 1}
    assert found['sardinepier_age_s'].samples[0].value == 1.5
    quantiles = {
        sample.labels.get('quantile'): sample.value
        for sample in found['sardinepier_duration_ms'].samples
    }
    assert quantiles['0.5'] == pytest.approx(50, rel=0.05)
    assert quantiles[None] == 100


def test_each_name_has_its_help_and_type():
    measured = metrics.Metrics()
    measured.counter('requests', outcome='good').add()
    found = families(measured)['sardinepier_requests']
    assert (found.type, found.documentation) == (
        'counter',
        HELP_TEXTS['requests'],
    )


def test_a_name_without_help_is_a_fault():
    measured = metrics.Metrics()
    measured.counter('nobody_knows').add()
    with pytest.raises(KeyError):
        families(measured)


@given(strategies.text(strategies.characters(exclude_categories=('Cs', 'Cc'))))
def test_any_label_survives(label):
    measured = metrics.Metrics()
    measured.counter('requests', outcome=label).add()
    found = families(measured)['sardinepier_requests'].samples
    assert found[0].labels['outcome'] == label


def test_quotes_and_line_ends_in_labels_survive():
    measured = metrics.Metrics()
    label = '"'.join(('a', chr(92), 'c', chr(10)))
    measured.counter('requests', outcome=label).add()
    found = families(measured)['sardinepier_requests'].samples
    assert found[0].labels['outcome'] == label
