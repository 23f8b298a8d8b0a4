"""Ejected servers of one service, and the statistics behind ejections."""

from collections.abc import Collection, Iterable
from math import inf
from typing import Final

from bergamotshunt.decisions.ejection import (
    Ejection,
    OutcomeStats,
    eject,
    find_outliers,
    is_trial_due,
    max_ejected,
    record_outcome,
    record_trial,
)

# Outliers are searched at most this often, because comparing all servers
# costs time that grows with their number.
CHECK_INTERVAL_MS: Final = 100.0


class EjectedServers:
    """Servers of one service that are ejected and get only trial requests.

    Args:
        share: Largest share of the servers that may be ejected.
    """

    def __init__(self, share: float) -> None:
        """Create the state without servers."""
        self.share = share
        self.stats_by_id: dict[str, OutcomeStats] = {}
        self.ejection_by_id: dict[str, Ejection] = {}
        self.next_trial_ms = inf
        self.next_check_ms = -inf

    def retain(self, server_ids: Iterable[str]) -> None:
        """Drop all other servers and enforce the bound on ejections.

        If more servers are ejected than the bound allows, those whose
        ejection ends first are restored.
        """
        self.stats_by_id = {
            server: self.stats_by_id.get(server, OutcomeStats())
            for server in server_ids
        }
        latest_first = sorted(
            (
                (ejection.until_ms, server)
                for server, ejection in self.ejection_by_id.items()
                if server in self.stats_by_id
            ),
            reverse=True,
        )
        limit = max_ejected(len(self.stats_by_id), self.share)
        self.ejection_by_id = {
            server: self.ejection_by_id[server]
            for _, server in latest_first[:limit]
        }
        self._schedule_trial()

    def record(
        self,
        server: str,
        latency_ms: float,
        failed: bool,
        now_ms: float,
    ) -> bool:
        """Record an outcome; return whether any server was ejected."""
        stats = self.stats_by_id.get(server)
        if stats is None:
            return False
        self.stats_by_id[server] = record_outcome(
            stats, latency_ms, failed, now_ms
        )
        if now_ms < self.next_check_ms:
            return False
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS
        outliers = find_outliers(
            self.stats_by_id, frozenset(self.ejection_by_id), self.share
        )
        for outlier in outliers:
            self.ejection_by_id[outlier] = eject(None, now_ms)
        self._schedule_trial()
        return bool(outliers)

    def take_trial(self, now_ms: float, tried: Collection[str]) -> str:
        """Return a server for a trial request, or an empty string."""
        for server, ejection in self.ejection_by_id.items():
            if server not in tried and is_trial_due(ejection, now_ms):
                self.ejection_by_id[server] = ejection._replace(
                    trial_running=True
                )
                self._schedule_trial()
                return server
        return ''

    def finish_trial(self, server: str, passed: bool, now_ms: float) -> bool:
        """Record the end of a trial; return whether the ejection ends."""
        ejection = self.ejection_by_id.get(server)
        if ejection is None:
            return False
        updated = record_trial(ejection, passed, now_ms)
        if updated is None:
            # The outcomes before the ejection would eject it again.
            self.ejection_by_id.pop(server)
            self.stats_by_id[server] = OutcomeStats()
        else:
            self.ejection_by_id[server] = updated
        self._schedule_trial()
        return updated is None

    def drop_trial(self, server: str) -> None:
        """Record that a trial request was cancelled without an outcome."""
        ejection = self.ejection_by_id.get(server)
        if ejection is not None:
            self.ejection_by_id[server] = ejection._replace(trial_running=False)
            self._schedule_trial()

    def _schedule_trial(self) -> None:
        self.next_trial_ms = min(
            (
                ejection.until_ms
                for ejection in self.ejection_by_id.values()
                if not ejection.trial_running
            ),
            default=inf,
        )
