"""State of a service as one chooser sees it.

The owner is one task (the entry) or one client; nothing else reads or
writes a view. Times are monotonic milliseconds and come from the owner.
"""

from collections.abc import Collection, Iterable
from itertools import count
from math import inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.calls import LoadReport
from bergamotshunt.decisions.choosing import CHOOSERS, choose_with_spill
from bergamotshunt.decisions.scoring import Candidate, ChoiceInput, Typical
from bergamotshunt.ejected import EjectedServers
from bergamotshunt.extra_load import ExtraLoad
from bergamotshunt.members import Member
from bergamotshunt.metrics import EJECTED_SERVERS

SERVER_GAIN: Final = 0.2
USUAL_GAIN: Final = 0.05
# A failed attempt counts as this slow, so that a server that fails fast
# does not look like the best one.
PENALTY_FACTOR: Final = 10.0
MIN_PENALTY_MS: Final = 250.0
# Servers first seen this early in the life of a view may have served for
# long; they get no slow start.
LEARNING_MS: Final = 5000.0


class ViewRules(NamedTuple):
    """Settings of a view.

    Attributes:
        chooser: Name of the chooser.
        availability_zone: Zone of the owner.
        service: Name of the service, for metrics.
        retry_share: Extra load by retries and hedged requests.
        hedge_share: Part of it for hedged requests.
        max_ejected_share: Largest share of servers that is ejected.
    """

    chooser: str
    availability_zone: str
    service: str = ''
    retry_share: float = 0.1
    hedge_share: float = 0.02
    max_ejected_share: float = 1 / 3


class AttemptEnd(NamedTuple):
    """How one attempt ended.

    Attributes:
        target: Target that the call belongs to.
        latency_ms: Time from the request to the answer.
        failed: Whether the server failed: no answer, or status 5xx.
        refused: Whether its daemon refused; ``failed`` is False then.
        report: Load report that came with the answer, or None.
    """

    target: str
    latency_ms: float
    failed: bool = False
    refused: bool = False
    report: LoadReport | None = None


class Choice(NamedTuple):
    """A chosen server; ``is_trial`` when it is ejected."""

    candidate: Candidate
    is_trial: bool = False


