"""Reports in few bytes say the same as whole ones, whatever is lost."""

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
def test_what_arrives_is_the_report_or_older_rows_of_it(steps):
    writer, reader = report_codec.ReportWriter(), report_codec.ReportReader()
    now_s = 0.0
    told_rows: set[evidence.TargetEvidence] = set()
    lost_any = True
    for sequence, step in enumerate(steps, start=1):
        now_s += step['elapsed_s']
        if step['has_new_peer']:
            writer.renew()
        report = _report(sequence, step['names'], step['counts'])
        told_rows.update(report.evidence)
        message = writer.write('deposits', report, now_s)
        text = msgspec.msgpack.encode(message)
        if step['is_lost']:
            lost_any = True
            continue
        lost_any = lost_any and not message.targets
        decoded = msgspec.msgpack.decode(text, type=group_messages.GroupReport)
        read = reader.read(decoded)
        if not lost_any:
            assert read == report
        elif read is not None:
            assert read.sequence == report.sequence
            assert set(read.evidence) <= told_rows
        assert reader.read(decoded) is None


@pytest.mark.parametrize('position', (-1, 2, 4000))
def test_a_row_without_a_target_is_passed_over(position):
    writer, reader = report_codec.ReportWriter(), report_codec.ReportReader()
    report = _report(1, ['t1', 't2'], [1, 1, 1, 1])
    message = writer.write('deposits', report, 0.0)
    stray = msgspec.structs.replace(message.rows[0], position=position)
    forged = msgspec.structs.replace(message, rows=(*message.rows, stray))
    assert reader.read(forged) == report


def test_a_quiet_report_of_a_large_service_is_small():
    writer = report_codec.ReportWriter()
    names = [f'worker-{number:04}' for number in range(47)]
    first = _report(1, names, list(range(47)))
    whole = writer.write('deposits', first, 0.0)
    quiet = writer.write(
        'deposits', msgspec.structs.replace(first, sequence=2), 1.0
    )
    sizes = [len(msgspec.msgpack.encode(one)) for one in (whole, quiet)]
    assert sizes[0] < 47 * 45
    assert sizes[1] < 100
