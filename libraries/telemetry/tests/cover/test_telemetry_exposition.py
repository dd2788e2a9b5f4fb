"""The metrics text is parsed by the Prometheus client library."""

import pytest
from hypothesis import given, strategies
from prometheus_client import parser
from sardinepier.telemetry import exposition, metrics

HELP_TEXTS = {
    'requests': 'Requests by outcome.',
    'duration_ms': 'Duration of requests.',
    'age_s': 'Age of the configuration.',
}


def families(recorded, *gauges):
    text = exposition.text(recorded.snapshot(), gauges, HELP_TEXTS)
    return {
        family.name: family
        for family in parser.text_string_to_metric_families(text)
    }


def test_counters_gauges_and_summaries_are_read_back():
    recorded = metrics.Metrics()
    recorded.counter('requests', outcome='good').add(3)
    recorded.counter('requests', outcome='bad').add(1)
    for duration_ms in range(1, 101):
        recorded.histogram('duration_ms', service='a').record(duration_ms)
    parsed = families(recorded, exposition.Gauge('age_s', 1.5))
    counts = {
        sample.labels['outcome']: sample.value
        for sample in parsed['sardinepier_requests'].samples
    }
    assert counts == {'good': 3, 'bad': 1}
    assert parsed['sardinepier_age_s'].samples[0].value == 1.5
    quantiles = {
        sample.labels.get('quantile'): sample.value
        for sample in parsed['sardinepier_duration_ms'].samples
    }
    assert quantiles['0.5'] == pytest.approx(50, rel=0.05)
    assert quantiles[None] == 100


def test_gauges_with_labels_are_read_back_as_one_family():
    """A header for each gauge would make the page unreadable."""
    gauges = [
        exposition.Gauge('age_s', age_s, (metrics.Label('service', name),))
        for name, age_s in (('a', 1.0), ('b', 2.0))
    ]
    samples = families(metrics.Metrics(), *gauges)['sardinepier_age_s'].samples
    ages = {sample.labels['service']: sample.value for sample in samples}
    assert ages == {'a': 1.0, 'b': 2.0}


def test_each_name_has_a_help_text_and_a_type():
    recorded = metrics.Metrics()
    recorded.counter('requests', outcome='good').add()
    family = families(recorded)['sardinepier_requests']
    assert (family.type, family.documentation) == (
        'counter',
        HELP_TEXTS['requests'],
    )


def test_a_name_without_help_text_raises_key_error():
    recorded = metrics.Metrics()
    recorded.counter('unknown_name').add()
    with pytest.raises(KeyError):
        families(recorded)


@given(strategies.text(strategies.characters(exclude_categories=('Cs', 'Cc'))))
def test_any_label_value_is_read_back_unchanged(label):
    recorded = metrics.Metrics()
    recorded.counter('requests', outcome=label).add()
    samples = families(recorded)['sardinepier_requests'].samples
    assert samples[0].labels['outcome'] == label


def test_quotes_and_line_feeds_in_labels_are_escaped():
    recorded = metrics.Metrics()
    label = '"'.join(('a', chr(92), 'c', chr(10)))
    recorded.counter('requests', outcome=label).add()
    samples = families(recorded)['sardinepier_requests'].samples
    assert samples[0].labels['outcome'] == label
