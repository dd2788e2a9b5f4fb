"""Fixtures: fake daemons in the test process, a tool with captured output."""

import dataclasses
import random

import pytest
import pytest_asyncio
from aiohttp import web
from sardinepier.cli import context, main
from sardinepier.core import clock as clocks


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply of a fake daemon; status 0 aborts the connection."""

    status: int = 200
    outcome: str = 'completed'
    body: str = '{"ran": true}'
    content_type: str = 'application/json'
    retry_after: str = ''


@dataclasses.dataclass
class FakeDaemon:
    """Serves scripted documents and replies, and records the requests."""

    documents: dict = dataclasses.field(default_factory=dict)
    replies: list = dataclasses.field(default_factory=list)
    requests: list = dataclasses.field(default_factory=list)
    queries: list = dataclasses.field(default_factory=list)
    port: int = 0

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def handle(self, request):
        document = self.documents.get(request.path)
        if document is not None:
            self.queries.append(dict(request.query))
            return self._document(document)
        headers = dict(request.headers)
        headers['body'] = await request.text()
        headers['target'] = f'{request.method} {request.path_qs}'
        self.requests.append(headers)
        reply = self.replies.pop(0)
        if not reply.status:
            request.transport.abort()
        return web.Response(
            status=reply.status or 500,
            text=reply.body,
            content_type=reply.content_type,
            headers={
                'Sardinepier-Outcome': reply.outcome,
                'Retry-After': reply.retry_after,
            },
        )

    def _document(self, document):
        if isinstance(document, list):
            document = document.pop(0)
        if isinstance(document, Reply):
            return web.Response(
                status=document.status,
                text=document.body,
                content_type=document.content_type,
            )
        return web.Response(body=document, content_type='application/json')


@pytest_asyncio.fixture
async def daemons():
    """Two fake daemons; the first serves the addresses of both."""
    fakes = [FakeDaemon(), FakeDaemon()]
    runners = []
    for fake in fakes:
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', fake.handle)
        runner = web.AppRunner(application)
        await runner.setup()
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        fake.port = runner.addresses[0][1]
        runners.append(runner)
    addresses = ','.join(
        f'{{"ip":"127.0.0.1","port":{daemon.port},"zone":"a{index}",'
        f'"ticket":"d{index}~0a.0.0b"}}'
        for index, daemon in enumerate(fakes)
    )
    fakes[0].documents['/v1/addresses'] = (
        f'{{"addresses":[{addresses}],"valid_s":30}}'.encode()
    )
    yield fakes
    for runner in runners:
        await runner.cleanup()


class Tool:
    """Runs command lines; ``out`` and ``err`` have the last one's lines."""

    def __init__(self, daemons):
        self.out = []
        self.err = []
        self.sleeps_s = []
        self._daemons = daemons
        self._clock = clocks.ManualClock(100.0)

    async def __call__(self, *arguments):
        self.out.clear()
        self.err.clear()
        command_context = context.Context(
            clock=self._clock,
            sleep=self._sleep,
            random_source=random.Random(7),
            write=self.out.append,
            write_error=self.err.append,
        )
        return await main.execute(arguments, command_context)

    @property
    def text(self):
        """The whole output, with placeholders for the variable ports."""
        text = '\n'.join((*self.out, '---', *self.err))
        for index, fake in enumerate(self._daemons):
            text = text.replace(str(fake.port), f'PORT{index}')
        return text

    async def _sleep(self, duration_s):
        self.sleeps_s.append(duration_s)
        self._clock.advance(duration_s)


@pytest.fixture
def tool(daemons):
    return Tool(daemons)


@pytest.fixture
def reply():
    return Reply
