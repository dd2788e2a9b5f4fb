"""Generates lines of log files."""

import json


def line(second, instance, event, **fields):
    return json.dumps(
        {
            'time': f'2026-01-01T00:00:{second:06.3f}+00:00',
            'level': 'info',
            'event': event,
            'instance_id': instance,
            'fields': fields,
        },
    )
