"""Log lines and metrics of requests, by their outcome."""

import asyncio
import io

import entry_support as support
import msgspec
import pytest
from sardinepier.core import ids
from sardinepier.entry import decision_log, events, model, request_metrics
from sardinepier.telemetry import logs


class CapturedLog:
    """The log of the daemon under test."""

    def __init__(self):
        self.out = io.StringIO()
        logs.configure('info', 'd1', stream=self.out)

    def of(self, event):
        decoded = map(msgspec.json.decode, self.out.getvalue().splitlines())
        return [line['fields'] for line in decoded if line['event'] == event]


@pytest.fixture
def lines():
    return CapturedLog()


async def test_each_attempt_is_logged_when_it_starts(entry, lines):
    await entry.set_targets(support.RawTarget('t1'))
    await entry.send()
    sent = lines.of('request-sent')
    assert [line['request_id'] for line in sent] == ['id-1']
    choice = sent[0]['choice']
    assert (choice['target'], choice['reason']) == ('t1', 'first')
    assert choice['belief_source'] == 'nobody'
    assert sent[0]['configuration_version'] == 1
    assert 0 < sent[0]['left_ms'] <= 2000
    assert not lines.of('request-ended')


async def test_a_request_is_logged_before_its_target_answers(
    entry,
    lines,
):
    """The line must exist even if the daemon crashes during the request."""
    target = support.RawTarget('t1', ['gated'])
    await entry.set_targets(target)
    request_task = asyncio.create_task(entry.send())
    await support.wait_until(lambda: target.run_count)
    assert len(lines.of('request-sent')) == 1
    target.gate.set()
    await request_task


async def test_a_failed_attempt_is_logged_with_the_choice_of_its_target(
    entry, lines
):
    await entry.set_targets(support.RawTarget('t1', ['fail']))
    await entry.send('/once/1', 'POST')
    failed = lines.of('attempt-failed')[0]
    assert failed['what'] == 'target_failed: answered 500'
    assert failed['choice']['target'] == 't1'
    ended = lines.of('request-ended')[0]
    assert (ended['outcome'], ended['status']) == ('target_failed', 500)


async def test_a_retry_is_logged_as_such(entry, lines):
    await entry.set_targets(
        support.RawTarget('t1', ['fail']),
        support.RawTarget('t2', ['fail']),
    )
    await entry.send()
    reasons = [line['choice']['reason'] for line in lines.of('request-sent')]
    assert reasons == ['first', 'again']
    assert lines.of('request-ended')[0]['attempts'] == 2


async def test_a_choice_for_exploration_is_logged_as_such(entry, lines):
    await entry.set_targets(support.RawTarget('t1'), support.RawTarget('t2'))
    pool = entry.shared.services.pool(support.SERVICE)
    now_s = entry.shared.clock.monotonic_s()
    for record in pool.targets.records():
        record.estimate.answered(now_s)
    idle = pool.targets.find('t2')
    idle.estimate.adopt(0.2, now_s - 5.0)
    await entry.send()
    choice = lines.of('request-sent')[0]['choice']
    assert (choice['target'], choice['reason']) == ('t2', 'turn')


async def test_metrics_count_reasons_and_retries(entry):
    await entry.set_targets(support.RawTarget('t1', ['fail']))
    entry.shared.services.set_retry_burst(0)
    await entry.send()
    services = entry.shared.services
    text = await entry.shared.metrics.text(
        request_metrics.service_gauges(services)
    )
    assert 'attempts_begun_total{reason="first",service="books"} 1' in text
    assert 'repeats_denied 1' in text
    assert 'repeats_granted 0' in text


