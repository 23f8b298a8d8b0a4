"""State of a service as one sender of requests sees it.

A view is owned by one task (the ingress) or one client; nothing else reads or
writes it. Times are monotonic milliseconds and are passed in by the owner.
"""

from collections.abc import Collection, Iterable
from itertools import count
from math import inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.choice.ejected_servers import EjectedServers
from bergamotshunt.choice.latencies import AttemptEnd, Latencies
from bergamotshunt.choice.retry_budgets import RetryBudgets
from bergamotshunt.decisions.choosers import (
    CHOOSERS,
    choose_with_overflow,
    exclude_tried,
)
from bergamotshunt.decisions.scoring import Candidate, ChoiceInput
from bergamotshunt.metrics import EJECTED_SERVERS
from bergamotshunt.peers.members import Member

# Servers first seen within this time after the creation of a view may have
# been serving for long, so they get no slow start.
WARM_UP_MS: Final = 5000.0


class ViewRules(NamedTuple):
    """Settings of a view.

    Attributes:
        chooser: Name of the algorithm in ``CHOOSERS``.
        availability_zone: Availability zone of the owner.
        service: Name of the service, for metrics.
        retry_share: Retries and hedged requests per first attempt.
        hedge_share: Hedged requests per first attempt.
        max_ejected_share: Largest share of servers that may be ejected.
    """

    chooser: str
    availability_zone: str
    service: str = ''
    retry_share: float = 0.1
    hedge_share: float = 0.02
    max_ejected_share: float = 1 / 3


class ChosenCandidate(NamedTuple):
    """A candidate that was chosen for an attempt.

    Attributes:
        candidate: The server.
        is_trial: Whether it is ejected and gets a trial request.
    """

    candidate: Candidate
    is_trial: bool = False


