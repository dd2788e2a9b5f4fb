"""Counting the traffic of an attempt has no effect on the attempt."""

from sardinepier.entry import request_metrics, traffic


def test_a_response_that_cannot_be_measured_is_not_counted():
    # Guards against answers that are lost because of a fault in the
    # accounting: every request of the emulator failed that way.
    metrics = request_metrics.RequestMetrics()
    counted = traffic.AttemptTraffic(metrics, crosses_zones=True)
    counted.opened(object())
    counted.ended()
    counted.sent(object())
    assert metrics.forwarded_bytes(crosses_zones=True) == 0
