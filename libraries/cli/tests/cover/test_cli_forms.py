"""Text and JSON output of the commands, compared with snapshots."""

import json
import pathlib
import re

import msgspec
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.telemetry import (
    daemon_events,
    metrics,
    status,
    summaries,
    target_events,
    timeline,
)

# The compressed histograms differ between versions of zlib.
ENCODED = re.compile('HIST[^"]*')

FLEET = """[fleet]
name = north
[zone a]
region = r1
"""
SERVICE = """[service]
name = {name}
[shed-reply]
status = 503
header_name = Shed
header_value = yes
[target t1]
ip = 10.0.0.1
port = 80
zone = {zone}
slots = 3
[route find]
method = GET
path = /find
idempotent = yes
deadline_ms = {deadline_ms}
"""


STATUS = r"""{"instance_id":"d%(index)d~0a","daemon_id":"d%(index)d",
"zone":"a%(index)d","region":"r1","state":"serving","uptime_s":12.34,
"members":[
{"instance_id":"d0~0a","daemon_id":"d0","zone":"a","region":"r1",
"state":"alive","incarnation":0},
{"instance_id":"d2~0a","daemon_id":"d2","zone":"a","region":"r1",
"state":"suspect","incarnation":4}],
"files":[{"name":"fleet","revision":3},{"name":"service/search",
"revision":7,"problems":["port: wrong\u001b[31m"]}],
"services":[{"name":"search","floor_percent":60,"targets":[
{"target_id":"t1","zone":"a","state":"ejected","weight":0,"evidence":null,
"reason":"own-evidence","returns_in_s":4.5},
{"target_id":"target-2","zone":"b","state":"in-service","weight":1,
"in_flight":2}]}],
"outcomes":[{"service":"search","outcome":"completed","requests":%(count)d}]
}"""


def status_document(index):
    registry = metrics.Metrics()
    histogram = registry.histogram('request_added_ms', service='search')
    for latency_ms in range(1, 101):
        histogram.record(latency_ms * (index + 1))
    text = STATUS % {'index': index, 'count': 99 + index}
    document = status.decode(text.encode())
    latencies = summaries.latencies(registry.snapshot())
    return status.encode(
        msgspec.structs.replace(document, latencies=latencies),
    )


def timeline_document(index, since_s=1_700_000_000.0, *, recorded=2):
    clock = clocks.ManualClock(since_s + index)
    ring = timeline.Timeline(ids.InstanceId(f'd{index}~0a'), clock, 1)
    for number in range(recorded):
        ring.record(daemon_events.WakeGapSeen(gap_ms=number, bound_ms=0))
        clock.advance(0.5)
    return timeline.encode(ring.document())


@pytest.fixture
def fleet(daemons):
    for index, fake in enumerate(daemons):
        fake.documents['/v1/status'] = status_document(index)
        fake.documents['/v1/timeline'] = timeline_document(index)
    return daemons


def addresses_of(daemons):
    return ','.join(fake.address for fake in daemons)


@pytest.mark.parametrize('form', [(), ('--json',)])
@pytest.mark.parametrize('command', ['status', 'timeline'])
async def test_reports_over_all_daemons(fleet, tool, command, form, snapshot):
    assert await tool(command, '--daemons', addresses_of(fleet), *form) == 0
    assert ENCODED.sub('', tool.text) == snapshot
    assert '\x1b' not in tool.text


@pytest.mark.parametrize('form', [(), ('--json',)])
async def test_addresses(daemons, tool, form, snapshot):
    line = ('addresses', '--service', 'search', '--zone', 'a1', *form)

    assert await tool(*line, '--daemon', daemons[0].address) == 0
    assert tool.text == snapshot
    assert daemons[0].queries == [{'service': 'search', 'zone': 'a1'}]


