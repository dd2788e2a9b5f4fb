"""The adapter conforms to the deploy file."""

import pathlib
import tomllib

from sardinepier_adapter import names

ROOT = pathlib.Path(__file__).parents[2]


def test_metrics_are_served_where_the_deploy_file_states():
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    stated = tomllib.loads(text)['roles']['entry']['metrics']
    assert stated == f'{names.METRICS_PORT}{names.METRICS_PATH}'
