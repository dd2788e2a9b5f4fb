"""The load generator resends as callers must, and finds false outcomes."""

import contextlib
import random


import pytest
from aiohttp import client, web

from sardinepier.core import clock, errors
from sardinepier.standins import (
    target_answers,
    target_settings,
    target_standin,
)
from sardinepier.workbench import main
from sardinepier.workbench.traffic import (
    command,
    generator,
    options,
    records,
    report,
    verification,
)

Kind = records.Kind
COMPLETED = {'Sardinepier-Outcome': 'completed'}
NOT_RUN = {'Sardinepier-Outcome': 'not-run', 'Retry-After': '0'}
UNKNOWN = {'Sardinepier-Outcome': 'unknown'}


class FakeDaemon:
    """Forwards to one target and treats the n-th attempt as ``script`` says."""

    def __init__(self, target, script):
        self.target = target
        self.script = script
        self.keys = []
        self.port = 0

    async def addresses(self, request):
        address = {'ip': '127.0.0.1', 'port': self.port, 'ticket': 'd~1.0.n'}
        return web.json_response({'addresses': [address], 'valid_s': 60})

    async def handle_request(self, request):
        body = await request.read()
        key = request.headers.get('Idempotency-Key', '')
        step = self.script[min(len(self.keys), len(self.script) - 1)]
        self.keys.append(key)
        return await getattr(self, step)(request, body)

    async def forward(self, request, body):
        headers = {
            name: request.headers[name]
            for name in ('Idempotency-Key', 'Request-Tag')
            if name in request.headers
        }
        path = request.path.removeprefix('/deposit')
        async with client.ClientSession(self.target) as session:
            async with session.post(path, data=body, headers=headers) as reply:
                raw = await reply.read()
        return web.Response(body=raw, headers=COMPLETED)

    async def forward_twice(self, request, body):
        await self.forward(request, body)
        return await self.forward(request, body)

    async def run_but_report_not_run(self, request, body):
        await self.forward(request, body)
        return web.Response(
            status=503, headers={'Sardinepier-Outcome': 'not-run'}
        )

    async def run_but_report_unknown(self, request, body):
        await self.forward(request, body)
        return web.Response(status=504, headers=UNKNOWN)

    async def refuse(self, request, body):
        return web.Response(status=503, headers=NOT_RUN)

    async def refuse_without_retry(self, request, body):
        return web.Response(
            status=404, headers={'Sardinepier-Outcome': 'not-run'}
        )

    async def answer_another_body(self, request, body):
        return await self.forward(request, b'another')

    async def answer_without_outcome(self, request, body):
        return web.Response(body=b'{}')

    async def cut(self, request, body):
        request.transport.abort()
        return web.Response()

    async def answer_without_running(self, request, body):
        return web.Response(
            body=b'{"target_id":"t","request_tag":"%b","method":"POST",'
            b'"path":"/deposits","body_digest":"%b"}'
            % (
                request.headers['Request-Tag'].encode(),
                target_answers.digest(body).encode(),
            ),
            headers=COMPLETED,
        )


@contextlib.asynccontextmanager
async def fleet(script):
    standin = target_standin.TargetStandin(
        target_settings.TargetStandinSettings('t1', service_ms=0, slots=100),
        clock.SystemClock(),
        random.Random(1),
    )
    target_port = await standin.start('127.0.0.1', 0)
    daemon = FakeDaemon(f'http://127.0.0.1:{target_port}', script)
    application = web.Application()
    application.router.add_get('/v1/addresses', daemon.addresses)
    application.router.add_post('/{path:.*}', daemon.handle_request)
    runner = web.AppRunner(application)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    daemon.port = runner.addresses[0][1]
    yield daemon, options.Endpoint('127.0.0.1', target_port)
    await runner.cleanup()
    await standin.stop()


async def run_traffic(script, count=1):
    async with fleet(script) as (daemon, target):
        load = generator.Generator(
            options.TrafficOptions(
                (options.Endpoint('127.0.0.1', daemon.port),),
                'deposit',
                options.RouteChoice('POST', '/search'),
                options.RouteChoice('POST', '/deposits'),
                rate_per_s=100,
                duration_s=count / 100,
                keyed_percent=100,
            ),
            clock.SystemClock(),
        )
        run = await load.send_all()
        executions = await verification.fetch_counts([target])
        verdict = verification.compare(run.requests, executions)
        return report.summarise(run, verdict), daemon.keys


async def test_plain_traffic_completes_and_holds():
    summary, keys = await run_traffic(['forward'], count=20)
    assert summary.requests_by_kind == {'completed': 20}
    assert summary.verdict.executions_by_key_max == 1
    assert len(set(keys)) == 20
    assert command.holds(summary)


