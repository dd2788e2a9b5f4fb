"""Compact reports decode to the full evidence, whichever are lost."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.daemon.internal import group_messages, report_codec
from sardinepier.health import evidence

_COUNT = st.integers(min_value=0, max_value=3)
_STEP = st.fixed_dictionaries(
    {
        'names': st.lists(
            st.sampled_from(['t1', 't2', 't3', 't4']), unique=True, min_size=1
        ),
        'counts': st.lists(_COUNT, min_size=4, max_size=4),
        'elapsed_s': st.sampled_from([0.1, 0.5, 4.0, 11.0]),
        'is_lost': st.booleans(),
        'has_new_peer': st.booleans(),
    },
)


def _report(sequence, names, counts):
    return evidence.EvidenceReport(
        sequence=sequence,
        doubts_itself=bool(counts[0]),
        evidence=tuple(
            evidence.TargetEvidence(
                target_id=name,
                incarnation='a',
                scores=(count / 8, -count / 4),
                good=count,
                attempts=2 * count,
                overdue=count / 2,
                overdue_ms=count,
                in_flight=count,
            )
            for name, count in zip(sorted(names), counts, strict=False)
        ),
        ejections=(),
        leaving=(),
    )


@given(st.lists(_STEP, max_size=30))
def test_decoding_gives_the_report_or_rows_of_older_ones(steps):
    writer, reader = report_codec.ReportWriter(), report_codec.ReportReader()
    now_s = 0.0
    sent_rows: set[evidence.TargetEvidence] = set()
    misses_full = True
    for sequence, step in enumerate(steps, start=1):
        now_s += step['elapsed_s']
        if step['has_new_peer']:
            writer.renew()
        report = _report(sequence, step['names'], step['counts'])
        sent_rows.update(report.evidence)
        message = writer.write('deposits', report, now_s)
        encoded = msgspec.msgpack.encode(message)
        if step['is_lost']:
            misses_full = True
            continue
        misses_full = misses_full and not message.targets
        decoded = msgspec.msgpack.decode(
            encoded, type=group_messages.GroupReport
        )
        read = reader.read(decoded)
        if not misses_full:
            assert read == report
        elif read is not None:
            assert read.sequence == report.sequence
            assert set(read.evidence) <= sent_rows
        assert reader.read(decoded) is None


@pytest.mark.parametrize('position', (-1, 2, 4000))
def test_a_row_without_a_target_is_ignored(position):
    writer, reader = report_codec.ReportWriter(), report_codec.ReportReader()
    report = _report(1, ['t1', 't2'], [1, 1, 1, 1])
    message = writer.write('deposits', report, 0.0)
    stray = msgspec.structs.replace(message.rows[0], position=position)
    forged = msgspec.structs.replace(message, rows=(*message.rows, stray))
    assert reader.read(forged) == report


def test_a_report_without_changes_of_a_large_service_is_small():
    writer = report_codec.ReportWriter()
    names = [f'worker-{number:04}' for number in range(47)]
    first = _report(1, names, list(range(47)))
    full = writer.write('deposits', first, 0.0)
    unchanged = writer.write(
        'deposits', msgspec.structs.replace(first, sequence=2), 1.0
    )
    sizes = [
        len(msgspec.msgpack.encode(message)) for message in (full, unchanged)
    ]
    assert sizes[0] < 47 * 45
    assert sizes[1] < 100
