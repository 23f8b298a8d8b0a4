"""Ejection of servers that fail or are slow compared with their peers."""

from collections.abc import Iterable, Mapping
from math import exp
from statistics import median
from typing import Final, NamedTuple

# Time constant with which outcomes lose weight, so that only the last
# seconds count.
OUTCOME_DECAY_MS: Final = 10_000.0
# A server is compared with others from this weight of its outcomes on.
MIN_OUTCOMES: Final = 10.0
MIN_PEERS: Final = 2
MIN_FAILED_SHARE: Final = 0.5
MIN_FAILED_SHARE_ABOVE_PEERS: Final = 0.3
SLOW_FACTOR: Final = 4.0
# On hosts shared with other processes, a few ms of difference are noise.
SLOW_MARGIN_MS: Final = 20.0
FIRST_EJECTION_MS: Final = 2000.0
MAX_EJECTION_MS: Final = 60_000.0
TRIALS_NEEDED: Final = 3
# 29% of 100 servers are 28.999... in floating point, which has to give 29.
ROUNDING_TOLERANCE: Final = 1e-9


class OutcomeStats(NamedTuple):
    """Recent outcomes of one server, with weights that decay over time.

    Attributes:
        outcomes: Total weight of all outcomes.
        failures: Total weight of the failed ones.
        latency_ms: Weighted mean latency of the successful ones.
        at_ms: Time of the last outcome.
    """

    outcomes: float = 0
    failures: float = 0
    latency_ms: float = 0
    at_ms: float = 0


class Ejection(NamedTuple):
    """State of an ejected server.

    Attributes:
        until_ms: Time from which trial requests are sent.
        ejection_count: Number of consecutive ejections.
        trials_passed: Number of consecutive successful trial requests.
        trial_running: Whether a trial request is in flight.
    """

    until_ms: float
    ejection_count: int = 1
    trials_passed: int = 0
    trial_running: bool = False


def record_outcome(
    stats: OutcomeStats,
    latency_ms: float,
    failed: bool,
    now_ms: float,
) -> OutcomeStats:
    """Return the statistics with one more outcome."""
    decay = exp(min(stats.at_ms - now_ms, 0) / OUTCOME_DECAY_MS)
    outcomes = stats.outcomes * decay + 1
    failures = stats.failures * decay + failed
    mean_ms = stats.latency_ms
    if not failed:
        mean_ms += (latency_ms - mean_ms) / (outcomes - failures)
    return OutcomeStats(outcomes, failures, mean_ms, now_ms)


def max_ejected(servers: int, share: float) -> int:
    """Return how many of the servers may be ejected at the same time.

    Whatever the share, that is at most half of them.
    """
    return int(servers * min(share, 0.5) + ROUNDING_TOLERANCE)


def outlier_score(stats: OutcomeStats, peers: Iterable[OutcomeStats]) -> float:
    """Compare a server with its peers.

    Returns:
        0 when it keeps up with its peers or there are too few outcomes or
        peers; otherwise a positive score, larger for a worse server: above 1
        for one that fails, below 1 for one that is slow.
    """
    if stats.outcomes < MIN_OUTCOMES:
        return 0
    known = [peer for peer in peers if peer.outcomes >= MIN_OUTCOMES]
    if len(known) < MIN_PEERS:
        return 0
    failed = failed_share(stats)
    typical = median(failed_share(peer) for peer in known)
    if (
        failed >= MIN_FAILED_SHARE
        and failed >= typical + MIN_FAILED_SHARE_ABOVE_PEERS
    ):
        return 1 + failed
    latency_ms = median(peer.latency_ms for peer in known)
    bound_ms = max(latency_ms * SLOW_FACTOR, latency_ms + SLOW_MARGIN_MS)
    if stats.latency_ms > bound_ms:
        return 1 - bound_ms / stats.latency_ms
    return 0


def failed_share(stats: OutcomeStats) -> float:
    """Return the share of failed outcomes, 0 to 1."""
    return stats.failures / stats.outcomes if stats.outcomes else 0


def find_outliers(
    stats_by_id: Mapping[str, OutcomeStats],
    ejected: frozenset[str],
    share: float,
) -> tuple[str, ...]:
    """Find the servers to eject now, the worst first.

    Args:
        stats_by_id: Statistics of all live servers of the service,
            including the ejected ones.
        ejected: Servers that are ejected already.
        share: Largest share of servers that may be ejected.
    """
    free_ejections = max_ejected(len(stats_by_id), share) - len(ejected)
    if free_ejections <= 0:
        return ()
    eligible_by_id = {
        server: stats
        for server, stats in stats_by_id.items()
        if server not in ejected
    }
    found = []
    for server, stats in eligible_by_id.items():
        peers = [
            peer_stats
            for peer, peer_stats in eligible_by_id.items()
            if peer != server
        ]
        score = outlier_score(stats, peers)
        if score > 0:
            found.append((score, server))
    worst_first = sorted(found, reverse=True)
    return tuple(outlier for _, outlier in worst_first[:free_ejections])


def eject(previous: Ejection | None, now_ms: float) -> Ejection:
    """Eject a server, for twice as long each consecutive time."""
    ejection_count = previous.ejection_count + 1 if previous else 1
    pause_ms = min(
        FIRST_EJECTION_MS * 2.0 ** (ejection_count - 1), MAX_EJECTION_MS
    )
    return Ejection(now_ms + pause_ms, ejection_count)


def is_trial_due(ejection: Ejection, now_ms: float) -> bool:
    """Return whether one request may be sent to an ejected server."""
    return now_ms >= ejection.until_ms and not ejection.trial_running


def record_trial(
    ejection: Ejection,
    passed: bool,
    now_ms: float,
) -> Ejection | None:
    """Record the outcome of a trial request.

    Returns:
        The new state, or None when the ejection ends.
    """
    if not passed:
        return eject(ejection, now_ms)
    trials_passed = ejection.trials_passed + 1
    if trials_passed >= TRIALS_NEEDED:
        return None
    return ejection._replace(trials_passed=trials_passed, trial_running=False)
