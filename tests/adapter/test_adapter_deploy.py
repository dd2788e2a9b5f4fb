"""The deploy file and the adapter agree."""

import pathlib
import tomllib

from sardinepier_adapter import names

ROOT = pathlib.Path(__file__).parents[2]


def test_the_metrics_are_where_the_deploy_file_says():
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    stated = tomllib.loads(text)['roles']['entry']['metrics']
    assert stated == f'{names.METRICS_PORT}{names.METRICS_PATH}'
