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
EXPERIMENTS = ROOT / 'libraries' / 'workbench'
PLACES = re.compile(
    'ashva|kloofnek|tesis|rajkot|jamnagar|isando|midrand|samrand|centurion|'
    'sala-|sale-desk|papers-hall|closebook|buscador|depositos|fichas|'
    r'fleetbench|\bbench\b|(quiet|trouble|scale)-[0-9]',
    re.IGNORECASE,
)
"""Names of deployments, of what is in them, of days, and of what plays them."""


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


def test_nothing_that_serves_depends_on_a_deployment_or_a_day():
    """What adapts, adapts to what it observes."""
    served = [
        path for path in sources() if not path.is_relative_to(EXPERIMENTS)
    ]
    served.extend((ROOT / 'platform').rglob('*.py'))
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in served
        for line in path.read_text().splitlines()
        if PLACES.search(line)
    ]
    assert len(served) > 100
    assert not found
