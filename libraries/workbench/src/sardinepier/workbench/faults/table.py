"""The table of fault cases: each injects one fault, or two together."""

import signal
from typing import Final

from sardinepier.standins import target_faults
from sardinepier.workbench.faults import actions, cases, checks, links
from sardinepier.workbench.traffic import options

_HOME: Final = 'd1'
_HOME_HTTP: Final = 'd1-http'
_PEER: Final = 'd2'
_LEAVING_DAEMON: Final = 'd3'
_TARGET: Final = checks.LEAVING_TARGET
_DAEMONS: Final = (_HOME, _PEER, _LEAVING_DAEMON)
_ZONE: Final = (_PEER, 't2', 't5')
_TARGETS: Final = ('t1', 't2', 't3', 't4', 't5', 't6')
_POISON_TEXT: Final = 'poison-pill'
_ALL_PERCENT: Final = 100.0
_HALF_PERCENT: Final = 50.0
_HIGH_SLOW_FACTOR: Final = 40.0
_MODERATE_SLOW_FACTOR: Final = 20.0
_LOW_RATE_PER_S: Final = 20.0
_FLAP_MS: Final = 700.0
_NEW_QUEUE_LENGTH: Final = 50

_EARLY_HEAL_S: Final = 4.0
_LATE_HEAL_S: Final = 8.0
_LONG_RUN_S: Final = 12.0
_LATE_HEAL: Final = cases.Schedule(heal_at_s=_LATE_HEAL_S, end_at_s=_LONG_RUN_S)
_EARLY_HEAL: Final = cases.Schedule(
    heal_at_s=_EARLY_HEAL_S, end_at_s=_LONG_RUN_S
)
_LONG_RUN: Final = cases.Schedule(end_at_s=_LONG_RUN_S)
_SHORT_TIMEOUT_S: Final = 2.0
_ACTIVATION_WAIT_S: Final = 2.0

_CLEAR_FAULT: Final = actions.SetFault(target_faults.Fault(), (_TARGET,))
_SLOW_TARGET: Final = actions.SetFault(
    target_faults.Fault(slow_factor=_HIGH_SLOW_FACTOR),
    (_TARGET,),
)
_CUT_ONE_WAY: Final = actions.SetLink(
    _PEER,
    links.LinkMode.DROP,
    links.Direction.FORWARD,
    source=_HOME,
)
_HEAL_ONE_WAY: Final = actions.SetLink(_PEER, links.LinkMode.PASS, source=_HOME)


def _target_fault_case(
    name: str, fault: target_faults.Fault
) -> cases.FaultCase:
    broken = actions.SetFault(fault, (_TARGET,))
    return cases.FaultCase(name, broken, _CLEAR_FAULT)


def _drop_case(moment: target_faults.DropMoment) -> cases.FaultCase:
    # HTTP defines PUT as idempotent, so client libraries may resend it on
    # their own. Only the service's file says that this route is not.
    fault = target_faults.Fault(drop_percent=_HALF_PERCENT, drop_moment=moment)
    return cases.FaultCase(
        f'target drops {moment.value}',
        actions.SetFault(fault, (_TARGET,)),
        _CLEAR_FAULT,
        keyed_route=options.RouteChoice('PUT', '/records/7'),
    )


def _platform_case(mode: str) -> cases.FaultCase:
    return cases.FaultCase(
        f'platform {mode} during a change',
        actions.ActionSequence(
            (
                actions.SetPlatform(mode),
                actions.Publish(_NEW_QUEUE_LENGTH),
            )
        ),
        actions.SetPlatform('up'),
        _EARLY_HEAL,
        cut_allowed=False,
        check=checks.converges,
    )