class ServiceView:
    """Servers of one service, with their load, budgets and ejections.

    Args:
        rules: Settings of the view.
        rng: Random source.
        now_ms: Time of creation.
    """

    def __init__(self, rules: ViewRules, rng: Random, now_ms: float) -> None:
        """Create a view without servers."""
        self.rules = rules
        self.rng = rng
        self.warm_up_until_ms = now_ms + WARM_UP_MS
        self.chooser = CHOOSERS.get(rules.chooser)
        self.sequence = count()
        self.candidate_by_id: dict[str, Candidate] = {}
        # Candidates that are not ejected, in the owner's availability zone
        # and in all others. They are updated in place, so that a choice does
        # not have to build lists.
        self.same_zone: list[Candidate] = []
        self.other_zones: list[Candidate] = []
        self.position_by_id: dict[str, tuple[list[Candidate], int]] = {}
        self.ejected = EjectedServers(rules.max_ejected_share)
        self.retry_budgets = RetryBudgets(
            rules.retry_share, rules.hedge_share, now_ms
        )
        self.latencies = Latencies()

    def replace_members(self, members: Iterable[Member], now_ms: float) -> None:
        """Replace the servers that new requests may be sent to."""
        known = self.candidate_by_id
        self.candidate_by_id = {
            member.daemon_id: self._update_candidate(
                known.get(member.daemon_id), member, now_ms
            )
            for member in members
        }
        self.ejected.retain(self.candidate_by_id)
        self._rebuild_candidates()

    def choose(
        self,
        now_ms: float,
        tried: Collection[str] = (),
        trial_after_ms: float = inf,
    ) -> ChosenCandidate | None:
        """Choose a server for an attempt; None when there is none.

        Args:
            now_ms: Monotonic time.
            tried: Servers that the call already tried; one of them is
                chosen only when no other is left.
            trial_after_ms: Time after the end of an ejection from which
                this call may be the trial request.
        """
        if now_ms >= self.ejected.next_trial_ms + trial_after_ms:
            trial_id = self.ejected.take_trial(now_ms, tried)
            if trial_id:
                return ChosenCandidate(
                    self.candidate_by_id[trial_id], is_trial=True
                )
        same_zone, other_zones = self.same_zone, self.other_zones
        if tried:
            same_zone, other_zones = (
                exclude_tried(same_zone, tried),
                exclude_tried(other_zones, tried),
            )
        if not same_zone and not other_zones:
            other_zones = self._list_fallback(tried)
        if not same_zone and not other_zones:
            return None
        choice = ChoiceInput(
            now_ms, self.rng, next(self.sequence), self.latencies.typical
        )
        return ChosenCandidate(
            choose_with_overflow(self.chooser, same_zone, other_zones, choice)
        )

    def begin(self, daemon_id: str, now_ms: float) -> None:
        """Record that an attempt is sent to a server."""
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        waiting_since_ms = candidate.waiting_since_ms
        if candidate.own_in_flight == 0:
            waiting_since_ms = now_ms
        self._store(
            candidate._replace(
                own_in_flight=candidate.own_in_flight + 1,
                waiting_since_ms=waiting_since_ms,
            )
        )

    def has_other_than(self, tried: Collection[str]) -> bool:
        """Return whether any server is not in ``tried``."""
        return any(server not in tried for server in self.candidate_by_id)

    def cancel(
        self,
        daemon_id: str,
        started_ms: float,
        now_ms: float,
        target: str = '',
        is_trial: bool = False,
    ) -> None:
        """Record that an attempt was given up.

        The time waited is only a lower bound of the latency, so it counts
        only when it exceeds the typical latency.
        """
        if is_trial:
            self.ejected.drop_trial(daemon_id)
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        own_in_flight = max(candidate.own_in_flight - 1, 0)
        candidate = candidate._replace(own_in_flight=own_in_flight)
        waited_ms = now_ms - started_ms
        if self.latencies.is_slow(target, waited_ms):
            candidate = candidate._replace(
                latency_ms=max(candidate.latency_ms, waited_ms),
                latency_at_ms=now_ms,
            )
            if self.ejected.record(daemon_id, waited_ms, False, now_ms):
                self._rebuild_candidates()
        self._store(candidate)

    def drop_trial(self, daemon_id: str) -> None:
        """Record that a chosen trial request was not sent."""
        self.ejected.drop_trial(daemon_id)

    def finish(
        self,
        daemon_id: str,
        end: AttemptEnd,
        now_ms: float,
        is_trial: bool = False,
    ) -> None:
        """Record the end of an attempt."""
        candidate = self.candidate_by_id.get(daemon_id)
        if candidate is None:
            return
        own_in_flight = max(candidate.own_in_flight - 1, 0)
        reported = (
            candidate.report,
            candidate.reported_at_ms,
            candidate.own_at_report,
        )
        if end.report is not None:
            reported = (end.report, now_ms, own_in_flight)
        latency = (candidate.latency_ms, candidate.latency_at_ms)
        if not (end.failed or end.refused):
            self.retry_budgets.record_latency(end.target, end.latency_ms)
        latency_ms = self.latencies.update_latency(
            end, candidate.latency_ms, own_in_flight
        )
        if latency_ms:
            latency = (latency_ms, now_ms)
        # Built positionally, which is faster: this runs for every attempt.
        self._store(
            Candidate(
                candidate.member,
                own_in_flight,
                *reported,
                *latency,
                now_ms,
                candidate.serving_since_ms,
                candidate.near,
            )
        )
        self._record_outcome(daemon_id, end, now_ms, is_trial)

    def keep_targets(self, targets: frozenset[str]) -> None:
        """Drop the state of targets that no longer exist."""
        self.retry_budgets.keep_targets(targets)
        self.latencies.keep_targets(targets)

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
            'retry_tokens': round(self.retry_budgets.retry_budget.tokens, 2),
        }

    def _update_candidate(
        self, known: Candidate | None, member: Member, now_ms: float
    ) -> Candidate:
        """Return the candidate of a member.

        The state is kept unless a restart replaced the process.
        """
        if known is not None and known.member.process_id == member.process_id:
            return known._replace(member=member)
        return Candidate(
            member,
            serving_since_ms=(
                -inf if now_ms < self.warm_up_until_ms else now_ms
            ),
            near=member.availability_zone == self.rules.availability_zone,
        )

    def _rebuild_candidates(self) -> None:
        EJECTED_SERVERS.labels(self.rules.service).set(
            len(self.ejected.ejection_by_id)
        )
        self.same_zone = []
        self.other_zones = []
        self.position_by_id = {}
        for daemon_id, candidate in self.candidate_by_id.items():
            if daemon_id not in self.ejected.ejection_by_id:
                candidates = (
                    self.same_zone if candidate.near else self.other_zones
                )
                self.position_by_id[daemon_id] = (candidates, len(candidates))
                candidates.append(candidate)

    def _store(self, candidate: Candidate) -> None:
        daemon_id = candidate.member.daemon_id
        self.candidate_by_id[daemon_id] = candidate
        location = self.position_by_id.get(daemon_id)
        if location is not None:
            candidates, position = location
            candidates[position] = candidate

    def _list_fallback(self, tried: Collection[str]) -> list[Candidate]:
        """Return candidates for a call that tried all servers not ejected.

        Untried ejected servers come first, then tried ones that are not
        ejected.
        """
        all_candidates = list(self.candidate_by_id.values())
        return (
            exclude_tried(all_candidates, tried)
            or self.same_zone + self.other_zones
            or all_candidates
        )

    def _record_outcome(
        self,
        daemon_id: str,
        end: AttemptEnd,
        now_ms: float,
        is_trial: bool,
    ) -> None:
        if end.refused:
            # A refusal indicates load, not bad health.
            if is_trial:
                self.ejected.drop_trial(daemon_id)
            return
        changed = (
            self.ejected.finish_trial(daemon_id, not end.failed, now_ms)
            if is_trial
            else self.ejected.record(
                daemon_id, end.latency_ms, end.failed, now_ms
            )
        )
        if changed:
            self._rebuild_candidates()
