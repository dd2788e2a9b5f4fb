"""The ledger grants no key twice and answers only the caller of a key."""

import asyncio
import dataclasses
import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.once import answers, errors, ledger, records, tickets

EPOCH_S = 10.0
OPTIONS = ledger.LedgerOptions(
    epoch_s=EPOCH_S,
    valid_epochs=2,
    capacity=6,
    capacity_bytes=6 * ledger.RECORD_BYTES + 800,
    answer_limit_bytes=600,
)
CALLER = ids.CallerId('books-7')
INSTANCE = 'd1~{0:016x}'


def make_key(home='d1~0000000000000000', epoch=0, part='a'):
    ticket = tickets.Ticket(ids.InstanceId(home), epoch, f'{7:016x}')
    return tickets.RequestKey(ticket, part)


def make_ledger(clock, number=0, options=OPTIONS):
    home = ids.InstanceId(INSTANCE.format(number))
    return ledger.Ledger(home, clock.monotonic_s(), clock, options)


class HomesOfKeys(stateful.RuleBasedStateMachine):
    """Callers resend at any time, while homes die, restart and expire records.

    ``ran`` counts how often each request was sent to a target.
    """

    keys = stateful.Bundle('keys')

    def __init__(self):
        super().__init__()
        self.clock = clocks.ManualClock()
        self.source = random.Random(0)
        self.starts = 0
        self.ran = {}
        self.running = {}
        self.fingerprints = {}
        self.dead_homes = []
        self.restart()

    @stateful.rule()
    def restart(self):
        if self.starts:
            self.dead_homes.append(self.home)
        self.home = make_ledger(self.clock, self.starts)
        self.started_at_s = self.clock.monotonic_s()
        self.running = {}
        self.starts += 1

    @stateful.rule(
        target=keys,
        part=st.sampled_from('ab'),
        caller=st.sampled_from(['x', 'y']),
        late_s=st.sampled_from([0.0, 15.0]),
        epochs_ahead=st.sampled_from([0, 0, 1, 2]),
    )
    def take_ticket(self, part, caller, late_s, epochs_ahead):
        ticket = tickets.mint(
            ids.InstanceId(INSTANCE.format(self.starts - 1)),
            self.started_at_s + late_s,
            EPOCH_S,
            self.clock,
            self.source,
        )
        later_ticket = tickets.Ticket(
            ticket.home,
            ticket.epoch + epochs_ahead,
            ticket.nonce,
        )
        return tickets.RequestKey(later_ticket, part), ids.CallerId(caller)

    @stateful.rule(
        sent=keys,
        fingerprint=st.sampled_from([1, 1, 1, 2]),
        is_other_caller=st.booleans(),
    )
    def send(self, sent, fingerprint, is_other_caller):
        key, caller = sent
        caller = ids.CallerId('other') if is_other_caller else caller
        for home in (*self.dead_homes, self.home):
            self._send_to(home, key, caller, fingerprint)

    @stateful.rule(sent=keys, size_bytes=st.sampled_from([5, 150, 500]))
    def complete(self, sent, size_bytes):
        self._settle(
            sent,
            lambda record, identity: record.complete(
                answers.RecordedAnswer(
                    200,
                    (('Of', repr(identity)),),
                    b'x' * size_bytes,
                ),
            ),
        )

    @stateful.rule(sent=keys)
    def lose_connection(self, sent):
        self._settle(sent, lambda record, _: record.mark_unknown('lost'))

    @stateful.rule(sent=keys)
    def prove_not_run(self, sent):
        def release(record, identity):
            self.ran[identity] -= 1
            record.release_not_run()

        self._settle(sent, release)

    @stateful.rule(sent=keys)
    def never_granted_key_has_not_run(self, sent):
        for home in (*self.dead_homes, self.home):
            if home.never_granted(*sent):
                assert not self.ran.get(sent)

    @stateful.rule(elapsed_s=st.sampled_from([1.0, 9.0, 25.0]))
    def wait(self, elapsed_s):
        self.clock.advance(elapsed_s)

    @stateful.rule(valid_epochs=st.sampled_from([1, 2, 5]))
    def change_validity(self, valid_epochs):
        self.home.set_options(
            ledger.LedgerOptions(EPOCH_S, valid_epochs, 6, 9000, 600),
        )

    @stateful.invariant()
    def no_key_ran_twice(self):
        assert all(count <= 1 for count in self.ran.values())

    @stateful.invariant()
    def capacity_is_not_exceeded(self):
        assert len(self.home) <= OPTIONS.capacity
        assert 0 <= self.home.kept_bytes <= 9000

    def _send_to(self, home, key, caller, fingerprint):
        identity = (key, caller)
        try:
            claim = home.begin(key, caller, fingerprint)
        except errors.OnceError:
            return
        if isinstance(claim, records.Granted):
            assert home is self.home or home in self.dead_homes
            self.ran[identity] = self.ran.get(identity, 0) + 1
            self.running[identity] = claim.record
            self.fingerprints[identity] = fingerprint
        elif isinstance(claim, records.Answered):
            self._check_answer(claim.answer, identity, fingerprint)

    def _check_answer(self, answer, identity, fingerprint):
        assert self.fingerprints[identity] == fingerprint
        if isinstance(answer, answers.RecordedAnswer) and answer.headers:
            assert answer.headers == (('Of', repr(identity)),)

    def _settle(self, sent, action):
        record = self.running.pop(sent, None)
        if record is not None:
            action(record, sent)


