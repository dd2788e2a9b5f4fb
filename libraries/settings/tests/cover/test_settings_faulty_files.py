"""Each mistake is reported with its place, a reason and a remedy."""

import pytest

from sardinepier.settings import errors, parsing
from sardinepier.settings.internal import examples, ini

FLEET = 'fleet'
SERVICE = 'service/deposits'
INSTANCE = 'entry.ini'
VALID_FILES = {
    FLEET: (parsing.parse_fleet, examples.FLEET),
    SERVICE: (parsing.parse_service, examples.SERVICE),
    INSTANCE: (parsing.parse_instance, examples.INSTANCE),
}
END = ''
TARGET = '[target x]\nport = 9000\nzone = north\nslots = 1\nip = '
ROUTE = '[route x]\nmethod = GET\nidempotent = yes\ndeadline_ms = 1\npath = '

# File, text of the valid example to replace once (END: append instead), its
# replacement, and the section and key of every expected problem.
CASES = (
    (SERVICE, 'name = deposits', 'name = v1', 'service/name'),
    (SERVICE, 'name = deposits', 'name = other', 'service/name'),
    (SERVICE, 'name = deposits', 'name = a/b', 'service/name'),
    (SERVICE, 'name = deposits\n', '', 'service/name'),
    (SERVICE, 'name = deposits', 'stray', '- service/name'),
    (SERVICE, '[service]\n', '', '- - - service'),
    (SERVICE, '[service]', '[service', '- - - - service'),
    (SERVICE, '[service]', '[Service]', 'Service service'),
    (SERVICE, '[service]', '[service] name = x', '- - - - service'),
    (SERVICE, '[shed-reply]', '[shedreply]', 'shedreply shed-reply'),
    (SERVICE, END, '[shed-reply]\nstatus = 1', 'shed-reply'),
    (SERVICE, END, '[target worker-1]\nip = 1', 'target worker-1'),
    (
        SERVICE,
        END,
        '[target]',
        'target target/ip target/port target/zone target/slots',
    ),
    (SERVICE, END, '[DEFAULT]\nport = 1', 'DEFAULT'),
    (SERVICE, END, 'hedged = no', 'route fetch/hedged'),
    (SERVICE, 'port = 9000', 'port = 0', 'target worker-1/port'),
    (SERVICE, 'port = 9000', 'port = 65536', 'target worker-1/port'),
    (
        SERVICE,
        'port = 9000',
        'prot = 1',
        'target worker-1/port target worker-1/prot',
    ),
    (
        SERVICE,
        'port = 9000',
        'Port = 1',
        'target worker-1/port target worker-1/Port',
    ),
    (SERVICE, 'port = 9000', 'port: 9000', '- target worker-1/port'),
    (SERVICE, 'slots = 3', 'slots = 0', 'target worker-1/slots'),
    (SERVICE, 'slots = 3', 'slots = 3 # cores', 'target worker-1/slots'),
    (SERVICE, 'slots = 3', 'slots = 3\n  4', 'target worker-1/slots'),
    (SERVICE, 'slots = 3', 'slots =', 'target worker-1/slots'),
    (SERVICE, '10.1.0.11', '10.1.0', 'target worker-1/ip'),
    (SERVICE, '10.1.0.11', '0.0.0.0', 'target worker-1/ip'),
    (SERVICE, '10.1.0.11', 'worker-1.example', 'target worker-1/ip'),
    (SERVICE, END, f'{TARGET}10.1.0.11', 'target x/port'),
    (SERVICE, '= 70', '= 101', 'service/floor_percent'),
    (SERVICE, '= 70', '= -0.1', 'service/floor_percent'),
    (SERVICE, '= 70', '= nan', 'service/floor_percent'),
    (SERVICE, '= 70', '= 70%', 'service/floor_percent'),
    (SERVICE, '= 0.01', '= 0', 'service/false_ejections_per_target_day'),
    (SERVICE, '= 0.01', '= inf', 'service/false_ejections_per_target_day'),
    (
        SERVICE,
        '[shed',
        'connections_per_target = 401\n[shed',
        'service/connections_per_target',
    ),
    (
        SERVICE,
        '[shed',
        'connect_timeout_ms = 0\n[shed',
        'service/connect_timeout_ms',
    ),
    (SERVICE, '[shed', 'health_path = health\n[shed', 'service/health_path'),
    (SERVICE, '[shed', 'health_path = /{x}\n[shed', 'service/health_path'),
    (
        SERVICE,
        '[shed',
        'draining_header = Connection\n[shed',
        'service/draining_header',
    ),
    (SERVICE, 'status = 503', 'status = 200', 'shed-reply/status'),
    (SERVICE, 'Shed', 'Shed Reply', 'shed-reply/header_name'),
    (SERVICE, 'not-run', 'no cor\u00e9', 'shed-reply/header_value'),
    (SERVICE, 'POST', 'Post', 'route register/method'),
    (SERVICE, '= /deposits\n', '= deposits\n', 'route register/path'),
    (SERVICE, '= /deposits\n', '= /a//b\n', 'route register/path'),
    (SERVICE, '= /deposits\n', '= /a/../b\n', 'route register/path'),
    (SERVICE, '= /deposits\n', '= /a%20b\n', 'route register/path'),
    (SERVICE, '= /deposits\n', '= /a{b}\n', 'route register/path'),
    (SERVICE, '= /deposits\n', '= /{b}/{b}\n', 'route register/path'),
    (SERVICE, '= /deposits\n', f'= {"/a" * 17}\n', 'route register/path'),
    (SERVICE, 'idempotent = no\n', '', 'route register/idempotent'),
    (
        SERVICE,
        'idempotent = no',
        'idempotent = false',
        'route register/idempotent',
    ),
    (SERVICE, 'idempotent = yes', 'idempotent = no', 'route fetch/hedged'),
    (
        SERVICE,
        'priority = high',
        'priority = urgent',
        'route register/priority',
    ),
    (SERVICE, '= 5000', '= 0', 'route register/deadline_ms'),
    (SERVICE, '= 5000', '= 1.5', 'route register/deadline_ms'),
    (SERVICE, END, f'{ROUTE}/deposits/{{other}}', 'route x/path'),
    (SERVICE, END, f'{ROUTE}/{{other}}/new', 'route x/path'),
    (FLEET, 'name = library', 'name = a b', 'fleet/name'),
    (FLEET, '[zone north]', '[zone  north]', 'zone  north'),
    (FLEET, 'region = coast', 'region =', 'zone north/region'),
    (
        FLEET,
        '\n[zone',
        'addresses_valid_s = 0\n[zone',
        'fleet/addresses_valid_s',
    ),
    (
        FLEET,
        '\n[zone',
        'addresses_valid_s = 61\n[zone',
        'fleet/shutdown_grace_s',
    ),
    (
        FLEET,
        '\n[zone',
        'ticket_epoch_s = 2\n[zone',
        'fleet/ticket_valid_epochs',
    ),
    (
        FLEET,
        '\n[zone',
        'suspicion_timeout_ms = 500\n[zone',
        'fleet/suspicion_timeout_ms',
    ),
    (FLEET, '\n[zone', 'caller_header = Host\n[zone', 'fleet/caller_header'),
    (FLEET, examples.FLEET, '[fleet]\nname = x', '-'),
    (FLEET, examples.FLEET, '', 'fleet -'),
    (FLEET, examples.FLEET, '#' * (ini.MAX_CHARACTERS + 1), '-'),
    (FLEET, examples.FLEET, '[fleet]\n\0', '-'),
    (INSTANCE, 'entry-07', 'entry.07', 'instance/daemon_id'),
    (INSTANCE, 'peer_port = 7000', 'peer_port = 8080', 'instance/peer_port'),
    (INSTANCE, '10.1.0.8:7000', '10.1.0.8', 'instance/seeds'),
    (INSTANCE, '10.1.0.8:7000', '10.1.0.8:0', 'instance/seeds'),
    (INSTANCE, '10.1.0.8:7000', 'peer:7000', 'instance/seeds'),
    (
        INSTANCE,
        'http://10.1.0.5:8500',
        'ftp://10.1.0.5',
        'instance/platform_urls',
    ),
    (
        INSTANCE,
        'http://10.1.0.5:8500',
        'http://a:99999',
        'instance/platform_urls',
    ),
    (
        INSTANCE,
        'http://10.1.0.5:8500',
        'http://u:p@a',
        'instance/platform_urls',
    ),
    (
        INSTANCE,
        'http://10.1.0.5:8500',
        'http://a?b=c',
        'instance/platform_urls',
    ),
    (INSTANCE, END, 'log_level = loud', 'instance/log_level'),
    (
        INSTANCE,
        END,
        'advertised_peer_port = 0',
        'instance/advertised_peer_port',
    ),
)


@pytest.mark.parametrize(
    ('source', 'old', 'new', 'places'),
    CASES,
    ids=[repr(case[:3])[:80] for case in CASES],
)
def test_a_mistake_is_reported_at_its_place(
    source,
    old,
    new,
    places,
    snapshot,
) -> None:
    parse, valid_text = VALID_FILES[source]
    parse(valid_text, source)
    text = valid_text.replace(old, new, 1) if old else f'{valid_text}{new}'
    with pytest.raises(errors.InvalidSettingsError) as raised:
        parse(text, source)
    problems = raised.value.problems  # noqa: WPS441 set by the block
    assert ' '.join(map(place, problems)) == places
    assert [str(problem) for problem in problems] == snapshot


def place(problem: errors.Problem) -> str:
    parts = [problem.section or '-', problem.key]
    return '/'.join(part for part in parts if part)
