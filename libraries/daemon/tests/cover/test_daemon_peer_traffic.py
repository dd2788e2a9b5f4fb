"""Traffic between daemons is reported by kind and by zone of the receiver."""

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import peer_traffic, peer_zones
from sardinepier.entry import request_metrics
from sardinepier.membership import members
from sardinepier.wire import counters, messages


def _address(number):
    return messages.PeerAddress(f'10.0.0.{number}', 7000)


def _member(number, zone):
    return members.Member(
        instance_id=ids.InstanceId(f'd{number}~1'),
        daemon_id=ids.DaemonId(f'd{number}'),
        zone=ids.ZoneName(zone),
        region=ids.RegionName('r'),
        peer_address=_address(number),
        http_ip='10.0.0.1',
        http_port=8000,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=0.0,
    )


class _View:
    def __init__(self, *known):
        self.own = known[0]
        self.version = 1
        self.known = known

    def members(self):
        return self.known


def test_the_zone_of_a_peer_is_unknown_until_the_view_has_it():
    clock = clocks.ManualClock()
    view = _View(_member(1, 'z1'))
    zones = peer_zones.PeerZones(view, clock)
    assert zones.crosses_zones(_address(2)) is None
    view.known = (view.own, _member(2, 'z2'), _member(3, 'z1'))
    view.version += 1
    clock.advance(0.3)
    assert zones.crosses_zones(_address(2)) is True
    assert zones.crosses_zones(_address(3)) is False
    assert zones.crosses_zones(_address(4)) is None


def test_a_changing_view_of_1500_daemons_is_not_read_for_each_message():
    # Guards against control traffic that costs more than its messages.
    clock = clocks.ManualClock()
    view = _View(*(_member(number, 'z1') for number in range(1500)))
    zones = peer_zones.PeerZones(view, clock)
    reads = []
    view.members = lambda: reads.append(1) or view.known
    for _ in range(1000):
        view.version += 1
        zones.crosses_zones(_address(7))
        clock.advance(0.001)
    assert len(reads) <= 6


def test_a_dead_member_keeps_its_zone():
    clock = clocks.ManualClock()
    view = _View(_member(1, 'z1'), _member(2, 'z2'))
    zones = peer_zones.PeerZones(view, clock)
    zones.crosses_zones(_address(2))
    view.known = (view.own,)
    view.version += 1
    clock.advance(1.0)
    assert zones.crosses_zones(_address(2)) is True


class _Network:
    def __init__(self):
        self._counts = counters.CounterSet()
        self._counts.crosses_zones = {
            _address(1): True,
            _address(2): False,
        }.get
        self.counters = self._counts.snapshot
        self.sent = self._counts.sent


async def test_traffic_is_summed_by_kind_between_zones_only():
    network = _Network()
    metrics = request_metrics.RequestMetrics()
    metrics.forwarded(700, crosses_zones=True)
    traffic = peer_traffic.PeerTraffic(network, metrics)
    for number, kind, size_bytes in (
        (1, 'Probe', 100),
        (1, 'Probe', 50),
        (1, 'Ack', 30),
        (2, 'Ack', 8),
        (3, 'Ack', 5),
    ):
        network.sent(_address(number), kind, size_bytes)
    event = traffic.event()
    assert event.crossing_bytes == {'Probe': 150, 'Ack': 30}
    assert event.crossing_messages == {'Probe': 2, 'Ack': 1}
    assert event.crossing_overhead_bytes == 3 * 60
    assert (event.within_zone_bytes, event.unknown_zone_bytes) == (8, 5)
    assert event.forwarded_crossing_bytes == 700
    text = await metrics.text((), traffic.counter_values())
    assert 'peer_bytes_total{kind="Probe",crosses_zones="yes"} 150' in text
    assert 'peer_messages_total{kind="Ack",crosses_zones="unknown"} 1' in text
    assert 'forwarded_bytes_total{crosses_zones="yes"} 700' in text
