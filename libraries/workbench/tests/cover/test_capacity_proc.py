"""The figures of a process are read whatever its name is."""

import os
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.workbench.capacity import proc

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
COUNT = st.integers(0, 10**9)


def stat_text(name, user, system, start):
    middle = ' '.join(str(field) for field in range(4, 14))
    tail = ' '.join(str(field) for field in range(16, 22))
    return f'71 ({name}) S {middle} {user} {system} {tail} {start} 7 8'


@given(st.text(max_size=15), COUNT, COUNT, COUNT)
def test_stat_is_read_behind_any_name(name, user, system, start):
    text = stat_text(name, user, system, start)
    cpu_ms = (user + system) * 1000 / TICKS_PER_S
    assert proc.parse_cpu_ms(text) == pytest.approx(cpu_ms)
    assert proc.parse_start_s(text) == pytest.approx(start / TICKS_PER_S)


def test_status_gives_its_numbers_by_name():
    text = 'Name:\tx y\nVmRSS:\t   61000 kB\nvoluntary_ctxt_switches:\t42\n'
    found = proc.parse_status(text)
    assert found['VmRSS'] == 61000
    assert found['voluntary_ctxt_switches'] == 42


def test_own_process_grows_its_processor_time():
    before = proc.read(os.getpid())
    while time.process_time() * 1000 < before.cpu_ms + 40:
        sum(range(10_000))
    after = proc.read(os.getpid())
    assert after.cpu_ms > before.cpu_ms
    assert after.resident_bytes > 1_000_000


def test_process_that_is_gone_has_an_error_of_its_own():
    with pytest.raises(proc.ProcessGoneError):
        proc.read(2**22 + 1)