@pytest.mark.parametrize('unknown_fate', ['run_but_report_unknown', 'cut'])
async def test_request_of_unknown_fate_is_resent_with_the_same_key(
    unknown_fate,
):
    summary, keys = await run_traffic(
        [unknown_fate, unknown_fate, 'refuse_without_retry']
    )
    assert len(keys) == 3
    assert len(set(keys)) == 1
    assert summary.resends == 2


async def test_refused_request_is_resent_with_a_new_key():
    summary, keys = await run_traffic(['refuse', 'refuse', 'forward'])
    assert len(set(keys)) == 3
    assert summary.requests_by_kind == {'completed': 1}
    assert command.holds(summary)


async def test_resends_are_bounded():
    summary, keys = await run_traffic(['cut'])
    assert len(keys) == 5
    assert summary.requests_by_kind == {'cut': 1}


@pytest.mark.parametrize(
    ('script', 'finding'),
    [
        (['forward_twice'], 'doubled'),
        (['run_but_report_unknown', 'forward'], 'doubled'),
        (['run_but_report_not_run'], 'false_not_run'),
        (['run_but_report_unknown', 'refuse_without_retry'], 'false_not_run'),
        (['answer_without_running'], 'lost'),
        (['answer_another_body'], ''),
        (['answer_without_outcome'], ''),
    ],
)
async def test_broken_guarantees_are_found(script, finding):
    summary, _ = await run_traffic(script)
    assert not command.holds(summary)
    if finding:
        assert len(getattr(summary.verdict, finding)) >= 1


def test_killed_targets_are_read_from_their_files(tmp_path):
    path = tmp_path / 'executions'
    path.write_bytes(b'["k","t"]\n["k","t"]\n["","u"]\n')
    counts = verification.read_files([path, tmp_path / 'none'])
    assert (counts.by_key, counts.by_tag) == ({'k': 2}, {'t': 2, 'u': 1})
    expected_text = records.RequestRecord(
        'u',
        False,
        0.0,
        [
            records.Attempt(records.Kind.NOT_RUN),
        ],
    )
    verdict = verification.compare([expected_text], counts)
    assert verdict.doubled == ('k',)
    assert verdict.false_not_run == ('u',)


@pytest.mark.parametrize(
    ('kinds', 'last'),
    [
        ([Kind.CUT, Kind.NOT_CONNECTED], Kind.CUT),
        ([Kind.NOT_RUN, Kind.NOT_CONNECTED], Kind.NOT_RUN),
        ([Kind.NOT_CONNECTED], Kind.NOT_CONNECTED),
        ([Kind.NOT_CONNECTED, Kind.COMPLETED], Kind.COMPLETED),
    ],
)
def test_the_last_attempt_that_was_sent_decides(kinds, last):
    attempts = [records.Attempt(kind) for kind in kinds]
    record = records.RequestRecord('u', False, 0.0, attempts)
    assert record.kind is last


@pytest.mark.parametrize(
    'mistake',
    [
        lambda: options.parse_endpoints('127.0.0.1'),
        lambda: options.parse_route('POST'),
        lambda: options.TrafficOptions((), 's', None, None),
        lambda: options.TrafficOptions((1,), 's', None, None, rate_per_s=0),
    ],
)
def test_mistakes_on_the_command_line_raise_typed_errors(mistake):
    with pytest.raises(errors.InvalidArgumentError):
        mistake()


@pytest.mark.parametrize(
    ('arguments', 'code', 'expected_text'),
    [
        ([], None, 'experiment detection'),
        (['sing'], 2, 'no subcommand'),
        (['traffic', '--service', 's', '--daemons', 'x'], 2, 'IP:PORT'),
        (['traffic', 's', '127.0.0.1:1', '--speed=3'], 2, 'IP:PORT'),
        (['faults', '--case', '5j'], 2, "no fault case '5j'"),
    ],
)
def test_command_line_explains_mistakes(
    monkeypatch, capsys, arguments, code, expected_text
):
    monkeypatch.setattr('sys.argv', ['sardinepier-workbench', *arguments])
    if code is None:
        main.main()
    else:
        with pytest.raises(SystemExit) as system_exit:
            main.main()
        assert system_exit.value.code == code
    written = capsys.readouterr()
    assert expected_text in written.out + written.err
    assert 'Traceback' not in written.err


def test_latency_percentiles_are_measured():
    latency = report.measure(float(number) for number in range(1, 101))
    assert latency.count == 100
    assert latency.p50_ms == pytest.approx(50, rel=0.01)
    assert latency.p99_ms == pytest.approx(99, rel=0.01)
    assert report.measure(()).count == 0
