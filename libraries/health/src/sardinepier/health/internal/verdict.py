"""State changes of targets: verdicts, ejections, trials, readmission."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import ids
from sardinepier.health import targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    floor,
    group_scores,
    target_list,
    tracked_target,
)

_States = targets.TargetState
_RELEASE_SCORE: Final = 0.5
_LOSS_SCORE_AGAINST_GROUP: Final = 1.5
_TRIAL_PASSED_LEVEL: Final = 0.33
_FAILED_PROBES_IN_ROW: Final = 3
_NO_TRAFFIC_S: Final = 10.0

_JUDGED_STATES: Final = frozenset((_States.IN_SERVICE, _States.SUSPECT))
ChangeHandler = Callable[
    [tracked_target.TrackedTarget, targets.TargetState], None
]


class Verdicts:
    """Changes the states of targets without going below the floor."""

    def __init__(
        self,
        listed: target_list.TargetList,
        own: ids.InstanceId,
        options: health_options.HealthOptions,
        random_source: random.Random,
        on_change: ChangeHandler,
    ) -> None:
        """Judge the targets of ``listed``."""
        self.options = options
        self._listed = listed
        self._own = own
        self._random = random_source
        self._on_change = on_change

    def change_state(
        self,
        target: tracked_target.TrackedTarget,
        state: targets.TargetState,
        reason: targets.Reason,
    ) -> None:
        """Set state and reason; report the change if there is one."""
        before = target.state
        if before is state and target.reason is reason:
            return
        target.state = state
        target.reason = reason
        self._on_change(target, before)

    def judge(
        self,
        group: group_scores.Group,
        now_s: float,
        is_degraded: bool,
        threshold: float,
    ) -> None:
        """Update every verdict, then apply the floor."""
        for target in self._listed:
            self._advance(target, now_s, threshold)
            target.verdict = self._verdict(target, group, now_s, is_degraded)
        self.enforce(group, now_s)

    def enforce(self, group: group_scores.Group, now_s: float) -> None:
        """Eject the allowed targets; update the states of the others."""
        allowed_ejections = floor.allowed_ejections(
            self._listed, group, now_s, self.options
        )
        for target in self._listed:
            if target.target_id in allowed_ejections:
                self._eject(target, now_s)
            elif target.verdict in floor.EJECTING:
                self._keep_in_service(target)
            elif target.state in _JUDGED_STATES:
                self._set_judged_state(target, now_s)

    def leave(self, target: tracked_target.TrackedTarget) -> None:
        """Take a leaving target out of service permanently."""
        target.verdict = targets.Reason.NONE
        self.change_state(target, _States.LEAVING, targets.Reason.LEAVING)

    def trial_failed(self, target: tracked_target.TrackedTarget) -> None:
        """Request another ejection; ``enforce`` decides about it."""
        target.verdict = targets.Reason.OWN_EVIDENCE

    def trial_passed(
        self,
        target: tracked_target.TrackedTarget,
        now_s: float,
        threshold: float,
    ) -> None:
        """Return the target to service on its ramp.

        Its evidence restarts above zero, so a further fault is detected
        sooner.
        """
        target.readmission_state.start_ramp(now_s, self.options)
        target.suspicion.restart(_TRIAL_PASSED_LEVEL * threshold, self._own)
        target.verdict = targets.Reason.NONE
        self.change_state(target, _States.IN_SERVICE, targets.Reason.RETURNING)

    def _advance(
        self,
        target: tracked_target.TrackedTarget,
        now_s: float,
        threshold: float,
    ) -> None:
        if target.state is _States.COLD and now_s >= target.cold_until_s:
            target.last_good_s = now_s if target.has_good_answer else None
            target.suspicion.restart(0, self._own)
            self.change_state(target, _States.IN_SERVICE, targets.Reason.NONE)
        elif (
            target.state is _States.EJECTED
            and now_s >= target.readmission_state.deadline_s
        ):
            target.verdict = targets.Reason.NONE
            target.probing.suspect_due_s = now_s
            target.suspicion.restart(0, self._own)
            self.change_state(target, _States.TRIAL, targets.Reason.RETURNING)

    def _verdict(
        self,
        target: tracked_target.TrackedTarget,
        group: group_scores.Group,
        now_s: float,
        is_degraded: bool,
    ) -> targets.Reason:
        if target.state is _States.EJECTED:
            return self._ejected_verdict(target, group)
        if target.state not in _JUDGED_STATES:
            return targets.Reason.NONE
        suspicion = target.suspicion
        if self._has_group_evidence(target, group):
            return targets.Reason.GROUP_EVIDENCE
        if self._has_own_evidence(suspicion, group) and not is_degraded:
            return targets.Reason.OWN_EVIDENCE
        if self._is_ejected_by_peers(target, group, now_s):
            return targets.Reason.PEERS_EJECTED
        if (
            target.verdict in floor.EJECTING
            and suspicion.score() >= _RELEASE_SCORE
        ):
            return target.verdict
        return targets.Reason.NONE

    def _ejected_verdict(
        self,
        target: tracked_target.TrackedTarget,
        group: group_scores.Group,
    ) -> targets.Reason:
        own = target.verdict is targets.Reason.OWN_EVIDENCE
        if own and self._has_group_evidence(target, group):
            return targets.Reason.GROUP_EVIDENCE
        return target.verdict

    def _has_group_evidence(
        self,
        target: tracked_target.TrackedTarget,
        group: group_scores.Group,
    ) -> bool:
        suspicion = target.suspicion
        if suspicion.group_score < 1:
            return False
        return suspicion.vote is tracked_target.GroupVote.SICK

    def _has_own_evidence(
        self,
        suspicion: tracked_target.Suspicion,
        group: group_scores.Group,
    ) -> bool:
        """Return whether this daemon's own evidence suffices for an ejection.

        When the group's finished requests show no fault, only failures and
        overdue requests count, against a higher limit: slow answers come
        from a queue, not from a cut link.
        """
        if group.peers and suspicion.finished_level < _RELEASE_SCORE:
            return suspicion.own_loss_score >= _LOSS_SCORE_AGAINST_GROUP
        return suspicion.own_score >= 1

    def _is_ejected_by_peers(
        self,
        target: tracked_target.TrackedTarget,
        group: group_scores.Group,
        now_s: float,
    ) -> bool:
        if not group.ejecting:
            target.readmission_state.may_follow_peers = True
            return False
        ejecting = group_scores.peers_ejecting(target, group, now_s)
        min_ejecting = max(2, -(-len(group.peers) // 2))
        if ejecting < min_ejecting:
            target.readmission_state.may_follow_peers = True
            return False
        return target.readmission_state.may_follow_peers

    def _eject(
        self, target: tracked_target.TrackedTarget, now_s: float
    ) -> None:
        if target.state is not _States.EJECTED:
            target.readmission_state.may_follow_peers = False
            target.ejected_score = target.suspicion.score()
            target.readmission_state.eject(now_s, self.options, self._random)
        self.change_state(target, _States.EJECTED, target.verdict)

    def _keep_in_service(self, target: tracked_target.TrackedTarget) -> None:
        if target.state not in {_States.COLD, _States.LEAVING}:
            self.change_state(
                target, _States.SUSPECT, targets.Reason.HELD_BY_FLOOR
            )

    def _set_judged_state(
        self, target: tracked_target.TrackedTarget, now_s: float
    ) -> None:
        if _has_failed_probes(target, now_s):
            self.change_state(
                target, _States.SUSPECT, targets.Reason.PROBES_FAILED
            )
            return
        suspected = target.suspicion.score() >= group_scores.SUSPECT_SCORE
        state = _States.SUSPECT if suspected else _States.IN_SERVICE
        self.change_state(target, state, targets.Reason.NONE)


def _has_failed_probes(
    target: tracked_target.TrackedTarget, now_s: float
) -> bool:
    if target.probing.failed_in_row < _FAILED_PROBES_IN_ROW:
        return False
    return (
        target.last_traffic_s is None
        or now_s - target.last_traffic_s > _NO_TRAFFIC_S
    )
