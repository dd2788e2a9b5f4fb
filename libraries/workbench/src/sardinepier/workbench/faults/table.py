"""The table of fault cases: each line breaks one thing, or two together."""

import signal
from typing import Final

from sardinepier.standins import target_faults
from sardinepier.workbench.faults import actions, cases, checks, links
from sardinepier.workbench.traffic import options

_HOME: Final = 'd1'
_HOME_HTTP: Final = 'd1-http'
_PEER: Final = 'd2'
_LEAVING: Final = 'd3'
_TARGET: Final = checks.LEAVING_TARGET
_DAEMONS: Final = (_HOME, _PEER, _LEAVING)
_ZONE: Final = (_PEER, 't2', 't5')
_TARGETS: Final = ('t1', 't2', 't3', 't4', 't5', 't6')
_POISON: Final = 'poison-pill'
_ALL: Final = 100.0
_HALF: Final = 50.0
_MUCH_SLOWER: Final = 40.0
_SLOWER: Final = 20.0
_MODEST_PER_S: Final = 20.0
_FLAP_MS: Final = 700.0
_NEW_QUEUE_LENGTH: Final = 50

_EARLY_S: Final = 4.0
_LATE_S: Final = 8.0
_LONG_S: Final = 12.0
_STOPPED: Final = cases.Schedule(heal_at_s=_LATE_S, end_at_s=_LONG_S)
_PUBLISHED: Final = cases.Schedule(heal_at_s=_EARLY_S, end_at_s=_LONG_S)
_GRACEFUL: Final = cases.Schedule(end_at_s=_LONG_S)
_IMPATIENT_S: Final = 2.0
_IN_FORCE_S: Final = 2.0

_SOUND: Final = actions.SetFault(target_faults.Fault(), (_TARGET,))
_SLOW: Final = actions.SetFault(
    target_faults.Fault(slow_factor=_MUCH_SLOWER),
    (_TARGET,),
)
_ONE_WAY: Final = actions.SetLink(
    _PEER,
    links.LinkMode.DROP,
    links.Direction.FORWARD,
    source=_HOME,
)
_HEALED: Final = actions.SetLink(_PEER, links.LinkMode.PASS, source=_HOME)


def _break(name: str, fault: target_faults.Fault) -> cases.FaultCase:
    broken = actions.SetFault(fault, (_TARGET,))
    return cases.FaultCase(name, broken, _SOUND)


def _drop(moment: target_faults.DropMoment) -> cases.FaultCase:
    # HTTP calls a PUT idempotent, and libraries resend it unasked; only the
    # operators' file says that this one is not.
    fault = target_faults.Fault(drop_percent=_HALF, drop_moment=moment)
    return cases.FaultCase(
        f'target drops {moment.value}',
        actions.SetFault(fault, (_TARGET,)),
        _SOUND,
        keyed_route=options.RouteChoice('PUT', '/records/7'),
    )


def _publish_while(mode: str) -> cases.FaultCase:
    return cases.FaultCase(
        f'platform {mode} during a change',
        actions.ActionSequence(
            (
                actions.SetPlatform(mode),
                actions.Publish(_NEW_QUEUE_LENGTH),
            )
        ),
        actions.SetPlatform('up'),
        _PUBLISHED,
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
        _STOPPED,
        attempt_timeout_s=_IMPATIENT_S,
    ),
    cases.FaultCase(
        'one-way cut between daemons',
        _ONE_WAY,
        _HEALED,
        relays=(_PEER,),
    ),
    _drop(target_faults.DropMoment.BEFORE),
    _drop(target_faults.DropMoment.DURING),
    _drop(target_faults.DropMoment.AFTER),
    _drop(target_faults.DropMoment.IDLE),
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
        attempt_timeout_s=_IMPATIENT_S,
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
    _break('target hung', target_faults.Fault(hang_percent=_ALL)),
    cases.FaultCase('target slow', _SLOW, _SOUND),
    _break('target errors', target_faults.Fault(error_percent=_HALF)),
    _break(
        'target flaps',
        target_faults.Fault(error_percent=_ALL, flap_period_ms=_FLAP_MS),
    ),
    _break('target truncates', target_faults.Fault(truncated_percent=_HALF)),
    cases.FaultCase(
        'target draining',
        actions.Drain(_TARGET),
        schedule=_GRACEFUL,
        cut_allowed=False,
        check=checks.leaving_stops,
    ),
    cases.FaultCase(
        'target ended by signal',
        actions.Terminate(_TARGET, signal.SIGTERM),
        schedule=_GRACEFUL,
        cut_allowed=False,
        check=checks.leaving_stops,
    ),
    cases.FaultCase(
        'daemon ended by signal',
        # Targets that take a while leave work in flight at each moment, or
        # an exit that cuts it would go unnoticed.
        actions.ActionSequence(
            (
                actions.SetFault(
                    target_faults.Fault(slow_factor=_SLOWER),
                    _TARGETS,
                ),
                actions.Wait(1),
                actions.Terminate(_HOME, signal.SIGTERM),
            )
        ),
        schedule=_GRACEFUL,
        rate_per_s=_MODEST_PER_S,
        cut_allowed=False,
    ),
    _publish_while('down'),
    _publish_while('stale'),
    _publish_while('garbage'),
    cases.FaultCase(
        'platform stale, daemon replaced',
        # The fleet has the newer file before the platform turns stale, and
        # a daemon starts that knows nothing.
        actions.ActionSequence(
            (
                actions.Publish(_NEW_QUEUE_LENGTH),
                actions.Wait(_IN_FORCE_S),
                actions.SetPlatform('stale'),
                actions.Signal(_PEER, signal.SIGKILL),
            )
        ),
        actions.SetPlatform('up'),
        _STOPPED,
        restarts=(_PEER,),
        check=checks.converges,
    ),
    cases.FaultCase(
        'poison crashes targets',
        actions.SetFault(target_faults.Fault(poison=_POISON), _TARGETS),
        poison=_POISON,
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
            (actions.Terminate(_HOME, signal.SIGKILL), _SLOW)
        ),
        _SOUND,
    ),
    cases.FaultCase(
        'one-way cut, daemon ended by signal',
        actions.ActionSequence(
            (
                _ONE_WAY,
                actions.Terminate(_LEAVING, signal.SIGTERM),
            )
        ),
        _HEALED,
        _GRACEFUL,
        cut_allowed=False,
        relays=(_PEER,),
    ),
)
