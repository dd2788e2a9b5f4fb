"""Only the adapter uses names of the platform, and the adapter stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / 'platform' / 'sardinepier_adapter'
PLATFORM_NAMES = re.compile(
    r'X-Sardinepier-|api/(kv-|resolve|readiness)|SARDINEPIER_BOOT|'
    r'op/config|ttl_max_s|listen\.front|warmup_left_s|route_type',
)
MAX_LINES = 1200
WORKBENCH = ROOT / 'libraries' / 'workbench'
DEPLOYMENT_NAMES = re.compile(
    'ashva|kloofnek|tesis|rajkot|jamnagar|isando|midrand|samrand|centurion|'
    'sala-|sale-desk|papers-hall|closebook|buscador|depositos|fichas|'
    r'fleetbench|\bbench\b|(quiet|trouble|scale)-[0-9]',
    re.IGNORECASE,
)
"""Names of deployments, their parts and workloads, and the tools that run them."""


def sources():
    return [
        path
        for path in (ROOT / 'libraries').rglob('*.py')
        if 'tests' not in path.parts
    ]


def test_no_library_uses_a_name_of_the_platform():
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in sources()
        for line in path.read_text().splitlines()
        if PLATFORM_NAMES.search(line)
    ]
    assert not found


def test_the_pattern_matches_the_names_in_the_adapter():
    text = ''.join(path.read_text() for path in ADAPTER.glob('*.py'))
    assert len(PLATFORM_NAMES.findall(text)) > 10


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in ADAPTER.glob('*.py')
    )
    assert lines < MAX_LINES


def test_the_platform_folder_does_not_shadow_the_standard_library():
    assert not (ROOT / 'platform' / '__init__.py').exists()


def test_product_code_names_no_deployment_or_workload():
    """The daemons must adapt to what they observe, not to a known deployment."""
    paths = [path for path in sources() if not path.is_relative_to(WORKBENCH)]
    paths.extend((ROOT / 'platform').rglob('*.py'))
    found = [
        f'{path.relative_to(ROOT)}: {line.strip()}'
        for path in paths
        for line in path.read_text().splitlines()
        if DEPLOYMENT_NAMES.search(line)
    ]
    assert len(paths) > 100
    assert not found
