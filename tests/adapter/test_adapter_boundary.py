"""The platform's names stand in this folder only, and it stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
FOLDER = ROOT / 'platform' / 'sardinepier_adapter'
NAMES = re.compile(
    r'X-Sardinepier-|api/(kv-|resolve|readiness)|SARDINEPIER_BOOT|'
    r'op/config|ttl_max_s|listen\.front|warmup_left_s|route_type',
)
MOST_LINES = 1200


def sources():
    return [
        path
        for path in (ROOT / 'libraries').rglob('*.py')
        if 'tests' not in path.parts
    ]


def test_no_library_knows_a_name_of_the_platform():
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sources()
        for line in path.read_text().splitlines()
        if NAMES.search(line)
    ]
    assert not found


def test_the_pattern_finds_the_names_where_they_stand():
    text = ''.join(path.read_text() for path in FOLDER.glob('*.py'))
    assert len(NAMES.findall(text)) > 10


def test_the_folder_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in FOLDER.glob('*.py')
    )
    assert lines < MOST_LINES


def test_the_folder_hides_no_module_of_the_standard_library():
    assert not (ROOT / 'platform' / '__init__.py').exists()