async def test_every_mistake_of_all_files(tmp_path, tool):
    written = {
        'fleet.ini': FLEET,
        'good.ini': SERVICE.format(name='good', zone='a', deadline_ms=1),
        'zone.ini': SERVICE.format(name='zone', zone='c', deadline_ms=1),
        'bad.ini': SERVICE.format(name='', zone='a', deadline_ms='soon'),
        'odd.ini': '[servce]\n',
    }
    for file_name, text in written.items():
        pathlib.Path(tmp_path, file_name).write_text(text, encoding='utf-8')
    paths = [str(tmp_path / file) for file in written]

    assert await tool('check', '--json', *paths) == 1
    document = json.loads(tool.out[0])
    found = {
        (pathlib.Path(report['file']).name, report['kind']): report['problems']
        for report in (*document['files'], *document['together'])
    }
    places = {
        file: [(problem['section'], problem['key']) for problem in problems]
        for file, problems in found.items()
    }
    assert places == {
        ('fleet.ini', 'fleet'): [],
        ('good.ini', 'service'): [],
        ('zone.ini', 'service'): [],
        ('bad.ini', 'service'): [
            ('service', 'name'),
            ('route find', 'deadline_ms'),
        ],
        ('odd.ini', ''): [('servce', None)],
        ('zone', 'together'): [('target t1', 'zone')],
    }
    assert await tool('check', *paths) == 1
    for problem in sum(found.values(), []):
        assert f'{problem["what"]}. {problem["remedy"]}.' in tool.text
    assert await tool('check', *paths[:2]) == 0
    assert [line.rpartition(' ')[2] for line in tool.out] == ['ok', 'ok']


async def test_totals_are_merged_and_not_averaged(fleet, tool):
    assert await tool('status', '--json', '--daemons', addresses_of(fleet)) == 0
    totals = json.loads(tool.out[0])['totals']

    assert totals['outcomes'][0]['requests'] == 99 + 100
    # Values 1..100 and 2..200 in steps of 2: the median is 67, the mean of
    # the two medians would be 75.
    assert 66 < totals['latencies'][0]['p50_ms'] < 68.1


@pytest.mark.parametrize('command', ['status', 'timeline'])
async def test_a_report_without_one_daemon_is_partial(
    fleet, tool, reply, command
):
    fleet[1].documents = {f'/v1/{command}': reply(body='{"entries":7}')}
    line = (command, '--daemons', addresses_of(fleet))

    assert await tool(*line) == 3
    assert 'd0~0a' in tool.text
    assert 'not understood' in tool.err[-1]
    assert await tool(*line, '--json') == 3
    document = json.loads(tool.out[0])
    assert document['unanswered'][0]['error'] == 'BadAnswerError'


async def test_an_unreadable_histogram_is_a_bad_answer(fleet, tool):
    document = status.decode(status_document(0))
    broken = msgspec.structs.replace(document.latencies[0], histogram='x')
    fleet[0].documents['/v1/status'] = status.encode(
        msgspec.structs.replace(document, latencies=(broken,)),
    )

    assert await tool('status', '--daemons', fleet[0].address) == 3
    assert 'unreadable' in tool.err[-1]


async def test_follow_polls_for_new_entries_until_its_deadline(fleet, tool):
    later = timeline_document(0, 1_700_000_009.0, recorded=1)
    answers = [timeline_document(0), later, later, later]
    fleet[0].documents['/v1/timeline'] = answers
    line = ('timeline', '--daemons', fleet[0].address, '--follow')

    assert await tool(*line, '--for_s', '2.5') == 0
    assert tool.sleeps_s == [1.0, 1.0, 0.5]
    assert [query.get('since') for query in fleet[0].queries] == [
        None,
        '1700000000500.0',
        '1700000009000.1',
        '1700000009000.1',
    ]
    assert 'WakeGapSeen gap_ms=1 bound_ms=0' in tool.out[0]
    assert '1700000009000.1 2023-11-14T22:13:29.000+00:00' in tool.out[1]


async def test_an_infinite_number_is_shown_as_not_finite(daemons, tool):
    ring = timeline.Timeline(ids.InstanceId('d~0a'), clocks.ManualClock())
    ring.record(
        target_events.TargetSuspected('s', 't', 'bad\nline', float('inf')),
    )
    daemons[0].documents['/v1/timeline'] = timeline.encode(ring.document())

    assert await tool('timeline', '--daemons', daemons[0].address) == 0
    assert 'reason=bad line evidence=not-finite' in tool.out[0]
