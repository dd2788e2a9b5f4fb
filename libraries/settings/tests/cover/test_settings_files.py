"""Files on disk, checks across files, defaults, and the reference page."""

import dataclasses
import pathlib

import pytest

from sardinepier.settings import errors, model, parsing, reference
from sardinepier.settings.internal import checking, examples

PAGE = pathlib.Path(__file__).parents[4] / 'docs' / 'settings.md'
FLEET = parsing.parse_fleet(examples.FLEET, 'fleet')
SERVICE = parsing.parse_service(examples.SERVICE, 'service/deposits')
INSTANCE = parsing.parse_instance(examples.INSTANCE, 'entry.ini')


def test_a_file_is_read_from_disk(tmp_path) -> None:
    path = tmp_path / 'entry.ini'
    path.write_text(examples.INSTANCE, encoding='utf-8-sig')
    assert parsing.read_instance(path) == INSTANCE
    path.write_text(examples.INSTANCE.replace('\n', '\r\n'))
    assert parsing.read_instance(str(path)) == INSTANCE


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (None, errors.UnreadableFileError),
        (b'\xff\xfe', errors.UndecodableFileError),
        (b'#' * 5_000_000, errors.OversizedFileError),
        (b'#' * 2_000_000, errors.InvalidSettingsError),
        (b'', errors.InvalidSettingsError),
    ],
)
def test_an_invalid_file_raises_a_typed_error(
    tmp_path,
    content,
    expected,
) -> None:
    path = tmp_path / 'entry.ini'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(expected):
        parsing.read_instance(path)


@pytest.mark.parametrize('path', ['/', 'a\0b', ''])
def test_an_unreadable_path_raises_a_typed_error(path) -> None:
    with pytest.raises(errors.UnreadableFileError):
        parsing.read_instance(path)


def test_files_are_checked_together(snapshot) -> None:
    assert not parsing.check_across_files(FLEET, (SERVICE,))
    moved_target = dataclasses.replace(SERVICE.targets[0], zone='east')
    service = dataclasses.replace(SERVICE, targets=(moved_target,))
    problems = parsing.check_across_files(FLEET, (SERVICE, service))
    assert [str(problem) for problem in problems] == snapshot


@pytest.mark.parametrize(
    ('changes', 'keys'),
    [({}, []), ({'zone': 'east'}, ['zone']), ({'region': 'x'}, ['region'])],
)
def test_a_daemon_is_checked_against_the_fleet(changes, keys, snapshot) -> None:
    changed = dataclasses.replace(INSTANCE, **changes)
    problems = parsing.check_instance(changed, FLEET)
    assert [problem.key for problem in problems] == keys
    assert [str(problem) for problem in problems] == snapshot


def test_defaults_are_those_that_operators_were_told(snapshot) -> None:
    fleet = parsing.parse_fleet('[fleet]\nname=f\n[zone z]\nregion=r', 'f')
    assert fleet == snapshot(name='fleet')
    text = examples.SERVICE
    for line in ('floor_percent = 70', 'priority = high', 'hedged = yes'):
        text = text.replace(line, '')
    text = text.replace('false_ejections_per_target_day = 0.01', '')
    assert parsing.parse_service(text, 's') == snapshot(name='service')
    assert INSTANCE.advertised_peer_ip == INSTANCE.address_ip
    assert INSTANCE.advertised_peer_port == INSTANCE.peer_port
    assert INSTANCE.seeds[1] == model.PeerSeed(ip='10.2.0.8', port=7000)
    assert parsing.parse_instance(
        f'{examples.INSTANCE}log_level = debug\nadvertised_peer_port = 9\n',
        'i',
    ) == dataclasses.replace(
        INSTANCE,
        log_level='DEBUG',
        advertised_peer_port=9,
    )


def test_the_number_of_listed_problems_is_bounded() -> None:
    unknown = '\n'.join(f'[x{number}]' for number in range(9_000))
    repeated = '[fleet]\n' * 9_000
    for text in (unknown, repeated):
        with pytest.raises(errors.InvalidSettingsError) as raised:
            parsing.parse_fleet(text, 'fleet')
        count = len(raised.value.problems)  # noqa: WPS441 set by the block
        assert 50 < count <= checking.MAX_PROBLEMS + 1


def test_the_reference_page_is_up_to_date() -> None:
    # Regenerate it with `python -m sardinepier.settings.reference`.
    assert PAGE.read_text(encoding='utf-8') == reference.markdown()


def test_every_key_has_a_meaning() -> None:
    sections = [
        section for file in reference.files() for section in file.sections
    ]
    keys = [key for section in sections for key in section.keys]
    assert len(keys) > 50
    assert all(key.meaning.endswith('.') and key.value_type for key in keys)
