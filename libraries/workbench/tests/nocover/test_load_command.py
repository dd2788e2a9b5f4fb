"""Tests the load experiment's command from end to end, with short runs."""

from sardinepier.workbench.load import command


def test_the_command_writes_all_tables_and_the_figure(tmp_path, capsys):
    command.run(seed=1, quick=True, output_directory=str(tmp_path))
    written = tmp_path.joinpath('load.md').read_text()
    assert written.count('### ') == 8
    assert 'nan' not in written
    printed = capsys.readouterr().out.splitlines()
    assert printed == written.splitlines()
    assert tmp_path.joinpath('load.png').stat().st_size > 10_000
