"""Renders snapshots as INI text, with every key written out.

Parsing the text gives an equal snapshot:
``parsing.parse_service(rendering.render_service(settings), source)`` equals
``settings``. An invalid snapshot raises ``InvalidSettingsError``.
"""

from collections.abc import Iterator

from sardinepier.settings import model, parsing
from sardinepier.settings.internal import ini, schema


def render_fleet(settings: model.FleetSettings) -> str:
    """Return the text of the ``fleet`` file."""
    sections = [_section('fleet', schema.FleetSection, settings)]
    for zone in settings.zones:
        sections.append(
            _section(f'zone {zone.name}', schema.ZoneSection, zone),
        )
    text = ini.write(sections)
    parsing.parse_fleet(text, 'fleet')
    return text


def render_service(settings: model.ServiceSettings) -> str:
    """Return the text of the ``service/<name>`` file."""
    text = ini.write(list(_service_sections(settings)))
    parsing.parse_service(text, f'service/{settings.name}')
    return text


def render_instance(settings: model.InstanceSettings) -> str:
    """Return the text of the file of one daemon."""
    text = ini.write([_section('instance', schema.InstanceSection, settings)])
    parsing.parse_instance(text, f'instance {settings.daemon_id}')
    return text


def _service_sections(
    settings: model.ServiceSettings,
) -> Iterator[ini.Section]:
    yield _section('service', schema.ServiceSection, settings)
    yield _section(
        'shed-reply',
        schema.ShedReplySection,
        settings.shed_reply,
    )
    for target in settings.targets:
        yield _section(
            f'target {target.target_id}',
            schema.TargetSection,
            target,
        )
    for route in settings.routes:
        yield _section(f'route {route.name}', schema.RouteSection, route)


def _section(
    title: str,
    kind: type[schema.Section],
    content: object,
) -> ini.Section:
    entries = {key: _text(getattr(content, key)) for key in kind.model_fields}
    return ini.Section(title, entries)


def _text(value: object) -> str:
    match value:
        case bool():
            return 'yes' if value else 'no'
        case model.Priority():
            return value.name.lower()
        case model.PeerSeed():
            return f'{value.ip}:{value.port}'
        case tuple():
            return ' '.join(_text(part) for part in value)
        case float() if value.is_integer():
            return str(int(value))
    return str(value)
