"""The operators' page names all exit codes, causes, events and JSON keys."""

import pathlib
import typing

import msgspec
import pytest
from sardinepier.cli import (
    addresses,
    check,
    exit_codes,
    request,
    timeline,
)
from sardinepier.cli import status as status_command
from sardinepier.cli.from_files import explain, log_timeline, retries
from sardinepier.telemetry import events, status

PAGE = pathlib.Path(__file__).parents[4] / 'docs' / 'command-line.md'
DOCUMENTS = (
    addresses.AddressesReport,
    check.CheckReport,
    check.Mistake,
    log_timeline.LogTimelineReport,
    explain.ExplainReport,
    explain.KnownEvent,
    explain.Step,
    retries.InstanceUse,
    retries.RetriesReport,
    retries.ServiceUse,
    request.Attempt,
    request.RequestReport,
    status_command.StatusReport,
    timeline.TimelineReport,
    status.DaemonStatus,
    status.LatencySummary,
    status.MemberStatus,
    status.PeerCounters,
    status.ServiceStatus,
    status.TargetStatus,
)


@pytest.mark.parametrize(
    'name',
    [
        *(code.name for code in exit_codes.ExitCode),
        *(cause.value for cause in explain.Cause),
        *(kind.__name__ for kind in typing.get_args(events.Event)),
        *(
            field.encode_name
            for document in DOCUMENTS
            for field in msgspec.structs.fields(document)
        ),
    ],
)
def test_the_reference_names(name):
    text = PAGE.read_text(encoding='utf-8')
    assert f'`{name}`' in text or f'`{name}[]`' in text