test_once_homes_of_keys = HomesOfKeys.TestCase
test_once_homes_of_keys.settings = settings(
    max_examples=150,
    stateful_step_count=40,
)


@pytest.mark.parametrize(
    ('key', 'elapsed_s', 'expected'),
    [
        (make_key('d2~0000000000000000'), 0, errors.ForeignHomeError),
        (make_key('d1~0000000000000001'), 0, errors.ForeignHomeError),
        (make_key(epoch=2), 9, errors.FutureTicketError),
        (make_key(epoch=0), 30, errors.TicketExpiredError),
        (make_key(epoch=0, part='used'), 29, errors.KeyConflictError),
        (make_key(epoch=0, part='used'), 30, errors.TicketExpiredError),
    ],
)
def test_keys_that_may_not_run_are_refused(key, elapsed_s, expected):
    clock = clocks.ManualClock()
    home = make_ledger(clock)
    home.begin(make_key(part='used'), CALLER, 1)
    clock.advance(elapsed_s)
    with pytest.raises(expected) as caught:
        home.begin(key, CALLER, 2)
    assert caught.value.remedy


def test_a_full_ledger_refuses_new_keys_and_keeps_its_records():
    clock = clocks.ManualClock(5)
    home = make_ledger(clock)
    claims = [home.begin(make_key(part=part), CALLER, 1) for part in 'abcdef']
    with pytest.raises(errors.LedgerFullError) as caught:
        home.begin(make_key(part='g'), CALLER, 1)
    assert caught.value.retry_after_s == 30
    claims[0].record.release_not_run()
    assert isinstance(
        home.begin(make_key(part='g'), CALLER, 1),
        records.Granted,
    )
    assert isinstance(home.begin(make_key(part='b'), CALLER, 1), records.Joined)
    clock.advance(30)
    assert (home.expire(), len(home), home.kept_bytes) == (6, 0, 0)


def test_a_ledger_without_free_bytes_keeps_only_the_status():
    tight = dataclasses.replace(
        OPTIONS,
        capacity_bytes=3 * ledger.RECORD_BYTES + 800,
    )
    home = make_ledger(clocks.ManualClock(), options=tight)
    for part, fits in (('a', True), ('b', True), ('c', False)):
        claim = home.begin(make_key(part=part), CALLER, 1)
        claim.record.complete(answers.RecordedAnswer(201, (), b'x' * 199))
        resend = home.begin(make_key(part=part), CALLER, 1)
        assert resend.answer.status == 201
        assert (resend.answer.body is not None) is fits


def test_a_longer_validity_does_not_revive_an_expired_ticket():
    clock = clocks.ManualClock()
    home = make_ledger(clock)
    home.begin(make_key(), CALLER, 1)
    clock.advance(30)
    home.expire()
    home.set_options(ledger.LedgerOptions(1.0, 99, 6, 9000, 200))
    with pytest.raises(errors.TicketExpiredError):
        home.begin(make_key(), CALLER, 1)
    assert home.epoch_s == EPOCH_S


def test_the_length_of_an_epoch_is_fixed_by_the_first_request():
    clock = clocks.ManualClock()
    home = make_ledger(clock)
    clock.advance(35)
    home.expire()
    home.set_options(dataclasses.replace(OPTIONS, epoch_s=100.0))
    home.begin(make_key(), CALLER, 1)
    home.set_options(dataclasses.replace(OPTIONS, epoch_s=1.0))
    assert home.epoch_s == 100


async def test_resends_join_the_running_attempt_until_their_deadline():
    clock = clocks.ManualClock()
    home = make_ledger(clock)
    record = home.begin(make_key(), CALLER, 1).record
    joined = home.begin(make_key(), CALLER, 1)
    with pytest.raises(errors.RecordDeadlineError):
        await joined.record.wait(clock.monotonic_s())
    waits = [
        asyncio.ensure_future(joined.record.wait(clock.monotonic_s() + 60))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    answer = answers.RecordedAnswer(200, (), b'once')
    record.complete(answer)
    record.mark_unknown('too late to count')
    assert set(await asyncio.gather(*waits)) == {answer}
    assert await record.wait(0) == answer


def test_options_under_which_no_key_is_valid_are_rejected():
    with pytest.raises(core_errors.InvalidArgumentError):
        ledger.LedgerOptions(10.0, 0, 1, 1000, 10)