@pytest.mark.parametrize('zone', ['z1', 'z2'])
async def test_forwarded_bytes_are_counted_by_zone_of_the_target(entry, zone):
    # Guards against large bodies that cross zones without being counted:
    # those that fail, that are streamed, and that callers send.
    large = support.with_body(b'x' * 3_000_000)
    target = support.RawTarget('t1', ['fail', large])
    entry.shared.services.set_retry_burst(0)
    await target.start()
    entry.shared.services.offer_targets(
        model.TargetList(
            1,
            (support.listed('t1', target.port, zone=ids.ZoneName(zone)),),
        ),
    )
    await entry.send('/once/1', 'POST', b'y' * 100_000)
    await entry.send('/once/1', 'POST', b'y' * 100_000)
    await support.wait_until(lambda: not entry.shared.activity.in_flight)
    target.server.close()
    crosses = zone != support.ZONE
    metrics = entry.shared.metrics
    counted = metrics.forwarded_bytes(crosses_zones=crosses)
    assert 3_200_000 < counted < 3_202_000
    assert metrics.forwarded_bytes(crosses_zones=not crosses) == 0


async def test_a_refusal_is_logged_with_its_error(entry, lines):
    await entry.set_targets()
    await entry.send()
    ended = lines.of('request-ended')[0]
    assert (ended['outcome'], ended['status']) == ('refused', 503)
    assert ended['error'] == 'NoTargetError'
    assert ended['targets'] == 0


async def test_a_request_without_a_route_is_logged_with_its_id(entry, lines):
    await entry.send('/nowhere/1')
    ended = lines.of('request-ended')[0]
    assert (ended['request_id'], ended['status']) == ('id-1', 404)


async def test_a_disconnected_caller_is_logged(entry, lines):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(
        support.LOOPBACK,
        entry.port,
    )
    writer.write(support.request())
    await support.wait_until(lambda: target.run_count)
    writer.close()
    await support.wait_until(lambda: lines.of('request-ended'))
    assert lines.of('request-ended')[0]['outcome'] == 'abandoned'


async def test_a_request_that_the_daemon_cuts_off_is_no_abandoned_one(
    entry, lines
):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(
        support.LOOPBACK,
        entry.port,
    )
    writer.write(support.request())
    await support.wait_until(lambda: target.run_count)
    for connection in entry.server.connections:
        connection.force_close()
    await support.wait_until(lambda: lines.of('request-ended'))
    assert lines.of('request-ended')[0]['outcome'] == 'cut_off'
    assert await reader.read() == b''
    writer.close()


async def test_requests_are_counted_by_outcome(entry):
    await entry.set_targets(support.RawTarget('t1', ['ok', 'fail', 'ok']))
    await entry.send('/once/1', 'POST')
    await entry.send('/once/1', 'POST')
    text = await entry.shared.metrics.text(())
    for outcome in ('answered', 'target_failed'):
        counted = f'{{outcome="{outcome}",service="books"}} 1'
        assert f'sardinepier_requests_total{counted}' in text
    assert 'how="ok",service="books"} 1' in text
    assert 'sardinepier_request_duration_ms_count{service="books"} 2' in text


async def test_failures_are_logged_while_lines_of_attempts_are_dropped(
    entry,
    lines,
):
    decisions = decision_log.DecisionLog(
        entry.shared.services,
        entry.shared.clock,
    )
    end = decision_log.RequestEnd(
        events.Outcome.REFUSED, 503, 'NoTargetError', 'none'
    )
    allowed = [decisions._attempt_lines.allows() for _ in range(121)]
    assert not allowed[-1]
    decisions.log_ended('id-2', None, end)
    assert lines.of('request-ended')[0]['request_id'] == 'id-2'
    decisions.log_dropped()
    assert lines.of('lines-dropped') == [{'sent': 1, 'failed': 0, 'once': 0}]
    decisions.log_dropped()
    assert len(lines.of('lines-dropped')) == 1