CASES: Final = (
    cases.FaultCase('home killed', actions.Terminate(_HOME, signal.SIGKILL)),
    cases.FaultCase(
        'home replaced under its address',
        actions.Signal(_HOME, signal.SIGKILL),
        restarts=(_HOME,),
    ),
    cases.FaultCase(
        'home stopped past the deadline',
        actions.Signal(_HOME, signal.SIGSTOP),
        actions.Signal(_HOME, signal.SIGCONT),
        _LATE_HEAL,
        attempt_timeout_s=_SHORT_TIMEOUT_S,
    ),
    cases.FaultCase(
        'one-way cut between daemons',
        _CUT_ONE_WAY,
        _HEAL_ONE_WAY,
        relays=(_PEER,),
    ),
    _drop_case(target_faults.DropMoment.BEFORE),
    _drop_case(target_faults.DropMoment.DURING),
    _drop_case(target_faults.DropMoment.AFTER),
    _drop_case(target_faults.DropMoment.IDLE),
    cases.FaultCase(
        'answers of a target cut off',
        actions.SetLink(
            _TARGET,
            links.LinkMode.DROP,
            links.Direction.BACKWARD,
        ),
        actions.SetLink(_TARGET, links.LinkMode.PASS),
        relays=(_TARGET,),
    ),
    cases.FaultCase(
        'answers to callers cut off',
        actions.SetLink(
            _HOME_HTTP,
            links.LinkMode.DROP,
            links.Direction.BACKWARD,
        ),
        actions.SetLink(_HOME_HTTP, links.LinkMode.PASS),
        relays=(_HOME_HTTP,),
        attempt_timeout_s=_SHORT_TIMEOUT_S,
    ),
    cases.FaultCase(
        'target killed',
        actions.Terminate(_TARGET, signal.SIGKILL),
        actions.Release(_TARGET),
        restarts=(_TARGET,),
    ),
    cases.FaultCase(
        'target stopped and continued',
        actions.Signal(_TARGET, signal.SIGSTOP),
        actions.Signal(_TARGET, signal.SIGCONT),
    ),
    _target_fault_case(
        'target hung', target_faults.Fault(hang_percent=_ALL_PERCENT)
    ),
    cases.FaultCase('target slow', _SLOW_TARGET, _CLEAR_FAULT),
    _target_fault_case(
        'target errors', target_faults.Fault(error_percent=_HALF_PERCENT)
    ),
    _target_fault_case(
        'target flaps',
        target_faults.Fault(
            error_percent=_ALL_PERCENT, flap_period_ms=_FLAP_MS
        ),
    ),
    _target_fault_case(
        'target truncates', target_faults.Fault(truncated_percent=_HALF_PERCENT)
    ),
    cases.FaultCase(
        'target draining',
        actions.Drain(_TARGET),
        schedule=_LONG_RUN,
        cut_allowed=False,
        check=checks.leaving_stops,
    ),
    cases.FaultCase(
        'target ended by signal',
        actions.Terminate(_TARGET, signal.SIGTERM),
        schedule=_LONG_RUN,
        cut_allowed=False,
        check=checks.leaving_stops,
    ),
    cases.FaultCase(
        'daemon ended by signal',
        # Slow targets keep requests in flight at all times. Without them, an
        # exit that cuts requests would go unnoticed.
        actions.ActionSequence(
            (
                actions.SetFault(
                    target_faults.Fault(slow_factor=_MODERATE_SLOW_FACTOR),
                    _TARGETS,
                ),
                actions.Wait(1),
                actions.Terminate(_HOME, signal.SIGTERM),
            )
        ),
        schedule=_LONG_RUN,
        rate_per_s=_LOW_RATE_PER_S,
        cut_allowed=False,
    ),
    _platform_case('down'),
    _platform_case('stale'),
    _platform_case('garbage'),
    cases.FaultCase(
        'platform stale, daemon replaced',
        # The fleet has the newer file before the platform becomes stale.
        # The restarted daemon starts without any file.
        actions.ActionSequence(
            (
                actions.Publish(_NEW_QUEUE_LENGTH),
                actions.Wait(_ACTIVATION_WAIT_S),
                actions.SetPlatform('stale'),
                actions.Signal(_PEER, signal.SIGKILL),
            )
        ),
        actions.SetPlatform('up'),
        _LATE_HEAL,
        restarts=(_PEER,),
        check=checks.converges,
    ),
    cases.FaultCase(
        'poison crashes targets',
        actions.SetFault(target_faults.Fault(poison=_POISON_TEXT), _TARGETS),
        poison=_POISON_TEXT,
        check=checks.poison_stops,
    ),
    cases.FaultCase(
        'zone lost and back',
        actions.ActionSequence(
            tuple(actions.Terminate(name, signal.SIGKILL) for name in _ZONE),
        ),
        actions.ActionSequence(tuple(actions.Release(name) for name in _ZONE)),
        restarts=_ZONE,
    ),
    cases.FaultCase(
        'all daemons restarted together',
        actions.ActionSequence(
            tuple(actions.Signal(name, signal.SIGKILL) for name in _DAEMONS),
        ),
        restarts=_DAEMONS,
    ),
    cases.FaultCase(
        'home killed, target slow',
        actions.ActionSequence(
            (actions.Terminate(_HOME, signal.SIGKILL), _SLOW_TARGET)
        ),
        _CLEAR_FAULT,
    ),
    cases.FaultCase(
        'one-way cut, daemon ended by signal',
        actions.ActionSequence(
            (
                _CUT_ONE_WAY,
                actions.Terminate(_LEAVING_DAEMON, signal.SIGTERM),
            )
        ),
        _HEAL_ONE_WAY,
        _LONG_RUN,
        cut_allowed=False,
        relays=(_PEER,),
    ),
)
