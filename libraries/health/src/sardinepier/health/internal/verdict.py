"""The states of targets: verdicts, the floor, trials and the way back."""

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
_STILL_WANTED: Final = 0.5
_AGAINST_GROUP: Final = 1.5
_HEAD_START: Final = 0.33
_PROBES_IN_ROW: Final = 3
_QUIET_S: Final = 10.0

_JUDGED: Final = frozenset((_States.IN_SERVICE, _States.SUSPECT))
ChangeHandler = Callable[
    [tracked_target.TrackedTarget, targets.TargetState], None
]


class Verdicts:
    """Moves targets between states, always above the floor."""

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

    def move(
        self,
        one: tracked_target.TrackedTarget,
        state: targets.TargetState,
        reason: targets.Reason,
    ) -> None:
        """Set state and reason, and tell when either changed."""
        before = one.state
        if before is state and one.reason is reason:
            return
        one.state = state
        one.reason = reason
        self._on_change(one, before)

    def judge(
        self,
        group: group_scores.Group,
        now_s: float,
        doubts: bool,
        threshold: float,
    ) -> None:
        """Bring every verdict up to date, then keep to the floor."""
        for one in self._listed:
            self._advance(one, now_s, threshold)
            one.verdict = self._verdict(one, group, now_s, doubts)
        self.enforce(group, now_s)

    def enforce(self, group: group_scores.Group, now_s: float) -> None:
        """Eject what is wanted and fits; hold or release the rest."""
        fitting = floor.fitting(self._listed, group, now_s, self.options)
        for one in self._listed:
            if one.target_id in fitting:
                self._eject(one, now_s)
            elif one.verdict in floor.SICK:
                self._hold(one)
            elif one.state in _JUDGED:
                self._settle(one, now_s)

    def leave(self, one: tracked_target.TrackedTarget) -> None:
        """Take a leaving target out for good."""
        one.verdict = targets.Reason.NONE
        self.move(one, _States.LEAVING, targets.Reason.LEAVING)

    def trial_failed(self, one: tracked_target.TrackedTarget) -> None:
        """Want the target out again; ``enforce`` decides."""
        one.verdict = targets.Reason.OWN_EVIDENCE

    def trial_passed(
        self,
        one: tracked_target.TrackedTarget,
        now_s: float,
        threshold: float,
    ) -> None:
        """Put the target back on its ramp, judged from a head start."""
        one.readmission_state.restore(now_s, self.options)
        one.suspicion.restart(_HEAD_START * threshold, self._own)
        one.verdict = targets.Reason.NONE
        self.move(one, _States.IN_SERVICE, targets.Reason.RETURNING)

    def _advance(
        self,
        one: tracked_target.TrackedTarget,
        now_s: float,
        threshold: float,
    ) -> None:
        if one.state is _States.COLD and now_s >= one.cold_until_s:
            one.last_good_s = now_s if one.warmed else None
            one.suspicion.restart(0, self._own)
            self.move(one, _States.IN_SERVICE, targets.Reason.NONE)
        elif (
            one.state is _States.EJECTED
            and now_s >= one.readmission_state.deadline_s
        ):
            one.verdict = targets.Reason.NONE
            one.probing.suspect_due_s = now_s
            one.suspicion.restart(0, self._own)
            self.move(one, _States.TRIAL, targets.Reason.RETURNING)

    def _verdict(
        self,
        one: tracked_target.TrackedTarget,
        group: group_scores.Group,
        now_s: float,
        doubts: bool,
    ) -> targets.Reason:
        if one.state is _States.EJECTED:
            return self._upgraded(one, group)
        if one.state not in _JUDGED:
            return targets.Reason.NONE
        suspicion = one.suspicion
        if self._group_says(one, group):
            return targets.Reason.GROUP_EVIDENCE
        if self._own_says(suspicion, group) and not doubts:
            return targets.Reason.OWN_EVIDENCE
        if self._peers_say(one, group, now_s):
            return targets.Reason.PEERS_EJECTED
        if one.verdict in floor.SICK and suspicion.score() >= _STILL_WANTED:
            return one.verdict
        return targets.Reason.NONE

    def _upgraded(
        self,
        one: tracked_target.TrackedTarget,
        group: group_scores.Group,
    ) -> targets.Reason:
        own = one.verdict is targets.Reason.OWN_EVIDENCE
        if own and self._group_says(one, group):
            return targets.Reason.GROUP_EVIDENCE
        return one.verdict

    def _group_says(
        self,
        one: tracked_target.TrackedTarget,
        group: group_scores.Group,
    ) -> bool:
        suspicion = one.suspicion
        if suspicion.group_score < 1:
            return False
        return suspicion.vote is tracked_target.Vote.SICK

    def _own_says(
        self,
        suspicion: tracked_target.Suspicion,
        group: group_scores.Group,
    ) -> bool:
        """Return whether the own evidence suffices.

        Against the group's finished requests only losses count, and they
        must be many: slow answers come from a queue, not from a cut link.
        """
        if group.peers and suspicion.finished_level < _STILL_WANTED:
            return suspicion.own_loss_score >= _AGAINST_GROUP
        return suspicion.own_score >= 1

    def _peers_say(
        self,
        one: tracked_target.TrackedTarget,
        group: group_scores.Group,
        now_s: float,
    ) -> bool:
        if not group.ejecting:
            one.readmission_state.may_follow = True
            return False
        ejecting = group_scores.peers_ejecting(one, group, now_s)
        majority = max(2, -(-len(group.peers) // 2))
        if ejecting < majority:
            one.readmission_state.may_follow = True
            return False
        return one.readmission_state.may_follow

    def _eject(self, one: tracked_target.TrackedTarget, now_s: float) -> None:
        if one.state is not _States.EJECTED:
            one.readmission_state.may_follow = False
            one.ejected_score = one.suspicion.score()
            one.readmission_state.eject(now_s, self.options, self._random)
        self.move(one, _States.EJECTED, one.verdict)

    def _hold(self, one: tracked_target.TrackedTarget) -> None:
        if one.state not in {_States.COLD, _States.LEAVING}:
            self.move(one, _States.SUSPECT, targets.Reason.HELD_BY_FLOOR)

    def _settle(self, one: tracked_target.TrackedTarget, now_s: float) -> None:
        if _probes_say(one, now_s):
            self.move(one, _States.SUSPECT, targets.Reason.PROBES_FAILED)
            return
        suspected = one.suspicion.score() >= group_scores.SUSPICION
        state = _States.SUSPECT if suspected else _States.IN_SERVICE
        self.move(one, state, targets.Reason.NONE)


def _probes_say(one: tracked_target.TrackedTarget, now_s: float) -> bool:
    if one.probing.bad_in_row < _PROBES_IN_ROW:
        return False
    return one.last_traffic_s is None or now_s - one.last_traffic_s > _QUIET_S
