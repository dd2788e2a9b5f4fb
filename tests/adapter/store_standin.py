"""A stand-in for the platform's store with injectable faults."""

import asyncio
import base64
import contextlib
import json

from aiohttp import web

ENTRIES_PER_PAGE = 3
"""Small, so that tests read several pages."""


class StoreStandin:
    """Serves entries below a prefix; ``fault`` selects a faulty behaviour."""

    def __init__(self):
        self.entries = {}
        self.raw_values = {}
        self.revision = 1
        self.fault = ''
        self.epoch = 0
        self._copy = None
        self.queries = []
        self._runner = None
        self.address = ''

    def put(self, key, document):
        self.revision += 1
        raw = document if isinstance(document, bytes) else _json(document)
        self.entries[key] = (raw, self.revision)

    def put_raw(self, key, value):
        """Put a value that is sent unchanged, whether base64 or not."""
        self.revision += 1
        self.raw_values[key] = value
        self.entries[key] = (b'', self.revision)

    def remove(self, key):
        self.revision += 1
        del self.entries[key]

    def save_copy(self):
        """Save a copy of the current entries."""
        self._copy = (dict(self.entries), self.revision)

    def restore(self):
        """Restore the copy, which loses all later changes."""
        self.entries = dict(self._copy[0])
        self.revision = self._copy[1]
        self.epoch += 1

    async def start(self):
        app = web.Application()
        app.router.add_get('/api/kv-range', self._range)
        self._runner = web.AppRunner(app)
        await self._runner.setup()
        site = web.TCPSite(self._runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def stop(self):
        await self._runner.cleanup()

    async def _range(self, request):
        self.queries.append(dict(request.query))
        if self.fault.isdigit():
            return web.Response(status=int(self.fault))
        if self.fault == 'silent':
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(30)
        if self.fault == 'reset':
            request.transport.abort()
        if self.fault == 'garbage':
            return web.Response(body=b'{"items": 7')
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(request.query['prefix'])
            and key > request.query.get('after', '')
        )
        items = [self._item(key) for key in keys[:ENTRIES_PER_PAGE]]
        return web.json_response(
            {
                'items': items,
                'has_more': len(keys) > ENTRIES_PER_PAGE,
                'as_of': self.revision,
                'unknown_field': {'may': 'come'},
            },
            headers={'Store-Era': str(self.epoch)},
        )

    def _item(self, key):
        raw, revision = self.entries[key]
        return {
            'key': key,
            'value': self.raw_values.get(
                key,
                base64.b64encode(raw).decode(),
            ),
            'revision': revision,
            'created': 1,
            'lease': 0,
        }


def worker(service='books', address='127.0.0.1:9', **overrides):
    return {
        'service': service,
        'address': address,
        'zone': 'z1',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 4,
        **overrides,
    }


def configuration(version=7, **overrides):
    return {
        'version': version,
        'base_version': 1,
        'services': [
            {
                'name': 'books',
                'health_path': '/health',
                'max_connections': 390,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'hosts': [
            {
                'host': 'A.example',
                'paths': [
                    {
                        'name': 'r-1',
                        'prefix': '/books/',
                        'route_type': 'idempotent',
                        'timeout_s': 2,
                        'target_latency_s': 0.5,
                        'priority': 2,
                        'traffic_split': [
                            {'service': 'books', 'weight': 90},
                            {'service': 'fines', 'weight': 10},
                        ],
                        'max_attempts': 2,
                    },
                    {
                        'name': 'r-2',
                        'prefix': '/once/',
                        'route_type': 'non_idempotent',
                        'timeout_s': 2.5,
                        'target_latency_s': 1,
                        'priority': 1,
                        'service': 'books',
                        'max_attempts': 1,
                    },
                ],
            },
        ],
        **overrides,
    }


def _json(document):
    return json.dumps(document).encode()