class ServiceView:
    """Servers of one service with their load, budgets and ejections.

    Args:
        rules: Settings of the view.
        rng: Random source.
        now_ms: Time of creation.
    """

    def __init__(self, rules: ViewRules, rng: Random, now_ms: float) -> None:
        """Create a view without servers."""
        self.rules = rules
        self.rng = rng
        self.learning_until_ms = now_ms + LEARNING_MS
        self.chooser = CHOOSERS.get(rules.chooser)
        self.sequence = count()
        self.candidate_by_id: dict[str, Candidate] = {}
        # The candidates that are not ejected, kept up to date in place so
        # that a choice builds no list.
        self.near: list[Candidate] = []
        self.far: list[Candidate] = []
        self.place_by_id: dict[str, tuple[list[Candidate], int]] = {}
        self.ejected = EjectedServers(rules.max_ejected_share)
        self.extra_load = ExtraLoad(
            rules.retry_share, rules.hedge_share, now_ms
        )
        self.typical = Typical()
        self.usual_ms_by_target: dict[str, float] = {}

    def replace_members(self, members: Iterable[Member], now_ms: float) -> None:
        """Take over the servers that new work may be sent to."""
        known = self.candidate_by_id
        self.candidate_by_id = {
            member.daemon_id: self._renew(
                known.get(member.daemon_id), member, now_ms
            )
            for member in members
        }
        self.ejected.keep(self.candidate_by_id)
        self._place_all()

    def choose(
        self,
        now_ms: float,
        tried: Collection[str] = (),
        trial_after_ms: float = inf,
    ) -> Choice | None:
        """Choose a server for an attempt; None when there is none.

        Args:
            now_ms: The time.
            tried: Servers that the call already tried; one of them is
                chosen only when no other is left.
            trial_after_ms: Time after the end of an ejection from which
                this call may be the trial request.
        """
        if now_ms >= self.ejected.next_trial_ms + trial_after_ms:
            trial_id = self.ejected.take_trial(now_ms, tried)
            if trial_id:
                return Choice(self.candidate_by_id[trial_id], is_trial=True)
        near, far = self.near, self.far
        if tried:
            near, far = without(near, tried), without(far, tried)
        if not near and not far:
            far = self._list_rest(tried)
        if not near and not far:
            return None
        choice = ChoiceInput(
            now_ms, self.rng, next(self.sequence), self.typical
        )
        return Choice(choose_with_spill(self.chooser, near, far, choice))

    def begin(self, daemon_id: str, now_ms: float) -> None:
        """Note that an attempt is sent to a server."""
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        waiting_since_ms = candidate.waiting_since_ms
        if candidate.own_in_flight == 0:
            waiting_since_ms = now_ms
        self._put(
            candidate._replace(
                own_in_flight=candidate.own_in_flight + 1,
                waiting_since_ms=waiting_since_ms,
            )
        )

    def has_other_than(self, tried: Collection[str]) -> bool:
        """Tell whether there is a server that the call has not tried."""
        return any(server not in tried for server in self.candidate_by_id)

    def cancel(
        self,
        daemon_id: str,
        begun_ms: float,
        now_ms: float,
        target: str = '',
        is_trial: bool = False,
    ) -> None:
        """Note that an attempt was given up.

        The wait tells only that the server is at least so slow, so a
        short one tells nothing.
        """
        if is_trial:
            self.ejected.drop_trial(daemon_id)
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        own_in_flight = max(candidate.own_in_flight - 1, 0)
        candidate = candidate._replace(own_in_flight=own_in_flight)
        waited_ms = now_ms - begun_ms
        if waited_ms > self.usual_ms_by_target.get(target, inf):
            candidate = candidate._replace(
                latency_ms=max(candidate.latency_ms, waited_ms),
                latency_at_ms=now_ms,
            )
            if self.ejected.note(daemon_id, waited_ms, False, now_ms):
                self._place_all()
        self._put(candidate)

    def drop_trial(self, daemon_id: str) -> None:
        """Note that a chosen trial request was not sent."""
        self.ejected.drop_trial(daemon_id)

    def finish(
        self,
        daemon_id: str,
        end: AttemptEnd,
        now_ms: float,
        is_trial: bool = False,
    ) -> None:
        """Note how an attempt ended."""
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        own_in_flight = max(candidate.own_in_flight - 1, 0)
        candidate = candidate._replace(
            own_in_flight=own_in_flight,
            waiting_since_ms=now_ms,
        )
        if end.report is not None:
            candidate = candidate._replace(
                report=end.report,
                reported_at_ms=now_ms,
                own_at_report=own_in_flight,
            )
            self._note_others(end.report, own_in_flight)
        latency_ms = self._weigh(end, candidate.latency_ms)
        if latency_ms:
            candidate = candidate._replace(
                latency_ms=latency_ms, latency_at_ms=now_ms
            )
        self._put(candidate)
        self._judge(daemon_id, end, now_ms, is_trial)

    def keep_targets(self, targets: frozenset[str]) -> None:
        """Forget what is known of targets that no longer exist."""
        self.extra_load.keep_targets(targets)
        for target in tuple(self.usual_ms_by_target):
            if target not in targets:
                self.usual_ms_by_target.pop(target)

    def describe(self) -> dict[str, object]:
        """Describe the view for the daemon's status."""
        return {
            'servers': len(self.candidate_by_id),
            'ejected': sorted(self.ejected.ejection_by_id),
            'in_flight_by_server': {
                daemon_id: candidate.own_in_flight
                for daemon_id, candidate in self.candidate_by_id.items()
                if candidate.own_in_flight
            },
            'retry_tokens': round(self.extra_load.retry_budget.tokens, 2),
        }

    def _renew(
        self, known: Candidate | None, member: Member, now_ms: float
    ) -> Candidate:
        if known is not None and known.member.process_id == member.process_id:
            return known._replace(member=member)
        return Candidate(
            member,
            serving_since_ms=(
                -inf if now_ms < self.learning_until_ms else now_ms
            ),
            near=member.availability_zone == self.rules.availability_zone,
        )

    def _place_all(self) -> None:
        EJECTED_SERVERS.labels(self.rules.service).set(
            len(self.ejected.ejection_by_id)
        )
        self.near = []
        self.far = []
        self.place_by_id = {}
        for daemon_id, candidate in self.candidate_by_id.items():
            if daemon_id not in self.ejected.ejection_by_id:
                places = self.near if candidate.near else self.far
                self.place_by_id[daemon_id] = (places, len(places))
                places.append(candidate)

    def _put(self, candidate: Candidate) -> None:
        daemon_id = candidate.member.daemon_id
        self.candidate_by_id[daemon_id] = candidate
        place = self.place_by_id.get(daemon_id)
        if place is not None:
            places, position = place
            places[position] = candidate

    def _list_rest(self, tried: Collection[str]) -> list[Candidate]:
        every = list(self.candidate_by_id.values())
        return without(every, tried) or self.near + self.far or every

    def _weigh(self, end: AttemptEnd, before_ms: float) -> float:
        """Return the smoothed latency after an attempt; 0 for no change."""
        if end.refused and is_full(end.report):
            return 0
        if end.failed or end.refused:
            penalty_ms = self.typical.latency_ms * PENALTY_FACTOR
            return max(before_ms, end.latency_ms, penalty_ms, MIN_PENALTY_MS)
        self.extra_load.note_latency(end.target, end.latency_ms)
        usual_ms = self.usual_ms_by_target.get(end.target, end.latency_ms)
        usual_ms += (end.latency_ms - usual_ms) * USUAL_GAIN
        self.usual_ms_by_target[end.target] = usual_ms
        # Targets differ in cost; a server must not look slow because it
        # got the expensive ones.
        typical_ms = self.typical.latency_ms
        typical_ms += (end.latency_ms - typical_ms) * USUAL_GAIN
        self.typical = self.typical._replace(latency_ms=typical_ms)
        sample_ms = end.latency_ms * typical_ms / max(usual_ms, 1e-3)
        if not before_ms:
            return sample_ms
        return before_ms + (sample_ms - before_ms) * SERVER_GAIN

    def _note_others(self, report: LoadReport, own_in_flight: int) -> None:
        others = max(report.in_flight + report.queued - own_in_flight, 0)
        usual = self.typical.others
        self.typical = self.typical._replace(
            others=usual + (others - usual) * USUAL_GAIN
        )

    def _judge(
        self,
        daemon_id: str,
        end: AttemptEnd,
        now_ms: float,
        is_trial: bool,
    ) -> None:
        if end.refused:
            # A refusal tells about load, not about health.
            if is_trial:
                self.ejected.drop_trial(daemon_id)
            return
        changed = (
            self.ejected.judge_trial(daemon_id, not end.failed, now_ms)
            if is_trial
            else self.ejected.note(
                daemon_id, end.latency_ms, end.failed, now_ms
            )
        )
        if changed:
            self._place_all()


def is_full(report: LoadReport | None) -> bool:
    """Tell whether the load alone explains why a server refuses."""
    if report is None:
        return False
    return report.in_flight + report.queued >= report.limit


def without(
    candidates: Iterable[Candidate], tried: Collection[str]
) -> list[Candidate]:
    """Return the candidates that the call has not tried."""
    return [
        candidate
        for candidate in candidates
        if candidate.member.daemon_id not in tried
    ]