async def test_a_request_that_must_run_once_is_logged_when_lines_run_out(
    entry, lines
):
    # Guards against requests that ran twice, or ran though they were refused,
    # of which the log says nothing.
    await entry.set_targets(
        support.RawTarget('t1', ['shed', 'ok', 'fail']),
        support.RawTarget('t2', ['shed', 'ok', 'fail']),
    )
    decisions = entry.shared.decision_log
    for lines_left in (decisions._failure_lines, decisions._attempt_lines):
        assert not [lines_left.allows() for _ in range(400)][-1]
    for name in ('id-1', 'id-2', 'id-3'):
        await entry.send('/once/1', 'POST', **{support.NAMES.attempt_id: name})
    ended = {line['request_id']: line for line in lines.of('request-ended')}
    assert ended.keys() == {'id-1', 'id-3'}
    shed, failed = ended['id-1'], ended['id-3']
    assert (shed['outcome'], shed['repeatable']) == ('refused', False)
    made = [
        (each['connection'], each['outcome'].partition(':')[0])
        for each in (*shed['history'], *failed['history'])
    ]
    assert made == [
        ('new', 'ShedError'),
        ('new', 'ShedError'),
        ('kept', 'target_failed'),
    ]
    assert len(lines.of('attempt-failed')) == 3
    decisions.log_dropped()
    assert lines.of('lines-dropped')[0]['once'] == 0


async def test_a_statement_of_a_target_is_logged_when_it_changes(
    entry,
    lines,
):
    limited = support.with_headers(f'{support.NAMES.limit}: 2.5')
    leaving = support.with_headers(f'{support.NAMES.leaving}: 1')
    await entry.set_targets(
        support.RawTarget('t1', ['ok', limited, limited, leaving])
    )
    for _ in range(4):
        await entry.send()
    stated = [
        (
            line['target'],
            line['limit_per_s'],
            line['is_leaving'],
            line['rest_ms'],
        )
        for line in lines.of('target-stated')
    ]
    assert stated == [('t1', 2.5, False, 0), ('t1', -1.0, True, 0)]


async def test_a_lost_connection_is_logged_with_what_it_shows(entry, lines):
    """On-call engineers need to see why a request was not quarantined."""
    targets = [
        support.RawTarget(f't{number}', ['reset']) for number in range(3)
    ]
    await entry.set_targets(*targets)
    for _ in range(2):
        await entry.send('/once/7', 'POST')
    lost = lines.of('connection-lost')
    assert [line['verdict'] for line in lost] == ['marked', 'quarantined']
    assert [line['marked_targets'] for line in lost] == [1, 2]
    assert len({line['fingerprint'] for line in lost}) == 1
    text = await entry.shared.metrics.text(())
    assert 'losses_total{verdict="quarantined"} 1' in text


async def test_used_retry_budget_is_logged_once(entry, lines):
    """Guards against logs that don't tell what a fleet used of its budget."""
    await entry.set_targets(
        support.RawTarget('t1', ['shed']), support.RawTarget('t2', ['shed'])
    )
    decisions = entry.shared.decision_log
    decisions.log_retry_budgets()
    await entry.send('/once/1', 'POST')
    decisions.log_retry_budgets()
    decisions.log_retry_budgets()
    used = lines.of('retry-budget-used')
    assert [(line['attempts'], line['requests']) for line in used] == [(1, 1)]
    assert used[0]['service'] == support.SERVICE


async def test_an_answer_without_the_id_is_logged_once_an_attempt(entry, lines):
    # Guards against lines that don't tell whose statement let a request run
    # on a second target.
    without_id = support.answer('', '500 Bad', identified=False)
    late = support.answer('another')
    await entry.set_targets(
        support.RawTarget(
            't1',
            [
                lambda echo: late + late + support.answer(echo),
                lambda echo: without_id,
            ],
        )
    )
    for number in range(2):
        await entry.send(
            '/once/1', 'POST', **{support.NAMES.attempt_id: f'id-{number}'}
        )
    logged = [
        (line['request_id'], line['status'], line['echoed_id'])
        for line in lines.of('foreign-answer')
    ]
    assert logged == [('id-0', 200, 'another'), ('id-1', 500, '')]
    text = await entry.shared.metrics.text(())
    for kind in ('other', 'none'):
        label = f'{{id="{kind}",service="books"}} 1'
        assert f'foreign_answers_total{label}' in text
